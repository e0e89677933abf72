#include "lavenderkeel/fairness/slot_queue.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <iterator>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/fairness/work_estimator.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;

/// Queue with the team of each waiting request.
class TeamQueue {
 public:
  explicit TeamQueue(bool fair_shares = true, size_t max_idle_teams = 10'000)
      : queue_({.fair_shares = fair_shares, .max_idle_teams = max_idle_teams}) {
  }

  QueuePosition Add(const TeamWork& work,
                    const RequestRank& rank = {},
                    bool late = false) {
    QueuePosition position = {.rank = rank,
                              .late = late,
                              .sort_time = TimePoint(milliseconds(++last_)),
                              .attempt = {"e", last_}};
    Add(position, work);
    return position;
  }
  void Add(const QueuePosition& position, const TeamWork& work) {
    queue_.Insert(position, work);
    works_[position] = work;
  }
  void Erase(const QueuePosition& position) {
    queue_.Erase(position, works_.at(position));
    works_.erase(position);
  }
  /// Grants a request, which runs until End.
  SlotCharge Start(const QueuePosition& position) {
    const TeamWork work = works_.at(position);
    works_.erase(position);
    return queue_.Grant(position, work);
  }
  /// Grants a request, which ends at once.
  void Grant(const QueuePosition& position) {
    queue_.End(Start(position), /*ran=*/true);
  }
  /// Grants the first request in grant order.
  /// @return its team
  uint64_t GrantNext() {
    SlotQueue::Pass pass(queue_);
    const QueuePosition position = pass.Next().value();
    const uint64_t team = works_.at(position).team;
    Grant(position);
    return team;
  }
  /// Grants some requests in grant order.
  /// @return the number of grants to each team
  std::map<uint64_t, int> GrantNext(int count) {
    std::map<uint64_t, int> grants;
    for (int i = 0; i < count; ++i) {
      ++grants[GrantNext()];
    }
    return grants;
  }

  SlotQueue& queue() { return queue_; }
  const std::map<QueuePosition, TeamWork>& works() const { return works_; }

 private:
  SlotQueue queue_;
  std::map<QueuePosition, TeamWork> works_;
  AttemptId last_ = 0;
};

QueuePosition RandomPosition(std::mt19937_64& random, AttemptId attempt) {
  return {.rank = {.priority = static_cast<int>(random() % 3),
                   .route_priority = static_cast<int>(random() % 2)},
          .late = random() % 3 == 0,
          .sort_time = TimePoint(milliseconds(random() % 40)),
          .attempt = {"e" + std::to_string(random() % 3), attempt}};
}

/// The waiting requests in one ordered set, as without teams.
class OrderedSet {
 public:
  void Insert(const QueuePosition& position) { waiting_.insert(position); }
  void Erase(const QueuePosition& position) { waiting_.erase(position); }
  void StartPass() { current_.reset(); }
  std::optional<QueuePosition> Next() {
    const auto next = current_.has_value() ? waiting_.upper_bound(*current_)
                                           : waiting_.begin();
    if (next == waiting_.end()) {
      return std::nullopt;
    }
    current_ = *next;
    return current_;
  }
  const std::set<QueuePosition>& waiting() const { return waiting_; }

 private:
  std::set<QueuePosition> waiting_;
  std::optional<QueuePosition> current_;
};

}  // namespace

