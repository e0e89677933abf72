#include <boost/test/unit_test.hpp>

#include "test/rates/ranked_load.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 40;

void Print(const char* name, const RankedLoad::Counts& counts) {
  BOOST_TEST_MESSAGE(name << ": clients " << counts.clients << ", in time "
                          << counts.in_time << ", answered " << counts.answered
                          << ", refused attempts " << counts.refused_attempts
                          << ", back " << counts.returned << ", refused again "
                          << counts.refused_again);
}

}  // namespace

// Three quarters of a team's urgent requests were refused while less urgent
// ones of the same team were served.
BOOST_AUTO_TEST_CASE(UrgentRequestsOfTeamOverItsRateAreInTime) {
  RankedLoad load({});
  const TimePoint begin = load.Now();
  load.Run(seconds(8));
  const TimePoint end = load.Now();
  load.Run(seconds(5), /*urgent=*/true, /*others=*/false);
  const RankedLoad::Counts urgent = load.CountOf(true, begin, end);
  const RankedLoad::Counts others = load.CountOf(false, begin, end);
  Print("urgent", urgent);
  Print("others", others);
  BOOST_TEST(urgent.InTime() >= 0.95);
  BOOST_TEST(others.answered > 0);
}

// What is kept back for urgent requests must not lower the sum.
BOOST_AUTO_TEST_CASE(SumIsNoLowerThanWithoutRanks) {
  for (const double burst : {5.0, 20.0, 80.0}) {
    double sums[2] = {};
    for (const bool by_rank : {false, true}) {
      RankedLoad load(
          {.by_rank = by_rank, .rate = {.per_second = kRate, .burst = burst}});
      load.Run(seconds(3));
      const TimePoint begin = load.Now();
      load.Run(seconds(10));
      sums[by_rank ? 1 : 0] = load.AnswersPerSecond(begin, load.Now());
    }
    BOOST_TEST_MESSAGE("burst " << burst << ", sum without ranks " << sums[0]
                                << ", with ranks " << sums[1]);
    BOOST_TEST(sums[1] >= sums[0] - 1);
  }
}

// A rank must get what the more urgent ones leave of the rate.
BOOST_AUTO_TEST_CASE(LessUrgentRankIsNotStarved) {
  RankedLoad load({.urgent_per_second = 30, .other_per_second = 300});
  load.Run(seconds(3));
  const TimePoint begin = load.Now();
  load.Run(seconds(8));
  const RankedLoad::Counts others = load.CountOf(false, begin, load.Now());
  Print("others", others);
  BOOST_TEST(others.answered > 8 * 7);
}

// What is kept back for urgent requests must go to the others once there are
// no more of them.
BOOST_AUTO_TEST_CASE(NothingIsLostAfterTheUrgentDemandEnds) {
  RankedLoad load({});
  load.Run(seconds(3));
  load.Run(seconds(4), /*urgent=*/false);
  const double sum = load.AnswersPerSecond(load.Now() - seconds(3), load.Now());
  BOOST_TEST_MESSAGE("sum " << sum);
  BOOST_TEST(sum >= kRate - 1);
}

// A killed entry looks like one behind a partition that rejects connections,
// which still uses its share: the others must leave it that share and serve the
// urgent requests within theirs.
BOOST_AUTO_TEST_CASE(KilledEntryKeepsItsShareAndUrgentRequestsAreInTime) {
  RankedLoad load({});
  const TimePoint begin = load.Now();
  load.Run(seconds(2));
  load.fleet().Kill(2);
  const TimePoint killed = load.Now();
  load.Run(seconds(6));
  const TimePoint end = load.Now();
  load.Run(seconds(4), /*urgent=*/true, /*others=*/false);
  const RankedLoad::Counts urgent = load.CountOf(true, begin, end);
  Print("urgent", urgent);
  Print("others", load.CountOf(false, begin, end));
  const double sum =
      load.AnswersPerSecond(killed + milliseconds(1500), killed + seconds(5));
  BOOST_TEST_MESSAGE("sum after the kill " << sum);
  // Requests that were at the killed entry are lost.
  BOOST_TEST(urgent.InTime() >= 0.95);
  BOOST_TEST(sum >= kRate * 2 / 3 - 2);
  BOOST_TEST(sum <= kRate * 2 / 3 + 2);
}

// An entry that is cut off may still use its share, so the others must leave
// it, and both sides must still prefer urgent requests.
BOOST_AUTO_TEST_CASE(PartitionedEntryKeepsItsShareAndRanks) {
  RankedLoad load({});
  load.Run(seconds(2));
  load.fleet().set_partitioned(0, 2, true);
  load.fleet().set_partitioned(1, 2, true);
  load.Run(seconds(3));
  const TimePoint begin = load.Now();
  load.Run(seconds(4));
  const TimePoint end = load.Now();
  load.Run(seconds(4), /*urgent=*/true, /*others=*/false);
  const RankedLoad::Counts urgent = load.CountOf(true, begin, end);
  Print("urgent", urgent);
  Print("others", load.CountOf(false, begin, end));
  const double sum = load.AnswersPerSecond(begin, end);
  BOOST_TEST_MESSAGE("sum in the partition " << sum);
  BOOST_TEST(load.fleet().node(0).exchange().Count().known == 3U);
  BOOST_TEST(urgent.InTime() >= 0.95);
  BOOST_TEST(sum <= kRate + 1);
}

