#include "lavenderkeel/memory/body_memory.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMiB = size_t{1} << 20;
constexpr size_t kLimit = 16 * kMiB;
/// What large bodies may use together.
constexpr size_t kLargeLimit = 12 * kMiB;
constexpr size_t kSmall = 1000;

/// Bodies and what happened to them.
class BodyHarness {
 public:
  explicit BodyHarness(BodyMemory::Options options = {})
      : bodies(std::move(options), budget, clock) {}

  BodyMemory::BodyId Request(size_t bytes, int rank = 0) {
    const auto next = static_cast<BodyMemory::BodyId>(++requests_);
    const BodyMemory::Reservation reservation =
        bodies.Request(bytes, rank,
                       {.on_granted = [this, next] { granted[next] = true; },
                        .on_ended =
                            [this, next](BodyMemory::End end) {
                              ended.insert_or_assign(next, end);
                            }});
    granted[reservation.body] = reservation.granted;
    return reservation.body;
  }
  void Advance(Duration duration) {
    clock.Advance(duration);
    bodies.Process();
  }

  fuzz::VirtualClock clock;
  MemoryBudget budget{kLimit};
  BodyMemory bodies;
  std::map<BodyMemory::BodyId, bool> granted;
  std::map<BodyMemory::BodyId, BodyMemory::End> ended;

 private:
  int requests_ = 0;
};

}  // namespace

// Guards against half-read bodies that keep the memory from the next one.
BOOST_AUTO_TEST_CASE(StalledBodyYieldsToTheNext) {
  BodyHarness harness;
  const auto stalled = harness.Request(8 * kMiB);
  const auto next = harness.Request(8 * kMiB);
  BOOST_TEST(harness.granted[stalled]);
  BOOST_TEST(!harness.granted[next]);
  harness.Advance(milliseconds(900));
  BOOST_TEST(!harness.granted[next]);
  harness.Advance(milliseconds(100));
  BOOST_TEST(harness.granted[next]);
  BOOST_TEST((harness.ended.at(stalled) == BodyMemory::End::kStalled));
}

// Guards against clients that keep memory with a byte now and then.
BOOST_AUTO_TEST_CASE(TrickleIsNoProgress) {
  BodyHarness harness;
  const auto trickle = harness.Request(8 * kMiB);
  for (size_t i = 1; i <= 10; ++i) {
    harness.clock.Advance(milliseconds(100));
    harness.bodies.OnProgress(trickle, 1000 * i);
  }
  BOOST_TEST(harness.granted[harness.Request(8 * kMiB)]);
  BOOST_TEST(harness.ended.contains(trickle));
}

