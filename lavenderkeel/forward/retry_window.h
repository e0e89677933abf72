#ifndef LAVENDERKEEL_FORWARD_RETRY_WINDOW_H_
#define LAVENDERKEEL_FORWARD_RETRY_WINDOW_H_

#include <algorithm>
#include <cstdint>
#include <deque>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/retry_decision.h"

namespace lavenderkeel {

/// Bound on the number of retries for a service in any window of time.
///
/// If a service fails and every entry retries each request, the load on its
/// remaining servers doubles and the overload does not end. Each entry uses
/// only its own part of the bound, counted from its own requests, so that
/// entries need no agreement.
class RetryWindow {
 public:
  struct Options {
    Duration window = std::chrono::seconds(10);
    /// Retries per request of the window.
    double ratio = 0.2;
    /// Additional retries, this entry's part.
    double extra = 10;
  };

  RetryWindow() = default;
  explicit RetryWindow(Options options) : options_(options) {}

  void OnRequest(TimePoint now) {
    DropExpired(now);
    AddTo(requests_, now);
  }

  /// @return whether one more retry is allowed; counts it if so
  bool TryRetry(TimePoint now) {
    const RetryUsage usage = UsageAt(now);
    if (usage.retries + 1 > usage.bound) {
      return false;
    }
    AddTo(retries_, now);
    return true;
  }

  RetryUsage UsageAt(TimePoint now) {
    DropExpired(now);
    const double requests = TotalOf(requests_);
    return {
        .requests = requests,
        .retries = static_cast<double>(TotalOf(retries_)),
        .bound = kCountedFraction * options_.ratio * requests + options_.extra,
        .extra = options_.extra};
  }

  void set_extra(double extra) { options_.extra = extra; }

 private:
  struct Bucket {
    TimePoint begin;
    uint32_t count = 0;
  };
  using Buckets = std::deque<Bucket>;

  /// The bound must hold for any window. One in which traffic has just stopped
  /// may contain a quarter fewer requests with the same retries.
  static constexpr double kCountedFraction = 0.75;

  /// Keeps a window within 5% of its length, at 20 buckets of state.
  static constexpr int kBucketsPerWindow = 20;

  void AddTo(Buckets& buckets, TimePoint now) {
    const Duration width = options_.window / kBucketsPerWindow;
    if (buckets.empty() || now - buckets.back().begin >= width) {
      buckets.push_back({.begin = now, .count = 0});
    }
    ++buckets.back().count;
  }

  static uint32_t TotalOf(const Buckets& buckets) {
    uint32_t sum = 0;
    for (const Bucket& bucket : buckets) {
      sum += bucket.count;
    }
    return sum;
  }

  void DropExpired(TimePoint now) {
    const Duration width = options_.window / kBucketsPerWindow;
    const auto drop_older = [&](Buckets& buckets, Duration age) {
      while (!buckets.empty() && now - buckets.front().begin > age) {
        buckets.pop_front();
      }
    };
    drop_older(requests_, options_.window);
    // The retries of a bucket may have been sent at the end of its width.
    drop_older(retries_, options_.window + width);
  }

  Options options_;
  Buckets requests_;
  Buckets retries_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_RETRY_WINDOW_H_