// An entry of an older version refuses by arrival and reports no demand; the
// others must go on and the sum must not fall.
BOOST_AUTO_TEST_CASE(EntryOfOlderVersionDoesNoHarm) {
  RankedLoad load({.old_entries = 1});
  const TimePoint begin = load.Now();
  load.Run(seconds(8));
  const TimePoint end = load.Now();
  load.Run(seconds(4), /*urgent=*/true, /*others=*/false);
  const RankedLoad::Counts urgent = load.CountOf(true, begin, end);
  Print("urgent", urgent);
  Print("others", load.CountOf(false, begin, end));
  const double sum = load.AnswersPerSecond(begin + seconds(1), end);
  BOOST_TEST_MESSAGE("sum " << sum);
  // Two thirds of the urgent requests come to the new entries. The old one
  // serves two in five, as without ranks.
  BOOST_TEST(urgent.InTime() >= 0.7);
  BOOST_TEST(sum >= kRate - 1);
  BOOST_TEST(sum <= kRate + 1);
}

// With a cut link, its two ends do not count each other's usage. The sum must
// not exceed what it is without ranks, and the ranks must still matter.
BOOST_AUTO_TEST_CASE(CutLinkKeepsBoundAndRanks) {
  double sums[2] = {};
  double in_time[2] = {};
  for (const bool by_rank : {false, true}) {
    RankedLoad load({.by_rank = by_rank});
    load.Run(seconds(2));
    load.fleet().set_partitioned(0, 2, true);
    load.Run(seconds(3));
    const TimePoint begin = load.Now();
    load.Run(seconds(8));
    const TimePoint end = load.Now();
    load.Run(seconds(4), /*urgent=*/true, /*others=*/false);
    const RankedLoad::Counts urgent = load.CountOf(true, begin, end);
    Print("urgent", urgent);
    in_time[by_rank ? 1 : 0] = urgent.InTime();
    sums[by_rank ? 1 : 0] = load.AnswersPerSecond(begin, end);
  }
  BOOST_TEST_MESSAGE("sum without ranks " << sums[0] << ", with ranks "
                                          << sums[1]);
  BOOST_TEST(in_time[1] >= in_time[0] + 0.2);
  BOOST_TEST(sums[1] <= sums[0]);
  BOOST_TEST(sums[1] >= kRate - 1);
}

// The processes end and start again one after the other, as in a release: the
// demand that they had reported must not count twice.
BOOST_AUTO_TEST_CASE(RestartedEntriesKeepBoundAndRanks) {
  RankedLoad load({});
  load.Run(seconds(2));
  const TimePoint begin = load.Now();
  for (int entry = 0; entry < 3; ++entry) {
    load.fleet().Kill(entry);
    load.Run(seconds(1));
    load.fleet().Start(entry);
    load.Run(seconds(2));
  }
  const TimePoint end = load.Now();
  load.Run(seconds(4), /*urgent=*/true, /*others=*/false);
  const RankedLoad::Counts urgent = load.CountOf(true, begin, end);
  Print("urgent", urgent);
  const double sum = load.AnswersPerSecond(begin, end);
  BOOST_TEST_MESSAGE("sum over the restarts " << sum);
  BOOST_TEST(urgent.InTime() >= 0.9);
  BOOST_TEST(sum <= kRate + 2);
}

// In a large fleet demand is relayed and a second of reports holds several
// bursts; the bound and the ranks must hold there too.
BOOST_AUTO_TEST_CASE(RanksHoldOverLargeFleet) {
  RankedLoad load({.rate = {.per_second = 150, .burst = 75},
                   .entries = 40,
                   .urgent_per_second = 50,
                   .other_per_second = 600});
  load.Run(seconds(3));
  const TimePoint begin = load.Now();
  load.Run(seconds(6));
  const TimePoint end = load.Now();
  load.Run(seconds(4), /*urgent=*/true, /*others=*/false);
  const RankedLoad::Counts urgent = load.CountOf(true, begin, end);
  Print("urgent", urgent);
  const double sum = load.AnswersPerSecond(begin, end);
  BOOST_TEST_MESSAGE("sum " << sum);
  BOOST_TEST(urgent.InTime() >= 0.95);
  BOOST_TEST(sum >= 149);
  BOOST_TEST(sum <= 150 * 1.05);
}

// A team at rest must find its whole burst again.
BOOST_AUTO_TEST_CASE(TeamAtRestGetsItsBurstAgain) {
  RankedLoad load({});
  load.Run(seconds(4));
  load.Run(seconds(8), /*urgent=*/false, /*others=*/false);
  constexpr int kBurst = 20;
  for (int i = 0; i < kBurst; ++i) {
    load.fleet().Request(0, "lookup", "burst " + std::to_string(i));
  }
  BOOST_TEST(load.fleet().node(0).controller().open() == kBurst);
}

// A client that honours its Retry-After must not be refused again while the
// rate allows its request.
BOOST_AUTO_TEST_CASE(ClientsThatHonourRetryAfterAreAdmitted) {
  RankedLoad load({.other_per_second = 60, .same_entry = true});
  const TimePoint begin = load.Now();
  load.Run(seconds(8));
  const TimePoint end = load.Now();
  load.Run(seconds(5), /*urgent=*/true, /*others=*/false);
  const RankedLoad::Counts others = load.CountOf(false, begin, end);
  Print("others", others);
  BOOST_TEST(others.returned > 20);
  BOOST_TEST(others.refused_again * 10 <= others.returned);
}

}  // namespace lavenderkeel
