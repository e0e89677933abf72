#ifndef LAVENDERKEEL_CRASH_CRASH_REPORT_H_
#define LAVENDERKEEL_CRASH_CRASH_REPORT_H_

#include <cstdint>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/request_traits.h"

namespace lavenderkeel {

/// One observation of an entry about lost servers and the requests that they
/// ran. Times are those of the local clock; entries exchange ages.
struct CrashReport {
  enum class Kind : uint8_t {
    /// The server was lost while it had the request, from `sent` to `ended`.
    kLost = 0,
    /// A server ran the request and answered it; the run ended at `ended`.
    kSurvived = 1,
    /// The server answered a request that was sent at `sent`, so it had not
    /// ended before that; only connections to it had broken.
    kServerAlive = 2,
    /// The request still arrives, last at `ended`.
    kRequestArrived = 3,
    /// An entry started a trial run at `sent` to test whether the request still
    /// crashes servers.
    kTrialStarted = 4,
    /// A trial run ended at `ended` without a result.
    kTrialEnded = 5,
  };

  Kind kind = Kind::kLost;
  /// Empty for kServerAlive.
  RequestTraits request;
  /// Hash of the server's incarnation; set for kLost and kServerAlive.
  uint64_t server = 0;
  /// Hash of the server's address; set for kLost and kSurvived, zero if it is
  /// not known.
  uint64_t place = 0;
  TimePoint sent;
  TimePoint ended;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_REPORT_H_