// Guards against bodies that are ended while their clients go on sending.
BOOST_AUTO_TEST_CASE(BodyThatArrivesDoesNotYield) {
  BodyHarness harness;
  const auto arriving = harness.Request(8 * kMiB);
  const auto next = harness.Request(8 * kMiB);
  for (size_t i = 1; i <= 25; ++i) {
    harness.bodies.OnProgress(arriving, 40'000 * i);
    harness.Advance(milliseconds(100));
  }
  BOOST_TEST(!harness.ended.contains(arriving));
  BOOST_TEST((harness.ended.at(next) == BodyMemory::End::kWaitOver));
}

// Guards against stalled bodies that are ended though nobody needs the memory.
BOOST_AUTO_TEST_CASE(StalledBodyStaysWhileThereIsRoom) {
  BodyHarness harness;
  const auto stalled = harness.Request(4 * kMiB);
  harness.Advance(seconds(10));
  BOOST_TEST(harness.granted[harness.Request(4 * kMiB)]);
  BOOST_TEST(!harness.ended.contains(stalled));
}

// Guards against large bodies that leave nothing for small ones.
BOOST_AUTO_TEST_CASE(SmallBodiesDoNotWaitForLargeOnes) {
  BodyHarness harness;
  while (harness.granted[harness.Request(3 * kMiB)]) {
  }
  BOOST_TEST(harness.bodies.reserved() == kLargeLimit);
  BOOST_TEST(harness.granted[harness.Request(kSmall)]);
}

// Guards against urgent bodies that wait behind others.
BOOST_AUTO_TEST_CASE(MoreUrgentBodyGoesFirst) {
  BodyHarness harness;
  const auto first = harness.Request(kLargeLimit);
  const auto later = harness.Request(kLargeLimit, /*rank=*/2);
  const auto urgent = harness.Request(kLargeLimit, /*rank=*/1);
  harness.bodies.Release(first);
  harness.bodies.Process();
  BOOST_TEST(harness.granted[urgent]);
  BOOST_TEST(!harness.granted[later]);
}

// Guards against a body that is never granted since smaller ones take each
// piece of memory that becomes free.
BOOST_AUTO_TEST_CASE(LargerBodyKeepsItsTurn) {
  BodyHarness harness;
  const auto first = harness.Request(8 * kMiB);
  const auto second = harness.Request(4 * kMiB);
  const auto large = harness.Request(10 * kMiB);
  const auto smaller = harness.Request(2 * kMiB);
  harness.bodies.Release(second);
  harness.bodies.Process();
  BOOST_TEST(!harness.granted[smaller]);
  harness.bodies.Release(first);
  harness.bodies.Process();
  BOOST_TEST(harness.granted[large]);
}

// Guards against bodies of unknown length that each hold a part of the memory
// and wait for the rest.
BOOST_AUTO_TEST_CASE(GrowingBodiesDoNotBlockEachOther) {
  BodyHarness harness;
  constexpr size_t kFirst = size_t{64} << 10;
  constexpr size_t kBodies = 40;
  std::vector<BodyMemory::BodyId> bodies;
  for (size_t i = 0; i < kBodies; ++i) {
    bodies.push_back(harness.Request(kFirst));
  }
  for (const auto body : bodies) {
    harness.granted[body] = harness.bodies.Extend(body, 4 * kMiB);
  }
  size_t completed = 0;
  for (int round = 0; round < 100 && completed < kBodies; ++round) {
    for (const auto body : bodies) {
      if (std::exchange(harness.granted[body], false)) {
        harness.bodies.Release(body);
        ++completed;
      }
    }
    harness.Advance(milliseconds(20));
  }
  BOOST_TEST(completed == kBodies);
  BOOST_TEST(harness.budget.used() == 0U);
}

// Guards against waiting for memory that the process does not have.
BOOST_AUTO_TEST_CASE(BodyBeyondTheBudgetIsRefused) {
  BodyHarness harness;
  const auto single = harness.Request(kLimit);
  BOOST_TEST(harness.granted[single]);
  harness.bodies.Release(single);
  const auto beyond = harness.Request(kLimit + 1);
  harness.bodies.Process();
  BOOST_TEST((harness.ended.at(beyond) == BodyMemory::End::kTooLarge));
}

// Guards against complete requests of lower rank that keep the memory from an
// urgent body.
BOOST_AUTO_TEST_CASE(LessUrgentRequestsYieldTheirMemory) {
  MemoryCharge held;
  BodyHarness harness({.reclaim = [&held](int rank, size_t) {
    constexpr int kHeldRank = 2;
    if (rank < kHeldRank) {
      held.Resize(0);
    }
  }});
  held = MemoryCharge(harness.budget, kLimit);
  const auto same_rank = harness.Request(kMiB, /*rank=*/2);
  BOOST_TEST(!harness.granted[same_rank]);
  const auto urgent = harness.Request(kMiB, /*rank=*/1);
  BOOST_TEST(harness.granted[urgent]);
}

// Guards against memory that is granted beyond the budget, bodies without an
// end, and charges that are left behind, under any mix of clients.
BOOST_AUTO_TEST_CASE(AnyMixOfBodiesStaysWithinTheBudget) {
  BOOST_TEST(rc::check([] {
    BodyHarness harness;
    std::map<BodyMemory::BodyId, size_t> open;
    std::map<BodyMemory::BodyId, TimePoint> since;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      const auto kind = *rc::gen::inRange(0, 5);
      if (kind == 0 || open.empty()) {
        const size_t bytes = *rc::gen::inRange<size_t>(1, 6 * kMiB);
        const auto body = harness.Request(bytes, *rc::gen::inRange(0, 3));
        open[body] = bytes;
        since[body] = harness.clock.Now();
      } else {
        auto chosen = open.begin();
        std::advance(chosen, *rc::gen::inRange<size_t>(0, open.size()));
        if (kind == 1 && harness.granted[chosen->first]) {
          harness.bodies.OnProgress(chosen->first, chosen->second);
        } else if (kind == 2) {
          harness.bodies.Release(chosen->first);
          open.erase(chosen);
        } else if (kind == 3 && harness.granted[chosen->first] &&
                   !harness.ended.contains(chosen->first)) {
          chosen->second += kMiB;
          since[chosen->first] = harness.clock.Now();
          harness.granted[chosen->first] =
              harness.bodies.Extend(chosen->first, chosen->second);
        } else {
          harness.Advance(milliseconds(*rc::gen::inRange(0, 500)));
        }
      }
      RC_ASSERT(!harness.budget.is_over());
      std::erase_if(open, [&](const auto& item) {
        return harness.ended.contains(item.first);
      });
    }
    harness.Advance(seconds(3));
    for (const auto& [body, bytes] : open) {
      // Whoever waited has got the memory or an answer.
      RC_ASSERT(harness.granted[body] || harness.ended.contains(body));
      harness.bodies.Release(body);
    }
    RC_ASSERT(harness.budget.used() == 0U);
  }));
}

}  // namespace lavenderkeel