// With one team, or with the option off, the order must be that of the
// positions alone, also while requests come, leave, are skipped and end during
// a pass.
BOOST_AUTO_TEST_CASE(OrderOfOneTeamIsThatOfPositions) {
  BOOST_TEST(rc::check([](uint64_t seed, bool fair_shares) {
    std::mt19937_64 random(seed);
    TeamQueue teams(fair_shares);
    OrderedSet expected;
    AttemptId last = 0;
    std::vector<SlotCharge> charges;
    const auto add = [&] {
      const QueuePosition position = RandomPosition(random, ++last);
      // Without the option the team does not count.
      const uint64_t team = fair_shares ? 7 : random() % 5;
      teams.Add(position, {.team = team,
                           .weight = 1 + static_cast<double>(random() % 3),
                           .units = 1 + static_cast<double>(random() % 9)});
      expected.Insert(position);
    };
    const auto erase = [&] {
      if (expected.waiting().empty()) {
        return;
      }
      const auto chosen =
          static_cast<std::ptrdiff_t>(random() % expected.waiting().size());
      const QueuePosition position =
          *std::next(expected.waiting().begin(), chosen);
      teams.Erase(position);
      expected.Erase(position);
    };
    for (int round = 0; round < 20; ++round) {
      for (uint64_t i = random() % 8; i > 0; --i) {
        random() % 4 == 0 ? erase() : add();
      }
      RC_ASSERT(teams.queue().size() == expected.waiting().size());
      if (!teams.queue().empty()) {
        RC_ASSERT(teams.queue().front() == *expected.waiting().begin());
      }
      SlotQueue::Pass pass(teams.queue());
      expected.StartPass();
      for (uint64_t steps = random() % 12; steps > 0; --steps) {
        const std::optional<QueuePosition> next = pass.Next();
        RC_ASSERT(next == expected.Next());
        if (!next.has_value()) {
          break;
        }
        switch (random() % 4) {
          case 0:
            pass.OnSkipped();
            break;
          case 1:
            break;
          default:
            charges.push_back(teams.Start(*next));
            expected.Erase(*next);
        }
        if (random() % 3 == 0) {
          add();
        }
        if (random() % 5 == 0) {
          erase();
        }
        if (random() % 5 == 0 && !charges.empty()) {
          teams.queue().End(charges.back(), /*ran=*/random() % 2 == 0);
          charges.pop_back();
        }
      }
    }
  }));
}

// A less urgent request must never precede a more urgent one, or a late one
// another of its rank that can be in time, whatever the teams' shares.
BOOST_AUTO_TEST_CASE(SharesCountWithinRankOnly) {
  BOOST_TEST(rc::check([](uint64_t seed) {
    std::mt19937_64 random(seed);
    TeamQueue teams;
    for (AttemptId attempt = 1; attempt <= 200; ++attempt) {
      teams.Add(RandomPosition(random, attempt),
                {.team = random() % 6,
                 .weight = std::pow(10, static_cast<double>(random() % 6) - 3),
                 .units = static_cast<double>(1 + random() % 1000)});
      if (random() % 2 == 0) {
        SlotQueue::Pass pass(teams.queue());
        const QueuePosition next = pass.Next().value();
        const QueuePosition& first = teams.works().begin()->first;
        RC_ASSERT(next.rank == first.rank);
        RC_ASSERT(next.late == first.late);
        teams.Grant(next);
      }
    }
  }));
}

// Teams that wait all the time must get work in proportion to their weights,
// within one request of each (the bound of start-time fair queueing), whatever
// the sizes of their requests.
BOOST_AUTO_TEST_CASE(WorkOfWaitingTeamsFollowsWeights) {
  BOOST_TEST(rc::check([](uint64_t seed) {
    constexpr size_t kTeams = 4;
    constexpr double kLargest = 1000;
    std::mt19937_64 random(seed);
    TeamQueue teams;
    std::vector<double> weights;
    for (size_t team = 0; team < kTeams; ++team) {
      weights.push_back(1 + static_cast<double>(random() % 8));
    }
    const auto add = [&](uint64_t team) {
      teams.Add({.team = team,
                 .weight = weights[team - 1],
                 .units = static_cast<double>(
                     1 + random() % static_cast<uint64_t>(kLargest))});
    };
    for (uint64_t team = 1; team <= kTeams; ++team) {
      add(team);
      add(team);
    }
    std::vector<double> granted(kTeams);
    for (int i = 0; i < 300; ++i) {
      SlotQueue::Pass pass(teams.queue());
      const QueuePosition next = pass.Next().value();
      const TeamWork work = teams.works().at(next);
      teams.Grant(next);
      add(work.team);
      granted[work.team - 1] += work.units / work.weight;
      for (size_t a = 0; a < kTeams; ++a) {
        for (size_t b = 0; b < kTeams; ++b) {
          RC_ASSERT(granted[a] - granted[b] <=
                    kLargest / weights[a] + kLargest / weights[b]);
        }
      }
    }
  }));
}

