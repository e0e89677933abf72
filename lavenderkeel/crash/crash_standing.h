#ifndef LAVENDERKEEL_CRASH_CRASH_STANDING_H_
#define LAVENDERKEEL_CRASH_CRASH_STANDING_H_

#include <cstdint>

namespace lavenderkeel {

/// How much speaks for a request ending the servers that run it.
enum class CrashStanding : uint8_t {
  /// Nothing.
  kClear = 0,
  /// A server was lost under it, as under whatever else ran there.
  kSuspect = 1,
  /// Two were, one after the other, or several at the same time.
  kDoubtful = 2,
  /// Three were, each after the one before: it is taken for the cause.
  kBlocked = 3,
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_STANDING_H_
