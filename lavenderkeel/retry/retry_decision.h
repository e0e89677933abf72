#ifndef LAVENDERKEEL_RETRY_RETRY_DECISION_H_
#define LAVENDERKEEL_RETRY_RETRY_DECISION_H_

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
    case RetryRefusal::kBound:
      return "bound";
  }
  return "none";
}

/// How much of an entry's part of the bound on retries is used in a window.
struct RetryUsage {
  /// Requests that count for the window.
  double requests = 0;
  /// Retries in the window, and how many are allowed.
  double retries = 0;
  double bound = 0;
  /// The part of the bound that does not depend on requests.
  double extra = 0;

  friend bool operator==(const RetryUsage&, const RetryUsage&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RETRY_RETRY_DECISION_H_