// A team that was idle while others waited must not take all slots when it
// comes back.
BOOST_AUTO_TEST_CASE(IdleTeamHasNoCredit) {
  TeamQueue teams;
  for (int i = 0; i < 200; ++i) {
    teams.Add({.team = 1});
    teams.Add({.team = 2});
  }
  teams.Add({.team = 3});
  teams.GrantNext(150);
  for (int i = 0; i < 100; ++i) {
    teams.Add({.team = 3});
  }
  const std::map<uint64_t, int> grants = teams.GrantNext(30);
  BOOST_TEST(grants.at(1) == 10);
  BOOST_TEST(grants.at(2) == 10);
  BOOST_TEST(grants.at(3) == 10);
}

// A team whose waiting requests are all late falls behind without limit while
// others are in time. It must not take all slots as soon as it sends requests
// that can be in time.
BOOST_AUTO_TEST_CASE(TeamWithLateRequestsOnlyHasNoCredit) {
  TeamQueue teams;
  teams.Add({.team = 1}, {}, /*late=*/true);
  for (int i = 0; i < 100; ++i) {
    teams.Add({.team = 2});
  }
  teams.GrantNext(50);
  for (int i = 0; i < 50; ++i) {
    teams.Add({.team = 1});
  }
  const std::map<uint64_t, int> grants = teams.GrantNext(20);
  BOOST_TEST(grants.at(1) == 10);
  BOOST_TEST(grants.at(2) == 10);
}

// Slots that no other team wants cost a team nothing later: when another team
// comes, they share from then on.
BOOST_AUTO_TEST_CASE(SlotsThatNobodyElseWantsAreNoDebt) {
  TeamQueue teams;
  for (int i = 0; i < 200; ++i) {
    teams.Add({.team = 1});
  }
  teams.GrantNext(100);
  for (int i = 0; i < 50; ++i) {
    teams.Add({.team = 2});
  }
  const std::map<uint64_t, int> grants = teams.GrantNext(20);
  BOOST_TEST(grants.at(1) == 10);
  BOOST_TEST(grants.at(2) == 10);
}

// While slots are left there is capacity for all: work granted before must not
// count.
BOOST_AUTO_TEST_CASE(LeftSlotsEndBusyPeriod) {
  TeamQueue teams;
  teams.Add({.team = 1, .units = 500});
  teams.Add({.team = 2});
  teams.GrantNext(2);
  teams.queue().OnSlotsLeft();
  BOOST_TEST(teams.queue().teams() == 0U);
  teams.Add({.team = 1});
  teams.Add({.team = 2});
  BOOST_TEST(teams.GrantNext() == 1U);
}

// The queue is empty for a moment while all slots are taken. A team with large
// requests must not get the next slot as if it had had none before.
BOOST_AUTO_TEST_CASE(EmptyQueueAtFullServersKeepsShares) {
  TeamQueue teams;
  teams.Add({.team = 1, .units = 500});
  teams.Add({.team = 2});
  teams.GrantNext(2);
  teams.Add({.team = 1, .units = 500});
  teams.Add({.team = 2});
  BOOST_TEST(teams.GrantNext() == 2U);
}

