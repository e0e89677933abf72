#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <iterator>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/base/rendezvous.h"
#include "test/forward/scheduler_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Scheduler of one service with `servers` servers of two slots.
struct Harness : SchedulerHarness {
  explicit Harness(bool fair_shares, int servers = 1)
      : SchedulerHarness({.fair_shares = fair_shares, .reports_ranks = true}) {
    for (int i = 1; i <= servers; ++i) {
      directory.Apply({.id = "s" + std::to_string(i),
                       .service = "engines",
                       .address = "127.0.0.1:1",
                       .slots = 2});
    }
  }

  SlotRequest RequestOf(AttemptId attempt, uint64_t team, double weight = 1) {
    return {.attempt = attempt,
            .service = "engines",
            .model_server = true,
            .in_time_until = clock.Now() + seconds(30),
            .due = clock.Now() + seconds(60),
            .size = {.prompt_tokens = 100, .events = 10},
            .team = team,
            .team_weight = weight};
  }
  void RequestSlot(AttemptId attempt, uint64_t team, double weight = 1) {
    scheduler.RequestSlot("a", RequestOf(attempt, team, weight));
  }
  /// Ends the attempts that have slots until some requests were granted.
  void GrantAll(size_t count) {
    while (granted.size() < count) {
      EndFirst();
    }
  }
  /// Ends the attempt that was granted first.
  void EndFirst(SlotResult::Kind kind = SlotResult::Kind::kAnswered) {
    const AttemptId attempt = running().front();
    scheduler.ReleaseSlot("a", attempt, {.kind = kind});
    ended.insert(attempt);
  }
  /// Attempts that have slots, in the order of their grants if each call
  /// follows one grant.
  std::vector<AttemptId> running() {
    for (const auto& [attempt, server] : granted) {
      if (std::ranges::find(grant_order, attempt) == grant_order.end()) {
        grant_order.push_back(attempt);
      }
    }
    std::vector<AttemptId> attempts;
    std::ranges::copy_if(
        grant_order, std::back_inserter(attempts),
        [this](AttemptId attempt) { return !ended.contains(attempt); });
    return attempts;
  }
  /// Number of grants of attempts from `first` to `last`.
  int GrantsBetween(AttemptId first, AttemptId last) const {
    int count = 0;
    for (const auto& [attempt, server] : granted) {
      count += attempt >= first && attempt <= last ? 1 : 0;
    }
    return count;
  }

  std::set<AttemptId> ended;
  std::vector<AttemptId> grant_order;
};

/// Plays random slot requests, ends, reports and times.
/// @return entry and attempt of each grant
std::vector<std::pair<std::string, AttemptId>> PlayGrants(uint64_t seed,
                                                          bool fair_shares,
                                                          uint64_t team) {
  std::mt19937_64 random(seed);
  std::vector<std::pair<std::string, AttemptId>> grants;
  std::vector<std::pair<std::string, AttemptId>> running;
  fuzz::VirtualClock clock;
  ServerDirectory directory;
  EventLog log;
  ServerNotices notices({.self = "self"}, clock, log);
  SlotScheduler scheduler(
      {.fair_shares = fair_shares}, directory, notices, clock,
      [&](const std::string& entry, const SlotGrant& grant) {
        grants.emplace_back(entry, grant.attempt);
        running.emplace_back(entry, grant.attempt);
      });
  for (int i = 1; i <= 3; ++i) {
    directory.Apply({.id = "s" + std::to_string(i),
                     .service = i == 3 ? "plain" : "engines",
                     .address = "127.0.0.1:1",
                     .version = i == 1 ? "v1" : "v2",
                     .slots = 2});
  }
  constexpr int kKinds = 7;
  for (AttemptId attempt = 1; attempt <= 120; ++attempt) {
    clock.Advance(milliseconds(random() % 60));
    const bool model_server = random() % 3 != 0;
    scheduler.RequestSlot(
        "e" + std::to_string(random() % 3),
        {.attempt = attempt,
         .service = model_server ? "engines" : "plain",
         .model_server = model_server,
         .priority = static_cast<int>(random() % 2),
         .route_priority = static_cast<int>(random() % 2),
         .in_time_until = clock.Now() + milliseconds(random() % 400),
         .due = clock.Now() + seconds(5),
         .size = {.prompt_tokens = static_cast<uint32_t>(random() % 900),
                  .events = static_cast<uint32_t>(random() % 50)},
         .by_length = random() % 2 == 0,
         .version = random() % 4 == 0 ? "v1" : "",
         .team = team,
         .team_weight = static_cast<double>(random() % 3)});
    if (!running.empty() && random() % 2 == 0) {
      const auto ended = running.begin() +
                         static_cast<std::ptrdiff_t>(random() % running.size());
      const auto [entry, id] = *ended;
      running.erase(ended);
      scheduler.ReleaseSlot(
          entry, id,
          {.kind = static_cast<SlotResult::Kind>(random() % kKinds),
           .pace_ms = 20});
    }
    if (random() % 4 == 0) {
      scheduler.Tick();
    }
    if (random() % 10 == 0) {
      const std::string entry = "e" + std::to_string(random() % 3);
      scheduler.OnReport(entry, {});
    }
  }
  return grants;
}

}  // namespace

