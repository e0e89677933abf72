#ifndef LAVENDERKEEL_RETRY_RETRY_DECISION_H_
#define LAVENDERKEEL_RETRY_RETRY_DECISION_H_

#include <algorithm>
#include <cstddef>

namespace lavenderkeel {

/// Why a request is not sent to a further server after a failed attempt.
enum class RetryRefusal {
  /// None: it is sent again.
  kNone,
  /// Too little time is left.
  kTime,
  /// It was sent to too many servers already, whether or not they ran it.
  kServersTried,
  /// It may have run, and may not run again.
  kNotRepeatable,
  /// It may have run at as many servers as its route allows.
  kMaxAttempts,
  /// The client has a part of the stream that no event id marks.
  kNoEventId,
  /// The client has a part of the answer.
  kPartDelivered,
  /// The retries of its service have reached their bound.
  kBound,
};

constexpr const char* RetryRefusalName(RetryRefusal refusal) {
  switch (refusal) {
    case RetryRefusal::kNone:
      return "none";
    case RetryRefusal::kTime:
      return "time";
    case RetryRefusal::kServersTried:
      return "servers_tried";
    case RetryRefusal::kNotRepeatable:
      return "not_repeatable";
    case RetryRefusal::kMaxAttempts:
      return "max_attempts";
    case RetryRefusal::kNoEventId:
      return "no_event_id";
    case RetryRefusal::kPartDelivered:
      return "part_delivered";
    case RetryRefusal::kBound:
      return "bound";
  }
  return "none";
}

/// The part of the bound that allows a retry.
enum class RetrySource {
  /// The part that grows with the requests.
  kRequests,
  /// The part that does not depend on them.
  kExtra,
};

/// How much of an entry's part of the bound on retries is used in a window.
struct RetryUsage {
  /// Requests that count for the window.
  double requests = 0;
  /// Retries in the window that these allowed, and how many they allow.
  double retries = 0;
  double bound = 0;
  /// This entry's share of the extra retries, and how many are left now.
  double extra = 0;
  double extra_left = 0;

  int LeftByRequests() const {
    return static_cast<int>(std::max(0.0, bound - retries));
  }
  /// Returns the number of retries that are still allowed.
  int Left() const {
    return LeftByRequests() + static_cast<int>(std::max(0.0, extra_left));
  }

  friend bool operator==(const RetryUsage&, const RetryUsage&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RETRY_RETRY_DECISION_H_
