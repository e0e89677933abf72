#include "lavenderkeel/retry/retry_bound.h"

#include <algorithm>
#include <optional>

namespace lavenderkeel {

namespace {

constexpr int64_t kBucketsPerWindow = 100;

/// The fraction of the ratio that counts requests of the same window; the rest
/// counts those of the window before. The former allows retries when traffic
/// has just begun, the latter many at once when servers fail.
constexpr double kSameWindowFraction = 0.75;

/// Sums over ranges of buckets.
class Sums {
 public:
  Sums(const internal::BucketCounts& counts, int64_t first, int64_t last)
      : first_(first) {
    sums_.reserve(static_cast<size_t>(last - first + 2));
    sums_.push_back(0);
    for (int64_t bucket = first; bucket <= last; ++bucket) {
      sums_.push_back(sums_.back() + counts[bucket]);
    }
  }

  /// Both bounds are included, and cut to the range of this object.
  int Between(int64_t first, int64_t last) const {
    return first > last ? 0 : UpTo(last) - UpTo(first - 1);
  }

 private:
  int UpTo(int64_t bucket) const {
    const int64_t index = std::clamp<int64_t>(
        bucket - first_ + 1, 0, static_cast<int64_t>(sums_.size()) - 1);
    return sums_[static_cast<size_t>(index)];
  }

  int64_t first_;
  std::vector<int> sums_;
};

}  // namespace

RetryBound::RetryBound(const Options& options)
    : options_(options),
      bucket_width_(std::max(options.window / kBucketsPerWindow, Duration(1))),
      delay_buckets_((options.arrival_delay + bucket_width_ - Duration(1)) /
                     bucket_width_),
      requests_(2 * kBucketsPerWindow + 1),
      retries_(static_cast<size_t>(kBucketsPerWindow + delay_buckets_ + 1)) {}

int64_t RetryBound::BucketOf(TimePoint time) const {
  return time.time_since_epoch() / bucket_width_;
}

void RetryBound::OnRequest(TimePoint now) {
  requests_.Add(BucketOf(now), 1);
}

bool RetryBound::TryReserve(TimePoint now, double extra) {
  const RetryUsage usage = UsageAt(now, extra);
  if (usage.retries + reserved_ + 1 > usage.bound) {
    return false;
  }
  ++reserved_;
  return true;
}

bool RetryBound::TrySend(TimePoint now, double extra) {
  const RetryUsage usage = UsageAt(now, extra);
  if (usage.retries + 1 > usage.bound) {
    return false;
  }
  retries_.Add(BucketOf(now), 1);
  return true;
}

RetryUsage RetryBound::UsageAt(TimePoint now, double extra) const {
  const int64_t last = BucketOf(now);
  const Sums requests(requests_, last - 2 * kBucketsPerWindow, last);
  const Sums retries(retries_, last - kBucketsPerWindow - delay_buckets_, last);
  std::optional<RetryUsage> tightest;
  // A window begins somewhere in its first bucket. Counted are all retries that
  // may arrive in it, and the requests that count wherever it begins: those of
  // the first bucket are in the window or in the one before.
  for (int64_t first = last - kBucketsPerWindow; first <= last + delay_buckets_;
       ++first) {
    const int64_t end = first + kBucketsPerWindow;
    const double counted =
        kSameWindowFraction * requests.Between(first + 1, end - 1) +
        std::min(kSameWindowFraction, 1 - kSameWindowFraction) *
            requests.Between(first, first) +
        (1 - kSameWindowFraction) *
            requests.Between(first - kBucketsPerWindow + 1, first - 1);
    const RetryUsage usage = {.requests = counted,
                              .retries = static_cast<double>(
                                  retries.Between(first - delay_buckets_, end)),
                              .bound = options_.ratio * counted + extra,
                              .extra = extra};
    if (!tightest.has_value() ||
        usage.bound - usage.retries < tightest->bound - tightest->retries) {
      tightest = usage;
    }
  }
  return *tightest;
}

}  // namespace lavenderkeel