// With one team, or without teams, the option must not change a single grant.
BOOST_AUTO_TEST_CASE(GrantsOfOneTeamAreThoseWithoutShares) {
  BOOST_TEST(rc::check([](uint64_t seed) {
    const auto without = PlayGrants(seed, /*fair_shares=*/false, /*team=*/7);
    RC_ASSERT(!without.empty());
    RC_ASSERT(PlayGrants(seed, /*fair_shares=*/true, /*team=*/7) == without);
    RC_ASSERT(PlayGrants(seed, /*fair_shares=*/true, /*team=*/0) == without);
  }));
}

// A team with a long queue must not delay the few requests of another.
BOOST_AUTO_TEST_CASE(QueueOfOneTeamDoesNotDelayAnother) {
  const auto grants_of_small_team = [](bool fair_shares) {
    Harness h(fair_shares);
    for (AttemptId attempt = 1; attempt <= 100; ++attempt) {
      h.RequestSlot(attempt, 1);
    }
    for (AttemptId attempt = 101; attempt <= 105; ++attempt) {
      h.RequestSlot(attempt, 2);
    }
    h.GrantAll(14);
    return h.GrantsBetween(101, 105);
  };
  BOOST_TEST(grants_of_small_team(true) == 5);
  BOOST_TEST(grants_of_small_team(false) == 0);
}

// Weights and sizes of requests decide on the shares: a team of weight 3 gets
// three times the work, and one with requests of four times the size a quarter
// of the slots.
BOOST_AUTO_TEST_CASE(WorkIsSharedByWeightAndSize) {
  Harness h(/*fair_shares=*/true);
  for (AttemptId i = 1; i <= 200; ++i) {
    h.RequestSlot(i, 1, /*weight=*/3);
    h.RequestSlot(1000 + i, 2);
    SlotRequest large = h.RequestOf(2000 + i, 3);
    large.size = {.prompt_tokens = 400, .events = 40};
    h.scheduler.RequestSlot("a", large);
  }
  h.GrantAll(170);
  // 170 grants: 12 to 4 to 1.
  BOOST_TEST(std::abs(h.GrantsBetween(1, 200) - 120) <= 3);
  BOOST_TEST(std::abs(h.GrantsBetween(1001, 1200) - 40) <= 2);
  BOOST_TEST(std::abs(h.GrantsBetween(2001, 2200) - 10) <= 2);
}

