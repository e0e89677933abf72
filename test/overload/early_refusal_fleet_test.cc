#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

#include "test/overload/overload_simulation.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using RankResult = OverloadSimulation::RankResult;
using Result = OverloadSimulation::Result;
using Rates = OverloadSimulation::Rates;

constexpr Rates kUsual = {0.05, 0.1, 0.25};
/// Twice the capacity.
constexpr Rates kBurst = {0.2, 0.5, 1.3};

RankResult SumOf(const Result& result) {
  RankResult sum;
  for (const RankResult& rank : result) {
    sum.sent += rank.sent;
    sum.in_time += rank.in_time;
    sum.late += rank.late;
    sum.refused += rank.refused;
    sum.refused_at_once += rank.refused_at_once;
    sum.came_back += rank.came_back;
    sum.refused_again += rank.refused_again;
    sum.returns_refused_at_once += rank.returns_refused_at_once;
  }
  return sum;
}

void Print(const char* name, const Result& result) {
  for (const RankResult& rank : result) {
    BOOST_TEST_MESSAGE(
        name << " sent " << rank.sent << " in time " << rank.in_time << " late "
             << rank.late << " refused " << rank.refused << " at once "
             << rank.refused_at_once << " came back " << rank.came_back
             << " refused again " << rank.refused_again << " mean refusal "
             << (rank.refused == 0 ? 0 : rank.refusal_seconds / rank.refused));
  }
}

/// Six seconds of burst between quieter times, in which `disturb` is called
/// after two seconds.
Result PlayBurst(const OverloadSimulation::Options& options,
                 const std::function<void(OverloadSimulation&)>& disturb = {}) {
  OverloadSimulation simulation(options);
  simulation.Run(kUsual, seconds(3));
  simulation.Run(kBurst, seconds(2));
  if (disturb) {
    disturb(simulation);
  }
  simulation.Run(kBurst, seconds(4));
  simulation.Run(kUsual, seconds(12));
  simulation.Run({}, seconds(8));
  Print(options.early_refusal ? "early" : "off", simulation.result());
  return simulation.result();
}

void CheckNotFewer(const Result& early, const Result& off, double fraction) {
  for (size_t rank = 0; rank < early.size(); ++rank) {
    BOOST_TEST(early[rank].in_time >= off[rank].in_time * fraction);
    BOOST_TEST(early[rank].answered() >= off[rank].answered() * fraction);
  }
}

void CheckMostAtOnce(const Result& result) {
  const RankResult sum = SumOf(result);
  BOOST_TEST(sum.refused_at_once * 2 > sum.refused);
}

double RefusedAgainFraction(const RankResult& result) {
  return static_cast<double>(result.refused_again) /
         std::max(1, result.came_back);
}

/// Checks that a burst is refused on arrival with the option on, and that no
/// rank gets fewer answers or more repeated refusals than with it off.
void CheckBurst(int entries) {
  for (const bool model_server : {false, true}) {
    const Result off = PlayBurst({.entries = entries,
                                  .early_refusal = false,
                                  .model_server = model_server});
    const Result early =
        PlayBurst({.entries = entries, .model_server = model_server});
    CheckMostAtOnce(early);
    CheckNotFewer(early, off, 0.98);
    const RankResult sum = SumOf(early);
    BOOST_TEST(sum.returns_refused_at_once * 50 < sum.came_back);
    BOOST_TEST(RefusedAgainFraction(sum) < RefusedAgainFraction(SumOf(off)));
  }
}

/// Counts the slot requests that entries receive, to find the scheduler.
struct SchedulerFinder {
  std::map<int, int> slot_requests;

  bool OnDelivery(int to, const Message& message) {
    slot_requests[to] += std::holds_alternative<WantSlot>(message) ? 1 : 0;
    return true;
  }
  int scheduler() const {
    return std::ranges::max_element(
               slot_requests, {}, [](const auto& item) { return item.second; })
        ->first;
  }
};

}  // namespace

// Requests that get no slot waited for seconds before their refusal, and came
// back into the same burst.
BOOST_AUTO_TEST_CASE(BurstIsRefusedOnArrivalAtNoCost) {
  CheckBurst(/*entries=*/12);
}

