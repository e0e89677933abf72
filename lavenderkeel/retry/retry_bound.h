#ifndef LAVENDERKEEL_RETRY_RETRY_BOUND_H_
#define LAVENDERKEEL_RETRY_RETRY_BOUND_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/retry/extra_retries.h"
#include "lavenderkeel/retry/internal/bucket_counts.h"
#include "lavenderkeel/retry/retry_decision.h"

namespace lavenderkeel {

/// One entry's part of the bound on the retries of a service, which all entries
/// share: in any window of time, a ratio of the requests plus an extra number.
///
/// If a service fails and every entry retries each request, the load on its
/// remaining servers doubles and the overload does not end.
///
/// Retries of a window are allowed by the requests of this entry in that window
/// and, to a smaller part, in the one before. What is allowed thus is a sum
/// over requests, so entries that keep their parts keep the whole, however
/// requests move between them and whether or not they can reach each other.
/// Requests before a process started count for nothing, as its predecessor may
/// have used them. For the extra retries see ExtraRetries.
class RetryBound {
 public:
  struct Options {
    Duration window = std::chrono::seconds(10);
    /// Retries per request of the window.
    double ratio = 0.2;
    /// The longest time from sending a retry to its arrival that is allowed
    /// for: retries that are sent in two windows may arrive in one.
    Duration arrival_delay = std::chrono::milliseconds(500);
    /// The longest time for which retries are lent.
    Duration max_loan_validity = std::chrono::seconds(1);
    /// See ExtraRetries.
    double extra_burst_fraction = ExtraRetries::Options().burst_fraction;

    /// Within this time after a retry was allowed, it may arrive in a window.
    Duration MaxAge() const {
      return window + arrival_delay + max_loan_validity;
    }
  };

  RetryBound() : RetryBound(Options()) {}
  explicit RetryBound(const Options& options);

  void OnRequest(TimePoint now);
  void ForgetRequests() { requests_.Clear(); }

  /// Reserves a retry that is to be sent later, unless those sent and reserved
  /// use the bound up.
  bool TryReserve(TimePoint now, const ExtraShare& extra);
  void ReleaseReservation() { --reserved_; }

  /// Records a retry unless the bound would be exceeded in some window that
  /// contains it, even without any further request.
  /// @return what allows the retry; nothing if it may not be sent
  std::optional<RetrySource> TrySend(TimePoint now, const ExtraShare& extra);
  /// Takes back a retry that was recorded at that time and reached no server.
  void OnUnsent(TimePoint sent_at, RetrySource source);

  /// Records retries that another entry may send from now on, up to the longest
  /// validity.
  /// @return how many; at most half of those that the bound still allows
  int Lend(TimePoint now, const ExtraShare& extra, int wanted);

  /// Returns the use of the bound in the window that leaves the least room for
  /// a retry.
  RetryUsage UsageAt(TimePoint now, const ExtraShare& extra) const {
    return UsageAt(now, extra, Duration::zero());
  }

 private:
  /// @param delay time until the retry in question may be sent
  RetryUsage UsageAt(TimePoint now,
                     const ExtraShare& extra,
                     Duration delay) const;
  int64_t BucketOf(TimePoint time) const;
  /// Returns the number of buckets that a time may reach beyond its first.
  int64_t ToBuckets(Duration time) const;

  Options options_;
  Duration bucket_width_;
  int64_t delay_buckets_;
  int64_t loan_buckets_;
  internal::BucketCounts requests_;
  /// Retries that requests allowed.
  internal::BucketCounts retries_;
  /// Those that were lent to other entries, by the time of the loan.
  internal::BucketCounts lent_;
  ExtraRetries extra_;
  int reserved_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RETRY_RETRY_BOUND_H_
