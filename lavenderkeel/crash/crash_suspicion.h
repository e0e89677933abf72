#ifndef LAVENDERKEEL_CRASH_CRASH_SUSPICION_H_
#define LAVENDERKEEL_CRASH_CRASH_SUSPICION_H_

#include <cstdint>

namespace lavenderkeel {

/// The suspicion that a request crashes the servers that run it.
enum class CrashSuspicion : uint8_t {
  /// No server was lost under it.
  kClear = 0,
  /// One server was lost under it, as under all other requests that ran there.
  kSuspect = 1,
  /// Two servers were lost one after the other, or several at the same time.
  kDoubtful = 2,
  /// Three servers were lost one after the other: the request is taken for the
  /// cause.
  kBlocked = 3,
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_SUSPICION_H_
