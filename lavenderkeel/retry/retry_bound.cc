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
      delay_buckets_(ToBuckets(options.arrival_delay)),
      loan_buckets_(ToBuckets(options.max_loan_validity)),
      requests_(2 * kBucketsPerWindow + 1),
      retries_(static_cast<size_t>(kBucketsPerWindow + delay_buckets_ + 1)),
      lent_(static_cast<size_t>(kBucketsPerWindow + delay_buckets_ +
                                loan_buckets_ + 1)),
      extra_({.window = options.MaxAge(),
              .burst_fraction = options.extra_burst_fraction}) {}

int64_t RetryBound::BucketOf(TimePoint time) const {
  return time.time_since_epoch() / bucket_width_;
}

int64_t RetryBound::ToBuckets(Duration time) const {
  return (time + bucket_width_ - Duration(1)) / bucket_width_;
}

void RetryBound::OnRequest(TimePoint now) {
  requests_.Add(BucketOf(now), 1);
}

bool RetryBound::TryReserve(TimePoint now, const ExtraShare& extra) {
  if (UsageAt(now, extra).Left() < reserved_ + 1) {
    return false;
  }
  ++reserved_;
  return true;
}

std::optional<RetrySource> RetryBound::TrySend(TimePoint now,
                                               const ExtraShare& extra) {
  const RetryUsage usage = UsageAt(now, extra);
  if (usage.LeftByRequests() >= 1) {
    retries_.Add(BucketOf(now), 1);
    return RetrySource::kRequests;
  }
  if (usage.extra_left >= 1) {
    extra_.Use(now, 1);
    return RetrySource::kExtra;
  }
  return std::nullopt;
}

void RetryBound::OnUnsent(TimePoint sent_at, RetrySource source) {
  if (source == RetrySource::kRequests) {
    retries_.Add(BucketOf(sent_at), -1);
  } else {
    extra_.GiveBack(sent_at);
  }
}

int RetryBound::Lend(TimePoint now, const ExtraShare& extra, int wanted) {
  const RetryUsage usage = UsageAt(now, extra, options_.max_loan_validity);
  const int lent = std::min(wanted, (usage.Left() - reserved_) / 2);
  if (lent <= 0) {
    return 0;
  }
  const int by_requests = std::min(lent, usage.LeftByRequests());
  lent_.Add(BucketOf(now), by_requests);
  extra_.Use(now, lent - by_requests);
  return lent;
}

RetryUsage RetryBound::UsageAt(TimePoint now,
                               const ExtraShare& extra,
                               Duration delay) const {
  const int64_t last = BucketOf(now);
  const Sums requests(requests_, last - 2 * kBucketsPerWindow, last);
  const Sums retries(retries_, last - kBucketsPerWindow - delay_buckets_, last);
  const Sums lent(
      lent_, last - kBucketsPerWindow - delay_buckets_ - loan_buckets_, last);
  std::optional<RetryUsage> tightest;
  // A window begins somewhere in its first bucket. Counted are all retries that
  // may arrive in it, and the requests that count wherever it begins: those of
  // the first bucket are in the window or in the one before.
  const int64_t last_first = last + delay_buckets_ + ToBuckets(delay);
  for (int64_t first = last - kBucketsPerWindow; first <= last_first; ++first) {
    const int64_t end = first + kBucketsPerWindow;
    const int64_t earliest_sent = first - delay_buckets_;
    const double counted =
        kSameWindowFraction * requests.Between(first + 1, end - 1) +
        std::min(kSameWindowFraction, 1 - kSameWindowFraction) *
            requests.Between(first, first) +
        (1 - kSameWindowFraction) *
            requests.Between(first - kBucketsPerWindow + 1, first - 1);
    const RetryUsage usage = {
        .requests = counted,
        .retries = static_cast<double>(
            retries.Between(earliest_sent, end) +
            lent.Between(earliest_sent - loan_buckets_, end)),
        .bound = options_.ratio * counted,
        .extra = extra.retries};
    if (!tightest.has_value() ||
        usage.bound - usage.retries < tightest->bound - tightest->retries) {
      tightest = usage;
    }
  }
  tightest->extra_left = extra_.Left(now, extra);
  return *tightest;
}

}  // namespace lavenderkeel
