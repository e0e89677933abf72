#include "lavenderkeel/admission/reservation_queue.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

constexpr auto kAnyTier = [](uint32_t) { return true; };

Reservation Make(uint64_t key, uint32_t tier, const std::string& team) {
  return {.key = {.hi = 0, .lo = key},
          .entry = {.instance = "e", .incarnation = 1},
          .team = team,
          .tier = tier,
          .prompt_tokens = 100};
}

}  // namespace

// Guards against a lower-tier reservation that starts while a higher tier
// waits.
RC_BOOST_PROP(HigherTierStartsFirst, (const std::vector<uint8_t>& tiers)) {
  ReservationQueue queue;
  for (size_t i = 0; i < tiers.size(); ++i) {
    queue.Add(Make(i, tiers[i] % 4, "team" + std::to_string(tiers[i] % 3)));
  }
  uint32_t last = 0;
  while (const Reservation* next = queue.Next(TimePoint(), kAnyTier)) {
    RC_ASSERT(next->tier >= last);
    last = next->tier;
    queue.Dequeue(next->id());
  }
  RC_ASSERT(queue.size() == 0U);
}

// Guards against deadlines that are missed because a later one in the tier
// starts first, and against starvation of reservations without a deadline.
BOOST_AUTO_TEST_CASE(EarliestDeadlineInATierStartsFirst) {
  ReservationQueue queue;
  Reservation late = Make(1, 0, "a");
  late.deadline = TimePoint(std::chrono::seconds(9));
  Reservation soon = Make(2, 0, "a");
  soon.deadline = TimePoint(std::chrono::seconds(3));
  queue.Add(Make(3, 0, "a"));
  queue.Add(late);
  queue.Add(soon);
  BOOST_TEST(queue.Next(TimePoint(), kAnyTier)->key.lo == 2U);
  queue.Dequeue(soon.id());
  BOOST_TEST(queue.Next(TimePoint(), kAnyTier)->key.lo == 1U);
  // Aging: a reservation that has waited for 30 s precedes those with a
  // deadline.
  BOOST_TEST(
      queue.Next(TimePoint(std::chrono::seconds(31)), kAnyTier)->key.lo == 3U);
}

// Guards against a team that gets more or less than the share of its weight.
BOOST_AUTO_TEST_CASE(TeamsStartInProportionToTheirWeight) {
  ReservationQueue queue;
  for (uint64_t i = 0; i < 100; ++i) {
    Reservation large = Make(i, 0, "large");
    large.weight = 3;
    queue.Add(large);
    queue.Add(Make(1000 + i, 0, "small"));
  }
  int large_taken = 0;
  for (int i = 0; i < 40; ++i) {
    const Reservation* next = queue.Next(TimePoint(), kAnyTier);
    large_taken += next->team == "large";
    queue.Dequeue(next->id());
  }
  BOOST_TEST(large_taken == 30);
}

}  // namespace lavenderkeel
