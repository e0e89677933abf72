#include "lavenderkeel/overload/return_schedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "lavenderkeel/base/rendezvous.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SlotRank kUrgent = {0, 0};
constexpr SlotRank kUsual = {0, 1};

ReturnSchedule::Query QueryOf(const SlotRank& rank, int number) {
  return {.rank = rank,
          .earliest = seconds(1),
          .latest = seconds(3),
          .capacity = 50,
          .hash = HashBytes(std::to_string(number))};
}

}  // namespace

// A Retry-After that promises the same capacity to all clients makes them come
// back at once and be refused again.
BOOST_AUTO_TEST_CASE(ReturnsAreSpreadByCapacity) {
  const fuzz::VirtualClock clock;
  ReturnSchedule schedule;
  std::map<int64_t, int> by_step;
  for (int i = 0; i < 60; ++i) {
    const Duration at = schedule.Promise(QueryOf(kUsual, i), clock.Now());
    BOOST_TEST((at >= seconds(1) && at <= seconds(3)));
    ++by_step[at / ReturnSchedule::kStep];
  }
  // Five a step, so that 60 need 1.2 s.
  for (const auto& [step, count] : by_step) {
    BOOST_TEST(count <= 5);
    BOOST_TEST(step <= 22);
  }
  BOOST_TEST(schedule.promised(clock.Now()) == 60);
}

// Urgent requests that are refused later than others still return before them.
BOOST_AUTO_TEST_CASE(UrgentReturnsComeFirst) {
  const fuzz::VirtualClock clock;
  ReturnSchedule schedule;
  for (int i = 0; i < 40; ++i) {
    schedule.Promise(QueryOf(kUsual, i), clock.Now());
  }
  Duration latest_urgent{};
  for (int i = 0; i < 10; ++i) {
    latest_urgent = std::max(
        latest_urgent, schedule.Promise(QueryOf(kUrgent, i), clock.Now()));
  }
  BOOST_TEST((latest_urgent <= milliseconds(1200)));
  BOOST_TEST((schedule.Promise(QueryOf(kUsual, 99), clock.Now()) >=
              milliseconds(1800)));
}

// An entry of hundreds has less than one return a step; its promises must not
// all fall on the first step.
BOOST_AUTO_TEST_CASE(ReturnsBeyondTheCapacityAreSpreadEvenly) {
  const fuzz::VirtualClock clock;
  ReturnSchedule schedule;
  std::map<int64_t, int> by_step;
  for (int i = 0; i < 40; ++i) {
    ReturnSchedule::Query query = QueryOf(kUsual, i);
    query.capacity = 0.1;
    ++by_step[schedule.Promise(query, clock.Now()) / ReturnSchedule::kStep];
  }
  for (const auto& [step, count] : by_step) {
    BOOST_TEST(count <= 3);
  }
  BOOST_TEST(by_step.size() >= 19U);
}

// The schedule of a process that runs for days stays small.
BOOST_AUTO_TEST_CASE(PastPromisesAreForgotten) {
  fuzz::VirtualClock clock;
  ReturnSchedule schedule;
  for (int i = 0; i < 40; ++i) {
    schedule.Promise(QueryOf(kUsual, i), clock.Now());
  }
  clock.Advance(seconds(4));
  BOOST_TEST(schedule.promised(clock.Now()) == 0);
  schedule.Promise(QueryOf(kUsual, 1), clock.Now());
  BOOST_TEST(schedule.promised(clock.Now()) == 1);
}

// A client with little time left must not be told to come back after it.
BOOST_AUTO_TEST_CASE(ReturnIsNoLaterThanTheLatest) {
  const fuzz::VirtualClock clock;
  ReturnSchedule schedule;
  for (int i = 0; i < 40; ++i) {
    ReturnSchedule::Query query = QueryOf(kUsual, i);
    query.latest = milliseconds(130);
    BOOST_TEST((schedule.Promise(query, clock.Now()) <= milliseconds(130)));
  }
}

}  // namespace lavenderkeel
