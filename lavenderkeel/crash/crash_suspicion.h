#ifndef LAVENDERKEEL_CRASH_CRASH_SUSPICION_H_
#define LAVENDERKEEL_CRASH_CRASH_SUSPICION_H_

#include <cstdint>

namespace lavenderkeel {

/// The suspicion that a request, or something that it has in common with
/// others, crashes the servers that run it.
enum class CrashSuspicion : uint8_t {
  /// No server was lost with it that nothing else explains.
  kClear = 0,
  /// One server was lost with it; all else that ran there is equally suspect.
  kSuspect = 1,
  /// Two servers were lost one after the other, or several at the same time.
  kDoubtful = 2,
  /// Three servers were lost one after the other: it is presumed to be the
  /// cause.
  kBlocked = 3,
};

constexpr const char* CrashSuspicionName(CrashSuspicion suspicion) {
  switch (suspicion) {
    case CrashSuspicion::kClear:
      return "clear";
    case CrashSuspicion::kSuspect:
      return "suspect";
    case CrashSuspicion::kDoubtful:
      return "doubtful";
    case CrashSuspicion::kBlocked:
      return "blocked";
  }
  return "clear";
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_SUSPICION_H_
