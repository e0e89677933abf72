#include "lavenderkeel/forward/long_requests.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "lavenderkeel/forward/slot_scheduler.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_CASE(LongRequestsGoLastUntilTheirGrantedFractionFalls) {
  LongRequests requests;
  BOOST_TEST(requests.ShouldGoLast());
  for (int i = 0; i < 50; ++i) {
    requests.OnEndOfWait(/*is_long=*/false, /*got_slot=*/true);
  }
  int refused = 0;
  while (requests.ShouldGoLast()) {
    requests.OnEndOfWait(/*is_long=*/true, /*got_slot=*/refused == 0);
    ++refused;
    BOOST_REQUIRE(refused < 20);
  }
  // Long requests get slots again, and in the end go last as before.
  int granted = 0;
  while (!requests.ShouldGoLast()) {
    requests.OnEndOfWait(/*is_long=*/true, /*got_slot=*/true);
    ++granted;
    BOOST_REQUIRE(granted < 20);
  }
}

// In an outage all requests are refused, which puts the long ones at no
// disadvantage.
BOOST_AUTO_TEST_CASE(OutageForAllRequestsChangesNothing) {
  LongRequests requests;
  for (int i = 0; i < 500; ++i) {
    requests.OnEndOfWait(/*is_long=*/i % 15 == 0, /*got_slot=*/false);
  }
  BOOST_TEST(requests.ShouldGoLast());
}

namespace {

struct BurstResult {
  int in_time = 0;
  int total = 0;
  int long_in_time = 0;
  int total_long = 0;
};

/// Simulates a burst of 20 s: 60 requests a second for answers with a median of
/// 16 events, spread by a factor of 4.5, of 25 ms each, at 40 slots, which
/// suffice for some 35 requests a second. Clients wait for 1.4 s.
BurstResult SimulateBurst(bool by_length) {
  fuzz::VirtualClock clock;
  ServerDirectory directory;
  for (int i = 0; i < 4; ++i) {
    directory.Apply(
        {.id = "s" + std::to_string(i), .service = "engines", .slots = 10});
  }
  struct Request {
    int events = 0;
    bool is_long = false;
    TimePoint arrived;
    TimePoint ends;
    bool waiting = true;
  };
  std::map<AttemptId, Request> requests;
  LongRequests long_requests;
  BurstResult result;
  constexpr double kEventMilliseconds = 25;
  const Duration target = milliseconds(250);
  const EventLog log;
  const ServerNotices notices({.self = "self"}, clock, log);
  SlotScheduler scheduler(
      {}, directory, notices, clock,
      [&](const std::string&, const SlotGrant& grant) {
        Request& request = requests.at(grant.attempt);
        request.waiting = false;
        request.ends = clock.Now() +
                       FromSeconds(request.events * kEventMilliseconds / 1000);
        const bool in_time = clock.Now() - request.arrived < target;
        result.in_time += in_time ? 1 : 0;
        result.long_in_time += in_time && request.is_long ? 1 : 0;
        long_requests.OnEndOfWait(request.is_long, true);
      });
  std::mt19937 random(7);
  std::lognormal_distribution<double> length(std::log(16.0), 1.5);
  AttemptId last = 0;
  constexpr int kSteps = 1200;
  const Duration step = std::chrono::microseconds(16'667);
  for (int i = 0; i < kSteps; ++i) {
    const int events = std::clamp(static_cast<int>(length(random)), 1, 490);
    const bool is_long = events > 150;
    requests[++last] = {
        .events = events, .is_long = is_long, .arrived = clock.Now()};
    ++result.total;
    result.total_long += is_long ? 1 : 0;
    const bool goes_last = is_long && long_requests.ShouldGoLast();
    scheduler.RequestSlot("entry",
                          {.attempt = last,
                           .service = "engines",
                           .model_server = true,
                           .route_priority = by_length && goes_last ? 1 : 0,
                           .in_time_until = clock.Now() + target,
                           .due = clock.Now() + std::chrono::seconds(12),
                           .size = {.events = static_cast<uint32_t>(events)},
                           .event_gap_target = target,
                           .by_length = by_length && (!is_long || goes_last)});
    clock.Advance(step);
    for (auto request = requests.begin(); request != requests.end();) {
      const AttemptId attempt = request->first;
      const Request current = request->second;
      const bool times_out =
          current.waiting && clock.Now() - current.arrived > milliseconds(1400);
      const bool ends = !current.waiting && clock.Now() >= current.ends;
      ++request;
      if (times_out) {
        long_requests.OnEndOfWait(current.is_long, false);
      }
      if (times_out || ends) {
        scheduler.ReleaseSlot(
            "entry", attempt,
            {.kind =
                 ends ? SlotResult::Kind::kAnswered : SlotResult::Kind::kUnused,
             .pace_ms =
                 ends ? std::optional(kEventMilliseconds) : std::nullopt});
        requests.erase(attempt);
      }
    }
  }
  return result;
}

}  // namespace

// In a burst far beyond the capacity, long answers hold the slots that many
// others wait for. In the order of lengths half as many again are in time, and
// long requests must keep half of the chance of all.
BOOST_AUTO_TEST_CASE(OrderByLengthServesMoreClientsInBurst) {
  const BurstResult unordered = SimulateBurst(/*by_length=*/false);
  const BurstResult ordered = SimulateBurst(/*by_length=*/true);
  BOOST_TEST(5 * ordered.in_time > 6 * unordered.in_time);
  BOOST_TEST(2 * ordered.long_in_time * ordered.total >=
             ordered.in_time * ordered.total_long);
}

}  // namespace lavenderkeel
