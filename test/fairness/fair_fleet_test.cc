#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/fairness/fleet_load.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kUsual = 20;
constexpr double kFlood = 8 * kUsual;
constexpr size_t kFlooding = 0;

/// Four equal teams, the first of which sends eight times its usual load for
/// eight seconds, between two usual seconds and twelve.
struct Flood {
  explicit Flood(bool fair_shares)
      : load(std::vector<FleetLoad::Team>(4), fair_shares) {
    load.Advance(seconds(2));
    start = load.Now();
    load.SetRate(kFlooding, kFlood);
  }
  void Finish() {
    load.Advance(start + seconds(8) - load.Now());
    load.SetRate(kFlooding, kUsual);
    load.Advance(seconds(12));
  }
  /// Requests of the teams that do not flood, sent in a part of the flood.
  FleetLoad::Outcome OthersBetween(Duration from, Duration to) const {
    FleetLoad::Outcome sum;
    for (size_t team = 1; team < 4; ++team) {
      const FleetLoad::Outcome outcome =
          load.OutcomeOf(team, start + from, start + to);
      sum.sent += outcome.sent;
      sum.in_time += outcome.in_time;
      sum.answered += outcome.answered;
      sum.refused += outcome.refused;
    }
    return sum;
  }
  FleetLoad::Outcome Others() const {
    return OthersBetween(seconds(0), seconds(8));
  }
  FleetLoad::Outcome Flooding() const {
    return load.OutcomeOf(kFlooding, start, start + seconds(8));
  }
  /// Answers of servers from the second second of the flood to its end.
  int Answers() const {
    return load.AnsweredBetween(start + seconds(1), start + seconds(8));
  }

  FleetLoad load;
  TimePoint start;
};

void Report(const std::string& name, const FleetLoad::Outcome& outcome) {
  BOOST_TEST_MESSAGE(name << ": sent " << outcome.sent << " in time "
                          << outcome.in_time << " answered " << outcome.answered
                          << " refused " << outcome.refused);
}

}  // namespace

// One of four equal teams sends eight times its usual load. The others, whose
// load is within their shares, must not be late or refused; the flooding team
// must get all that they leave over.
BOOST_AUTO_TEST_CASE(FloodOfOneTeamLeavesOthersInTime) {
  Flood with(true);
  with.Finish();
  Flood without(false);
  without.Finish();
  Report("others", with.Others());
  Report("flooding", with.Flooding());
  Report("others without shares", without.Others());
  Report("flooding without shares", without.Flooding());
  BOOST_TEST_MESSAGE("answers " << with.Answers() << ", without shares "
                                << without.Answers());
  BOOST_TEST(with.Others().FractionInTime() >= 0.95);
  BOOST_TEST(without.Others().FractionInTime() < 0.8);
  // The servers answer as much as without shares.
  BOOST_TEST(with.Answers() >= 0.98 * without.Answers());
  // Half of the capacity of 120 a second is left over for seven seconds.
  constexpr int kLeftOver = 60 * 7;
  BOOST_TEST(with.Flooding().answered >= 0.9 * kLeftOver);
}

// Two teams that ask for more than their shares get slots in proportion to
// their rates: three to one.
BOOST_AUTO_TEST_CASE(TeamsThatAskForMoreGetSlotsByWeight) {
  const auto ratio = [](bool fair_shares) {
    FleetLoad load({{.per_second = kFlood, .rate = 600},
                    {.per_second = kFlood, .rate = 200}},
                   fair_shares);
    load.Advance(seconds(1));
    const TimePoint from = load.Now();
    load.Advance(seconds(6));
    const TimePoint to = load.Now();
    load.Advance(seconds(10));
    const FleetLoad::Outcome heavy = load.OutcomeOf(0, from, to);
    const FleetLoad::Outcome light = load.OutcomeOf(1, from, to);
    Report("weight 3", heavy);
    Report("weight 1", light);
    return static_cast<double>(heavy.in_time) / light.in_time;
  };
  const double with = ratio(true);
  const double without = ratio(false);
  BOOST_TEST(with > 2.5);
  BOOST_TEST(with < 3.6);
  BOOST_TEST(without < 1.5);
}

// A team of the most urgent rank asks for more than an equal share. Shares
// count within a rank only: it must be served before the teams of the next.
BOOST_AUTO_TEST_CASE(UrgentTeamIsServedBeyondItsShare) {
  FleetLoad load({{.per_second = 90},
                  {.per_second = 60, .priority = 1},
                  {.per_second = 60, .priority = 1}},
                 /*fair_shares=*/true);
  load.Advance(seconds(1));
  const TimePoint from = load.Now();
  load.Advance(seconds(6));
  const TimePoint to = load.Now();
  load.Advance(seconds(10));
  const FleetLoad::Outcome urgent = load.OutcomeOf(0, from, to);
  Report("urgent", urgent);
  Report("other", load.OutcomeOf(1, from, to));
  BOOST_TEST(urgent.FractionInTime() >= 0.95);
}

