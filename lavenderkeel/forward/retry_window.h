#ifndef LAVENDERKEEL_FORWARD_RETRY_WINDOW_H_
#define LAVENDERKEEL_FORWARD_RETRY_WINDOW_H_

#include <algorithm>
#include <cstdint>
#include <deque>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Bounds how many second sendings a service gets in any window of time.
///
/// Failure: a service fails, every entry sends each request again, and the
/// load on what is left of it doubles. Symptom: an overload that does not end.
/// Each entry spends only its own part of the bound, counted from its own
/// requests, so that no agreement between entries is needed.
class RetryWindow {
 public:
  struct Options {
    Duration window = std::chrono::seconds(10);
    /// Extra sendings per request of the window.
    double ratio = 0.2;
    /// Extra sendings beside these, this entry's part.
    double extra = 10;
  };

  RetryWindow() = default;
  explicit RetryWindow(Options options) : options_(options) {}

  void OnRequest(TimePoint now) {
    Forget(now);
    Count(requests_, now);
  }

  /// True if one more sending fits, and counts it.
  bool TryRetry(TimePoint now) {
    Forget(now);
    const double bound =
        kCountedPart * options_.ratio * static_cast<double>(Sum(requests_)) +
        options_.extra;
    if (static_cast<double>(Sum(retries_)) + 1 > bound) {
      return false;
    }
    Count(retries_, now);
    return true;
  }

  void set_extra(double extra) { options_.extra = extra; }

 private:
  struct Bucket {
    TimePoint begin;
    uint32_t count = 0;
  };
  using Buckets = std::deque<Bucket>;

  /// Whoever checks the bound slides its window: where traffic just stopped,
  /// it may see a quarter fewer requests beside the same retries.
  static constexpr double kCountedPart = 0.75;

  /// Fine enough that a window is met within 5%, at 20 buckets of state.
  static constexpr int kBucketsPerWindow = 20;

  void Count(Buckets& buckets, TimePoint now) {
    const Duration width = options_.window / kBucketsPerWindow;
    if (buckets.empty() || now - buckets.back().begin >= width) {
      buckets.push_back({.begin = now, .count = 0});
    }
    ++buckets.back().count;
  }

  static uint32_t Sum(const Buckets& buckets) {
    uint32_t sum = 0;
    for (const Bucket& bucket : buckets) {
      sum += bucket.count;
    }
    return sum;
  }

  void Forget(TimePoint now) {
    const Duration width = options_.window / kBucketsPerWindow;
    const auto forget = [&](Buckets& buckets, Duration age) {
      while (!buckets.empty() && now - buckets.front().begin > age) {
        buckets.pop_front();
      }
    };
    forget(requests_, options_.window);
    // A bucket's retries may have come at its end.
    forget(retries_, options_.window + width);
  }

  Options options_;
  Buckets requests_;
  Buckets retries_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_RETRY_WINDOW_H_
