#include "lavenderkeel/retry/extra_retries.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(10);
constexpr double kShare = 12;
const TimePoint kStart = TimePoint(std::chrono::hours(1));

/// Uses all that may be used.
/// @return how many retries
int UseAll(ExtraRetries& extra,
           TimePoint now,
           const ExtraShare& share = {.retries = kShare}) {
  int used = 0;
  for (; extra.Left(now, share) >= 1; ++used) {
    extra.Use(now, 1);
  }
  return used;
}

}  // namespace

// Guards against processes that are killed one after the other and use more
// than the share together.
BOOST_AUTO_TEST_CASE(SuccessiveProcessesUseNoMoreThanTheShare) {
  BOOST_TEST(rc::check([] {
    std::vector<TimePoint> uses;
    TimePoint now = kStart;
    ExtraRetries extra({.window = kWindow});
    ExtraShare share = {.retries = kShare};
    for (int life = *rc::gen::inRange(1, 12); life > 0; --life) {
      const TimePoint end = now + milliseconds(*rc::gen::inRange(0, 15'000));
      const Duration idle = milliseconds(*rc::gen::inRange(0, 5000));
      const Duration gap = milliseconds(*rc::gen::inRange(1, 700));
      for (now += idle; now < end; now += gap) {
        uses.insert(uses.end(), static_cast<size_t>(UseAll(extra, now, share)),
                    now);
      }
      now = std::max(now, end);
      extra = ExtraRetries({.window = kWindow});
      share.since = now;
    }
    for (auto first = uses.begin(); first != uses.end(); ++first) {
      const auto last = std::ranges::upper_bound(uses, *first + kWindow);
      RC_ASSERT(static_cast<double>(last - first) <= kShare);
    }
  }));
}

// Guards against a process that uses nothing in its first window.
BOOST_AUTO_TEST_CASE(RestartedProcessUsesAllButTheBurstInItsFirstWindow) {
  ExtraRetries extra({.window = kWindow, .burst_fraction = 0.25});
  const ExtraShare share = {.retries = kShare, .since = kStart};
  BOOST_TEST(UseAll(extra, kStart, share) == 0);
  int used = 0;
  for (TimePoint now = kStart; now <= kStart + kWindow; now += seconds(1)) {
    used += UseAll(extra, now, share);
  }
  BOOST_TEST(used == 0.75 * kShare);
}

// Guards against a process that has run for long, and gets less than the share
// in each window, or no burst.
BOOST_AUTO_TEST_CASE(SteadyProcessUsesTheWholeShare) {
  ExtraRetries extra({.window = kWindow, .burst_fraction = 0.25});
  BOOST_TEST(UseAll(extra, kStart) == kShare / 4);
  constexpr int kWindows = 10;
  int used = 0;
  TimePoint now = kStart;
  for (const TimePoint end = now + kWindows * kWindow; now < end;
       now += milliseconds(10)) {
    used += UseAll(extra, now);
  }
  BOOST_TEST(used >= 0.85 * kWindows * kShare);
}

// Guards against a small share that is never used.
BOOST_AUTO_TEST_CASE(ShareOfOneRetryIsUsed) {
  ExtraRetries extra({.window = kWindow});
  BOOST_TEST(UseAll(extra, kStart, {1.5}) == 1);
  BOOST_TEST(UseAll(extra, kStart + kWindow, {1.5}) == 0);
  BOOST_TEST(UseAll(extra, kStart + kWindow + milliseconds(1), {1.5}) == 1);
  BOOST_TEST(UseAll(extra, kStart + 3 * kWindow, {0.9}) == 0);
}

// Guards against a share that is used anew when it becomes smaller.
BOOST_AUTO_TEST_CASE(SmallerShareCountsWhatWasUsed) {
  ExtraRetries extra({.window = kWindow});
  const int used = UseAll(extra, kStart);
  const ExtraShare half = {.retries = kShare / 2};
  BOOST_TEST(extra.Left(kStart, half) < 0);
  BOOST_TEST(UseAll(extra, kStart + kWindow, half) <= kShare / 2 - used);
}

}  // namespace lavenderkeel