// The requests of a team that were granted while nobody else waited hold the
// slots for long. The next slots must go to the other team first.
BOOST_AUTO_TEST_CASE(TeamThatHoldsSlotsLeavesNextOnesToOthers) {
  TeamQueue teams;
  constexpr size_t kSlots = 6;
  std::vector<SlotCharge> running;
  running.reserve(kSlots);
  for (size_t i = 0; i < kSlots; ++i) {
    running.push_back(teams.Start(teams.Add({.team = 1, .units = 10})));
  }
  teams.queue().OnSlotsLeft();
  for (int i = 0; i < 20; ++i) {
    teams.Add({.team = 1, .units = 10});
    teams.Add({.team = 2, .units = 10});
  }
  std::vector<uint64_t> order;
  for (const SlotCharge& charge : running) {
    teams.queue().End(charge, /*ran=*/true);
    SlotQueue::Pass pass(teams.queue());
    const QueuePosition next = pass.Next().value();
    order.push_back(teams.works().at(next).team);
    teams.Start(next);
  }
  const std::vector<uint64_t> expected = {2, 2, 1, 1, 2, 1};
  BOOST_TEST(order == expected, boost::test_tools::per_element());
}

// The work of a grant that was lost or not used must not count against its
// team, and must not become credit.
BOOST_AUTO_TEST_CASE(WorkThatDidNotRunIsReturnedWithoutCredit) {
  TeamQueue teams;
  for (int i = 0; i < 20; ++i) {
    teams.Add({.team = 1, .units = 10});
    teams.Add({.team = 2, .units = 10});
  }
  std::optional<SlotCharge> charge;
  {
    SlotQueue::Pass pass(teams.queue());
    const QueuePosition first = pass.Next().value();
    BOOST_TEST(teams.works().at(first).team == 1U);
    charge = teams.Start(first);
  }
  const SlotQueue::TeamState started = {
      .teams_waiting = 2, .ahead = 10, .running = 10};
  BOOST_TEST((teams.queue().StateOf({}, {.team = 1}) == started));
  const SlotQueue::TeamState before = {.teams_waiting = 2};
  // The second end of the same grant finds nothing left to return.
  for (int i = 0; i < 2; ++i) {
    teams.queue().End(*charge, /*ran=*/false);
    BOOST_TEST((teams.queue().StateOf({}, {.team = 1}) == before));
  }
}

// Work of an earlier busy period that is returned must not become credit in the
// present one.
BOOST_AUTO_TEST_CASE(WorkReturnedAfterBusyPeriodIsNoCredit) {
  TeamQueue teams;
  const SlotCharge former = teams.Start(teams.Add({.team = 1, .units = 10}));
  teams.queue().OnSlotsLeft();
  teams.Add({.team = 1, .units = 10});
  teams.Add({.team = 2, .units = 10});
  teams.queue().End(former, /*ran=*/false);
  const SlotQueue::TeamState expected = {.teams_waiting = 2};
  BOOST_TEST((teams.queue().StateOf({}, {.team = 1}) == expected));
}

// Memory must not grow with the teams that were ever seen: a team that is idle
// and not ahead of the virtual time is forgotten, and so are the ones least
// ahead beyond the limit.
BOOST_AUTO_TEST_CASE(TeamsInMemoryAreBounded) {
  constexpr size_t kMaxIdleTeams = 100;
  TeamQueue teams(/*fair_shares=*/true, kMaxIdleTeams);
  // Fits no server, so the rank is never empty and its virtual time stands.
  teams.Add({.team = 1});
  for (uint64_t team = 2; team < 5000; ++team) {
    teams.Grant(teams.Add({.team = team, .units = 10}));
    BOOST_TEST_REQUIRE(teams.queue().teams() <= kMaxIdleTeams + 2);
  }
  BOOST_TEST(teams.queue().teams() > kMaxIdleTeams / 2);
  // Team 1 catches up: all others are behind the virtual time.
  for (int i = 0; i < 20; ++i) {
    teams.Add({.team = 1});
    teams.GrantNext();
  }
  BOOST_TEST(teams.queue().teams() == 1U);
}