// Weights from other entries may be wrong: no team may be left without slots,
// and the scheduler must not stop.
BOOST_AUTO_TEST_CASE(WrongWeightsLeaveSlotsToOthers) {
  for (const double wrong :
       {0.0, -1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
    Harness h(/*fair_shares=*/true);
    for (AttemptId i = 1; i <= 50; ++i) {
      h.RequestSlot(i, 1, wrong);
      h.RequestSlot(1000 + i, 2);
    }
    h.GrantAll(40);
    BOOST_TEST(std::abs(h.GrantsBetween(1, 50) - 20) <= 2);
  }
}

// Slots that a team did not use must not count against it: its requests would
// wait behind others although it got nothing.
BOOST_AUTO_TEST_CASE(UnusedSlotsDoNotCount) {
  Harness h(/*fair_shares=*/true);
  for (AttemptId i = 1; i <= 40; ++i) {
    h.RequestSlot(i, 1);
    h.RequestSlot(1000 + i, 2);
  }
  int used_by_team_2 = 0;
  int used_by_team_1 = 0;
  // Every second slot of team 1 is not used.
  for (int i = 0; i < 40; ++i) {
    const AttemptId attempt = h.running().front();
    const bool is_team_1 = attempt < 1000;
    const bool unused = is_team_1 && attempt % 2 == 0;
    used_by_team_1 += is_team_1 && !unused ? 1 : 0;
    used_by_team_2 += is_team_1 ? 0 : 1;
    h.EndFirst(unused ? SlotResult::Kind::kUnused
                      : SlotResult::Kind::kAnswered);
  }
  BOOST_TEST_MESSAGE(used_by_team_1 << " " << used_by_team_2);
  BOOST_TEST(std::abs(used_by_team_1 - used_by_team_2) <= 2);
}

// Grants whose messages were lost must not count against the team.
BOOST_AUTO_TEST_CASE(LostGrantsDoNotCount) {
  Harness h(/*fair_shares=*/true);
  h.RequestSlot(1, 1);
  h.RequestSlot(2, 1);
  for (AttemptId i = 3; i <= 10; ++i) {
    h.RequestSlot(i, 1);
    h.RequestSlot(1000 + i, 2);
  }
  h.EndFirst();
  h.EndFirst();
  const std::vector<AttemptId> lost = h.running();
  const std::set<AttemptId> expected_lost = {3, 1003};
  BOOST_TEST_REQUIRE(
      (std::set<AttemptId>(lost.begin(), lost.end()) == expected_lost));
  h.ended.insert(lost.begin(), lost.end());
  h.clock.Advance(milliseconds(300));
  h.scheduler.OnReport("a", {});
  // Both teams are as far as before the lost grants.
  const std::vector<AttemptId> running = h.running();
  const std::set<AttemptId> expected = {4, 1004};
  BOOST_TEST((std::set<AttemptId>(running.begin(), running.end()) == expected));
}

// The requests of one team need a version of which all servers are full. They
// must not use up the limit of skipped requests before another team's request
// gets the free slot of another version.
BOOST_AUTO_TEST_CASE(RequestsThatFitNoFreeServerLetOtherTeamsThrough) {
  for (const bool fair_shares : {true, false}) {
    Harness h(fair_shares);
    h.directory.Apply({.id = "s1", .service = "engines", .version = "v1"});
    h.directory.Apply(
        {.id = "s2", .service = "engines", .version = "v2", .slots = 2});
    for (AttemptId i = 1; i <= 100; ++i) {
      SlotRequest request = h.RequestOf(i, 1);
      request.version = "v1";
      h.scheduler.RequestSlot("a", request);
    }
    BOOST_TEST(h.granted.size() <= 1U);
    h.RequestSlot(1001, 2);
    BOOST_TEST(h.ServerOf(1001) == "s2");
  }
}

// Long requests that were granted while no other team waited hold all slots.
// Most of the next slots must go to the other team, not every second one.
BOOST_AUTO_TEST_CASE(TeamThatHoldsAllSlotsLeavesNextOnesToAnother) {
  const auto slots_of_team_2 = [](bool fair_shares) {
    Harness h(fair_shares, /*servers=*/4);
    for (AttemptId i = 1; i <= 40; ++i) {
      h.RequestSlot(i, 1);
    }
    for (AttemptId i = 1001; i <= 1040; ++i) {
      h.RequestSlot(i, 2);
    }
    // Four requests end.
    h.GrantAll(12);
    return h.GrantsBetween(1001, 1040);
  };
  BOOST_TEST(slots_of_team_2(true) == 3);
  BOOST_TEST(slots_of_team_2(false) == 0);
}

// An entry predicts waits from the requests and grants of each rank.
BOOST_AUTO_TEST_CASE(ReportsCountRequestsAndGrantsByRank) {
  for (const bool fair_shares : {false, true}) {
    Harness h(fair_shares);
    for (AttemptId i = 1; i <= 5; ++i) {
      h.RequestSlot(i, i);
    }
    SlotRequest lower = h.RequestOf(6, 1);
    lower.route_priority = 2;
    h.scheduler.RequestSlot("a", lower);
    const std::vector<RankLoad> expected = {
        {.waiting = 3, .granted = 2},
        {.route_priority = 2, .waiting = 1, .granted = 0}};
    BOOST_TEST_REQUIRE(h.scheduler.Reports().size() == 1U);
    BOOST_TEST((h.scheduler.Reports().front().ranks == expected));
    h.GrantAll(6);
    const std::vector<RankLoad> later = {
        {.waiting = 0, .granted = 5},
        {.route_priority = 2, .waiting = 0, .granted = 1}};
    BOOST_TEST((h.scheduler.Reports().front().ranks == later));
  }
}

}  // namespace lavenderkeel
