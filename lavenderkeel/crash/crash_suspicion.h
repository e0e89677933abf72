#ifndef LAVENDERKEEL_CRASH_CRASH_SUSPICION_H_
#define LAVENDERKEEL_CRASH_CRASH_SUSPICION_H_

#include <cstdint>

namespace lavenderkeel {

/// The suspicion that a request crashes the servers that run it.
enum class CrashSuspicion : uint8_t {
  /// No server was lost while it had the request.
  kClear = 0,
  /// One server was lost while it had the request; all other requests that ran
  /// there are equally suspect.
  kSuspect = 1,
  /// Two servers were lost one after the other, or several at the same time.
  kDoubtful = 2,
  /// Three servers were lost one after the other: the request is presumed to be
  /// the cause.
  kBlocked = 3,
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_SUSPICION_H_