// The same failure, where each entry sees a quarter of the requests.
BOOST_AUTO_TEST_CASE(BurstAtFourEntriesIsRefusedOnArrivalAtNoCost) {
  CheckBurst(/*entries=*/4);
}

// Within the capacity no request may be refused early.
BOOST_AUTO_TEST_CASE(NothingIsRefusedWithinTheCapacity) {
  OverloadSimulation simulation({});
  simulation.Run({0.2, 0.3, 0.35}, seconds(10));
  simulation.Run({}, seconds(2));
  BOOST_TEST(SumOf(simulation.result()).refused == 0);
}

// With the option off every decision is as without the module.
BOOST_AUTO_TEST_CASE(NothingIsRefusedOnArrivalWithoutTheOption) {
  const RankResult sum = SumOf(PlayBurst({.early_refusal = false}));
  BOOST_TEST(sum.refused > 100);
  BOOST_TEST(sum.refused_at_once == 0);
}

// The successor of a lost scheduler grants at rates that are not known yet:
// until they are, requests are admitted, and after that refused on arrival.
BOOST_AUTO_TEST_CASE(LossOfTheSchedulerRefusesNoMore) {
  const auto play = [](bool early_refusal) {
    SchedulerFinder finder;
    return PlayBurst({.early_refusal = early_refusal,
                      .on_delivery =
                          [&finder](int, int to, Message& message) {
                            return finder.OnDelivery(to, message);
                          }},
                     [&finder](OverloadSimulation& simulation) {
                       simulation.Kill(finder.scheduler());
                     });
  };
  const Result early = play(true);
  CheckMostAtOnce(early);
  CheckNotFewer(early, play(false), 0.95);
}

// The clients of a lost entry come to the others, which don't have its
// promises.
BOOST_AUTO_TEST_CASE(LossOfAnEntryRefusesNoMore) {
  const auto play = [](bool early_refusal) {
    SchedulerFinder finder;
    return PlayBurst({.early_refusal = early_refusal,
                      .on_delivery =
                          [&finder](int, int to, Message& message) {
                            return finder.OnDelivery(to, message);
                          }},
                     [&finder](OverloadSimulation& simulation) {
                       simulation.Kill(finder.scheduler() == 3 ? 2 : 3);
                     });
  };
  const Result early = play(true);
  CheckMostAtOnce(early);
  CheckNotFewer(early, play(false), 0.95);
}

// Reports that arrive 200 ms late are used; refusals by them must not leave
// slots free.
BOOST_AUTO_TEST_CASE(DelayedReportsLeaveNoSlotsFree) {
  const auto play = [](bool early_refusal) {
    using Gates = decltype(ForwardStatus::gates);
    std::map<std::pair<int, int>, std::deque<Gates>> delayed;
    return PlayBurst(
        {.early_refusal = early_refusal,
         .on_delivery = [&delayed](int from, int to, Message& message) {
           auto* status = std::get_if<ForwardStatus>(&message);
           if (status == nullptr || status->gates.empty()) {
             return true;
           }
           std::deque<Gates>& queue = delayed[{from, to}];
           queue.push_back(std::move(status->gates));
           status->gates.clear();
           if (queue.size() > 2) {
             status->gates = std::move(queue.front());
             queue.pop_front();
           }
           return true;
         }});
  };
  const Result early = play(true);
  CheckMostAtOnce(early);
  CheckNotFewer(early, play(false), 0.95);
}

// An entry of an old version reports no ranks. As a scheduler it leaves the
// others without data, which refuse nothing early.
BOOST_AUTO_TEST_CASE(SchedulerOfAnOldVersionRefusesNothingEarly) {
  const auto without_ranks = [](int, int, Message& message) {
    if (auto* status = std::get_if<ForwardStatus>(&message)) {
      for (const auto& gate : status->gates) {
        gate->ranks.clear();
      }
    }
    return true;
  };
  OverloadSimulation simulation({.on_delivery = without_ranks});
  simulation.Run(kUsual, seconds(3));
  simulation.Run(kBurst, seconds(3));
  // The scheduler's own entry has its ranks; the others have none.
  const RankResult sum = SumOf(simulation.result());
  BOOST_TEST(sum.refused > 100);
  BOOST_TEST(sum.refused_at_once * 2 < sum.refused);
}

}  // namespace lavenderkeel
