#ifndef LAVENDERKEEL_RETRY_RETRY_BOUND_H_
#define LAVENDERKEEL_RETRY_RETRY_BOUND_H_

#include <cstdint>
#include <vector>

#include "lavenderkeel/base/clock.h"
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
/// have used them.
class RetryBound {
 public:
  struct Options {
    Duration window = std::chrono::seconds(10);
    /// Retries per request of the window.
    double ratio = 0.2;
    /// The longest time from sending a retry to its arrival that is allowed
    /// for: retries that are sent in two windows may arrive in one.
    Duration arrival_delay = std::chrono::milliseconds(500);
  };

  RetryBound() : RetryBound(Options()) {}
  explicit RetryBound(const Options& options);

  void OnRequest(TimePoint now);
  void ForgetRequests() { requests_.Clear(); }

  /// Reserves a retry that is to be sent later, unless those sent and reserved
  /// use the bound up.
  bool TryReserve(TimePoint now, double extra);
  void ReleaseReservation() { --reserved_; }

  /// Records a retry unless the bound would be exceeded in some window that
  /// contains it, even without any further request.
  /// @param extra this entry's part of the retries that do not depend on
  ///     requests
  /// @return whether the retry may be sent
  bool TrySend(TimePoint now, double extra);
  /// Takes back a retry that was recorded at that time and reached no server.
  void OnUnsent(TimePoint sent_at) { retries_.Add(BucketOf(sent_at), -1); }

  /// Returns the use of the bound in the window that leaves the least room for
  /// a retry.
  RetryUsage UsageAt(TimePoint now, double extra) const;

 private:
  int64_t BucketOf(TimePoint time) const;

  Options options_;
  Duration bucket_width_;
  int64_t delay_buckets_;
  internal::BucketCounts requests_;
  internal::BucketCounts retries_;
  int reserved_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RETRY_RETRY_BOUND_H_
