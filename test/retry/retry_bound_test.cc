#include "lavenderkeel/retry/retry_bound.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "test/fakes/retry_history.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(10);
const TimePoint kStart = TimePoint(std::chrono::hours(1));

}  // namespace

// Guards against windows in which requests are fewer than when the retries were
// allowed, and against requests that move between entries: all of these retry
// whatever they may, and the retries arrive early or late. Some lend what they
// may, which is sent early or late too; some are killed and start again.
BOOST_AUTO_TEST_CASE(NoWindowExceedsItsRetryBound) {
  BOOST_TEST(rc::check([] {
    const auto entries = *rc::gen::inRange<size_t>(1, 5);
    const double extra = *rc::gen::inRange(0, 12);
    const RetryBound::Options options = {.window = kWindow, .ratio = 0.2};
    std::vector<RetryBound> bounds(entries, RetryBound(options));
    std::vector<ExtraShare> shares(
        entries, {.retries = extra / static_cast<double>(entries)});
    fakes::RetryHistory history(
        {.window = kWindow, .ratio = 0.2, .extra = extra});
    std::vector<std::pair<TimePoint, std::string>> arrivals;
    TimePoint now = kStart;
    const int phases = *rc::gen::inRange(1, 12);
    for (int phase = 0; phase < phases; ++phase) {
      const TimePoint end = now + milliseconds(*rc::gen::inRange(10, 6000));
      const int request_gap_ms = *rc::gen::inRange(1, 120);
      const auto entry = *rc::gen::inRange<size_t>(0, entries);
      const bool sends_requests = *rc::gen::inRange(0, 3) > 0;
      const bool sends_retries = *rc::gen::arbitrary<bool>();
      const Duration delay = milliseconds(*rc::gen::inRange(0, 501));
      const bool lends = *rc::gen::inRange(0, 4) == 0;
      const Duration loan_delay = milliseconds(*rc::gen::inRange(0, 1001));
      if (*rc::gen::inRange(0, 3) == 0) {
        const auto killed = *rc::gen::inRange<size_t>(0, entries);
        bounds[killed] = RetryBound(options);
        shares[killed].since = now;
      }
      for (; now < end; now += milliseconds(request_gap_ms)) {
        if (sends_requests) {
          bounds[entry].OnRequest(now);
          history.OnRequest(now);
        }
        for (size_t i = 0; i < entries; ++i) {
          while (sends_retries &&
                 bounds[i].TrySend(now, shares[i]).has_value()) {
            arrivals.emplace_back(now + delay, "r");
          }
          const int lent = lends ? bounds[i].Lend(now, shares[i], 5) : 0;
          for (int loan = 0; loan < lent; ++loan) {
            arrivals.emplace_back(now + loan_delay + delay, "r");
          }
        }
      }
    }
    std::ranges::sort(arrivals);
    history.OnArrival("r", kStart);
    for (const auto& [at, id] : arrivals) {
      history.OnArrival(id, at);
    }
    RC_ASSERT(history.WorstWindow().excess() <= 0);
  }));
}

BOOST_AUTO_TEST_CASE(ExtraRetryIsAvailableAgainAfterOneWindow) {
  const RetryBound::Options options = {
      .window = seconds(1), .ratio = 0, .extra_burst_fraction = 1};
  RetryBound bound(options);
  BOOST_TEST(bound.TrySend(kStart, {1}).has_value());
  BOOST_TEST(!bound.TrySend(kStart + options.MaxAge() - milliseconds(100), {1})
                  .has_value());
  BOOST_TEST(bound.TrySend(kStart + options.MaxAge() + milliseconds(100), {1})
                 .has_value());
}

// Guards against more waiting retries than may be sent, and against one that is
// sent although the requests that allowed it have left the window.
BOOST_AUTO_TEST_CASE(ReservedRetryIsSentOnlyWhileTheBoundAllowsIt) {
  RetryBound bound({.window = kWindow, .ratio = 0.2});
  for (int request = 0; request < 25; ++request) {
    bound.OnRequest(kStart);
  }
  const TimePoint soon = kStart + seconds(1);
  BOOST_TEST(bound.TryReserve(soon, {}));
  BOOST_TEST(!bound.TryReserve(soon, {}));
  bound.ReleaseReservation();
  BOOST_TEST(bound.TryReserve(soon, {}));
  bound.ReleaseReservation();
  BOOST_TEST(!bound.TrySend(kStart + 2 * kWindow, {}).has_value());
  BOOST_TEST(bound.TrySend(soon, {}).has_value());
}

// Guards against a bound that retries use up which no server got.
BOOST_AUTO_TEST_CASE(UnsentRetryIsAvailableAgain) {
  RetryBound bound({.window = kWindow, .ratio = 0.2});
  for (int request = 0; request < 25; ++request) {
    bound.OnRequest(kStart);
  }
  const TimePoint now = kStart + seconds(1);
  const auto by_requests = bound.TrySend(now, {2});
  BOOST_TEST((by_requests == RetrySource::kRequests));
  const auto extra = bound.TrySend(now, {2});
  BOOST_TEST((extra == RetrySource::kExtra));
  BOOST_TEST(!bound.TrySend(now, {2}).has_value());
  bound.OnUnsent(now, *by_requests);
  bound.OnUnsent(now, *extra);
  const TimePoint soon = now + milliseconds(500);
  BOOST_TEST(bound.TrySend(soon, {2}).has_value());
  BOOST_TEST(bound.TrySend(soon, {2}).has_value());
  BOOST_TEST(!bound.TrySend(soon, {2}).has_value());
}

// Guards against a bound that allows much less than it may: with steady traffic
// nearly the whole ratio, and a quarter of it at once when servers fail.
BOOST_AUTO_TEST_CASE(SteadyTrafficMayRetryNearlyTheWholeRatio) {
  constexpr int kRequests = 6000;
  constexpr Duration kGap = milliseconds(10);
  RetryBound bound({.window = kWindow, .ratio = 0.2});
  TimePoint now = kStart;
  for (int request = 0; request < kRequests / 2; ++request, now += kGap) {
    bound.OnRequest(now);
  }
  int at_once = 0;
  while (bound.TrySend(now, {}).has_value()) {
    ++at_once;
  }
  BOOST_TEST(at_once >= 0.9 * 50);
  int retries = 0;
  for (int request = 0; request < kRequests / 2; ++request, now += kGap) {
    bound.OnRequest(now);
    retries += bound.TrySend(now, {}).has_value() ? 1 : 0;
  }
  BOOST_TEST(retries + at_once >= 0.9 * 0.2 * kRequests / 2);
}

// Guards against an entry that retries nothing in its first window.
BOOST_AUTO_TEST_CASE(TrafficThatHasJustBegunMayRetryHalfOfTheRatio) {
  constexpr int kRequests = 300;
  RetryBound bound({.window = kWindow, .ratio = 0.2});
  int retries = 0;
  for (int request = 0; request < kRequests; ++request) {
    const TimePoint now = kStart + request * milliseconds(10);
    bound.OnRequest(now);
    retries += bound.TrySend(now, {}).has_value() ? 1 : 0;
  }
  BOOST_TEST(retries >= 0.9 * 0.1 * kRequests);
}

}  // namespace lavenderkeel