// A team whose requests fit no free server must not use up the limit of
// skipped requests before the requests of other teams are tried.
BOOST_AUTO_TEST_CASE(SkippedRequestsOfOneTeamLetOthersThrough) {
  TeamQueue teams;
  for (int i = 0; i < 100; ++i) {
    teams.Add({.team = 1});
  }
  teams.Add({.team = 2, .units = 1000});
  teams.Add({.team = 2, .units = 1000});
  BOOST_TEST(teams.GrantNext() == 1U);
  BOOST_TEST(teams.GrantNext() == 2U);
  // Team 2 is far behind team 1 in the order.
  BOOST_TEST(teams.GrantNext() == 1U);
  SlotQueue::Pass pass(teams.queue());
  int tried = 0;
  for (;;) {
    ++tried;
    const std::optional<QueuePosition> next = pass.Next();
    BOOST_TEST_REQUIRE(next.has_value());
    if (teams.works().at(*next).team == 2) {
      break;
    }
    pass.OnSkipped();
  }
  BOOST_TEST(tried < 20);
}

// Each request is returned at most once in a pass, so its length is bounded by
// the waiting requests, and all are returned.
BOOST_AUTO_TEST_CASE(PassReturnsEachRequestOnce) {
  BOOST_TEST(rc::check([](uint64_t seed) {
    std::mt19937_64 random(seed);
    TeamQueue teams;
    for (AttemptId attempt = 1; attempt <= 100; ++attempt) {
      teams.Add(RandomPosition(random, attempt), {.team = random() % 6});
    }
    for (int round = 0; round < 2; ++round) {
      SlotQueue::Pass pass(teams.queue());
      std::set<QueuePosition> returned;
      while (const std::optional<QueuePosition> next = pass.Next()) {
        RC_ASSERT(returned.insert(*next).second);
        if (random() % 2 == 0) {
          pass.OnSkipped();
        }
      }
      RC_ASSERT(returned.size() == teams.works().size());
    }
  }));
}

BOOST_AUTO_TEST_CASE(WaitingRequestsAreCountedByRank) {
  TeamQueue teams;
  teams.Add({.team = 1}, {.priority = 1});
  teams.Add({.team = 2}, {.priority = 1}, /*late=*/true);
  teams.Add({.team = 1}, {.priority = 1, .route_priority = 2});
  const std::vector<SlotQueue::RankSize> expected = {
      {.rank = {.priority = 1}, .waiting = 2, .late = 1},
      {.rank = {.priority = 1, .route_priority = 2}, .waiting = 1}};
  BOOST_TEST((teams.queue().RankSizes() == expected));
}

// A weight comes from another entry: a wrong one must not give a team all slots
// or none, or make the order undefined.
BOOST_AUTO_TEST_CASE(WrongWeightsAreReplaced) {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  BOOST_TEST(TeamWork::ValidWeight(0) == 1);
  BOOST_TEST(TeamWork::ValidWeight(-3) == 1);
  BOOST_TEST(TeamWork::ValidWeight(std::nan("")) == 1);
  BOOST_TEST(TeamWork::ValidWeight(kInfinity) == 1);
  BOOST_TEST(TeamWork::ValidWeight(-kInfinity) == 1);
  BOOST_TEST(TeamWork::ValidWeight(1e300) == TeamWork::kMaxWeight);
  BOOST_TEST(TeamWork::ValidWeight(1e-300) == TeamWork::kMinWeight);
  BOOST_TEST(TeamWork::ValidWeight(2.5) == 2.5);
}

// Requests of model servers differ hundredfold in work. One of unknown size
// must not be free of charge, and one of impossible size must not bar its team.
BOOST_AUTO_TEST_CASE(WorkIsTokensAtModelServersAndRequestsAtPlainOnes) {
  WorkEstimator estimator;
  const auto units = [&](bool model_server, const WorkSize& size) {
    return estimator.EstimateFor({.model_server = model_server, .size = size})
        .units;
  };
  BOOST_TEST(units(false, {.prompt_tokens = 500, .events = 5}) == 1);
  BOOST_TEST(units(true, {}) == 1);
  BOOST_TEST(units(true, {.prompt_tokens = 400, .events = 10}) == 1000);
  BOOST_TEST(units(true, {}) == 1000);
  BOOST_TEST(units(true, {.prompt_tokens = 0xffffffff, .events = 0xffffffff}) ==
             1e6);
}

}  // namespace lavenderkeel