// A team that was idle while the others used all slots must not push them aside
// when it sends a burst.
BOOST_AUTO_TEST_CASE(BurstAfterIdleTimeGetsNoMoreThanItsShare) {
  const auto fraction_in_time = [](bool fair_shares) {
    FleetLoad load({{.per_second = 0}, {.per_second = 30}, {.per_second = 120}},
                   fair_shares);
    load.Advance(seconds(6));
    const TimePoint from = load.Now();
    load.SetRate(0, 4 * kFlood);
    load.Advance(seconds(2));
    const TimePoint to = load.Now();
    load.Advance(seconds(12));
    const FleetLoad::Outcome outcome = load.OutcomeOf(1, from, to);
    Report("team within its share", outcome);
    return outcome.FractionInTime();
  };
  BOOST_TEST(fraction_in_time(true) >= 0.95);
  BOOST_TEST(fraction_in_time(false) < 0.8);
}

// An entry is killed in the flood: of the requests at the other entries, those
// of the other teams stay in time. The killed entry may run the scheduler; then
// requests are out of order until its silence is noticed, and its successor
// starts with equal histories.
BOOST_AUTO_TEST_CASE(FloodIsSharedWhenAnEntryIsKilled) {
  for (const bool kills_scheduler : {false, true}) {
    const auto play = [&](bool fair_shares) {
      Flood flood(fair_shares);
      flood.load.Advance(seconds(3));
      const int scheduler = flood.load.scheduler();
      BOOST_TEST_REQUIRE(scheduler >= 0);
      flood.load.Kill(kills_scheduler ? scheduler : (scheduler + 1) % 3);
      flood.Finish();
      Report("others in the second after the kill",
             flood.OthersBetween(seconds(3), seconds(4)));
      Report("others later", flood.OthersBetween(seconds(4), seconds(8)));
      return flood.OthersBetween(seconds(4), seconds(8)).FractionInTime();
    };
    BOOST_TEST(play(true) >= 0.95);
    BOOST_TEST(play(false) < 0.8);
  }
}

// The link between the scheduler and another entry is broken for two seconds of
// the flood. The entry asks another scheduler meanwhile, so that two grant the
// slots of one group, and servers queue for about a second at the start and the
// end of that time. No team may lose its share for longer.
BOOST_AUTO_TEST_CASE(FloodIsSharedAroundABrokenLink) {
  struct Fractions {
    double around = 0;
    double later = 0;
  };
  const auto play = [](bool fair_shares) {
    Flood flood(fair_shares);
    flood.load.Advance(seconds(3));
    const int scheduler = flood.load.scheduler();
    BOOST_TEST_REQUIRE(scheduler >= 0);
    const int other = (scheduler + 1) % 3;
    flood.load.set_partitioned(scheduler, other, true);
    flood.load.Advance(seconds(2));
    flood.load.set_partitioned(scheduler, other, false);
    flood.Finish();
    const FleetLoad::Outcome around =
        flood.OthersBetween(seconds(3), milliseconds(6500));
    const FleetLoad::Outcome later =
        flood.OthersBetween(milliseconds(6500), seconds(8));
    Report("others around the partition", around);
    Report("others later", later);
    return Fractions{.around = around.FractionInTime(),
                     .later = later.FractionInTime()};
  };
  const Fractions with = play(true);
  const Fractions without = play(false);
  BOOST_TEST(with.around >= 0.75);
  BOOST_TEST(with.later >= 0.95);
  BOOST_TEST(without.around < 0.6);
  BOOST_TEST(without.later < 0.8);
}

// An operator must see by which share a request was refused, and which team had
// the slots.
BOOST_AUTO_TEST_CASE(RefusedRequestsNameShareAndTopTeam) {
  Flood flood(true);
  flood.Finish();
  const std::vector<std::string>& lines = flood.load.log_lines();
  const std::string hash = std::to_string(HashBytes(std::string("team-0")));
  const auto withdrawn =
      std::ranges::find_if(lines, [&](const std::string& line) {
        return line.starts_with("event=share_withdrawn ") &&
               line.find(" team_hash=" + hash + " ") != std::string::npos;
      });
  BOOST_TEST_REQUIRE((withdrawn != lines.end()));
  BOOST_TEST_MESSAGE(*withdrawn);
  BOOST_TEST(withdrawn->find(" top_team_hash=" + hash + " ") !=
             std::string::npos);
  // The entry's line of the request has the same id of the slot request.
  const size_t id = withdrawn->find(" slot_request=");
  const std::string slot_request =
      withdrawn->substr(id, withdrawn->find(' ', id + 1) + 1 - id);
  const auto end = std::ranges::find_if(lines, [&](const std::string& line) {
    return line.starts_with("event=end ") &&
           line.find(" outcome=overloaded ") != std::string::npos &&
           line.find(" team=team-0 ") != std::string::npos &&
           line.find(" team_hash=" + hash + " ") != std::string::npos &&
           line.find(slot_request) != std::string::npos;
  });
  BOOST_TEST((end != lines.end()));
  const int scheduler = flood.load.scheduler();
  BOOST_TEST(flood.load.metrics(scheduler).counter(
                 "shared_slots{outcome=\"withdrawn\"}") > 0U);
}

}  // namespace lavenderkeel
