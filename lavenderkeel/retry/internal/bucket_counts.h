#ifndef LAVENDERKEEL_RETRY_INTERNAL_BUCKET_COUNTS_H_
#define LAVENDERKEEL_RETRY_INTERNAL_BUCKET_COUNTS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace lavenderkeel::internal {

/// Counts of events in the latest buckets of time. Buckets are numbered; older
/// ones are forgotten as later ones are used.
class BucketCounts {
 public:
  explicit BucketCounts(size_t kept) : counts_(kept) {}

  void Add(int64_t bucket, int amount) {
    Advance(bucket);
    if (IsKept(bucket)) {
      At(bucket) += amount;
    }
  }

  int operator[](int64_t bucket) const {
    return IsKept(bucket) ? counts_[IndexOf(bucket)] : 0;
  }

  void Clear() { std::ranges::fill(counts_, 0); }

 private:
  bool IsKept(int64_t bucket) const {
    return bucket <= last_ &&
           last_ - bucket < static_cast<int64_t>(counts_.size());
  }
  size_t IndexOf(int64_t bucket) const {
    return static_cast<size_t>(bucket) % counts_.size();
  }
  int& At(int64_t bucket) { return counts_[IndexOf(bucket)]; }

  void Advance(int64_t bucket) {
    const auto kept = static_cast<int64_t>(counts_.size());
    for (int64_t next = std::max(last_ + 1, bucket - kept + 1); next <= bucket;
         ++next) {
      At(next) = 0;
    }
    last_ = std::max(last_, bucket);
  }

  std::vector<int> counts_;
  int64_t last_ = 0;
};

}  // namespace lavenderkeel::internal

#endif  // LAVENDERKEEL_RETRY_INTERNAL_BUCKET_COUNTS_H_
