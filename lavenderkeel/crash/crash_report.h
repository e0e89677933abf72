#ifndef LAVENDERKEEL_CRASH_CRASH_REPORT_H_
#define LAVENDERKEEL_CRASH_CRASH_REPORT_H_

#include <cstdint>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/request_fingerprint.h"

namespace lavenderkeel {

/// One thing that an entry saw of servers that end and of the requests that
/// they ran. Times are the reader's; what crosses between entries are ages.
struct CrashReport {
  enum class Kind : uint8_t {
    /// The server was lost while it had the request, from `sent` to `ended`.
    kLost = 0,
    /// A server ran the request and answered it; the run ended at `ended`.
    kSurvived = 1,
    /// The server answered something that was sent at `sent`: it had not ended
    /// before, only connections to it had.
    kServerLives = 2,
    /// The request still comes, last at `ended`.
    kComesAgain = 3,
    /// An entry lets one run of it, from `sent` on, show whether servers still
    /// end under it.
    kTried = 4,
  };

  Kind kind = Kind::kLost;
  /// Zero for kServerLives.
  RequestFingerprint request = 0;
  /// Hash of the server's incarnation, for kLost and kServerLives.
  uint64_t server = 0;
  TimePoint sent;
  TimePoint ended;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_REPORT_H_
