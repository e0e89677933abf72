#include "lavenderkeel/forward/retry_window.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace lavenderkeel {

namespace {

constexpr Duration kWindow = std::chrono::seconds(10);
const TimePoint kStart = TimePoint(std::chrono::hours(1));

}  // namespace

// Every request fails and is to be retried. No window may contain more retries
// than the ratio of its requests and the extra. Requests count in that window,
// in the one before or half a window before, since a retry follows its request.
BOOST_AUTO_TEST_CASE(NoWindowExceedsItsRetryBound) {
  rc::check([] {
    RetryWindow window({.window = kWindow, .ratio = 0.2, .extra = 5});
    TimePoint now = kStart;
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    const auto count = [](const std::vector<TimePoint>& times, TimePoint end) {
      return std::ranges::count_if(times, [end](TimePoint time) {
        return time <= end && end - time <= kWindow;
      });
    };
    const int steps = *rc::gen::inRange(1, 400);
    for (int i = 0; i < steps; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
      window.OnRequest(now);
      requests.push_back(now);
      if (window.TryRetry(now)) {
        retries.push_back(now);
      }
      const auto counted =
          std::max({count(requests, now), count(requests, now - kWindow),
                    count(requests, now - kWindow / 2)});
      RC_ASSERT(static_cast<double>(count(retries, now)) <=
                0.2 * static_cast<double>(counted) + 5);
    }
  });
}

BOOST_AUTO_TEST_CASE(ExtraRetryIsAvailableAgainAfterOneWindow) {
  RetryWindow window(
      {.window = std::chrono::seconds(1), .ratio = 0, .extra = 1});
  BOOST_TEST(window.TryRetry(kStart));
  BOOST_TEST(!window.TryRetry(kStart + std::chrono::milliseconds(900)));
  BOOST_TEST(window.TryRetry(kStart + std::chrono::milliseconds(1200)));
}

}  // namespace lavenderkeel
