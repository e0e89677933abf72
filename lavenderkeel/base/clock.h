#ifndef LAVENDERKEEL_BASE_CLOCK_H_
#define LAVENDERKEEL_BASE_CLOCK_H_

#include <chrono>

namespace lavenderkeel {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Source of time for all components that make decisions.
///
/// Daemons pass a SystemClock, tests and the fuzzer a clock that they control.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Monotonic time, the only time that timeouts and leases are measured with.
  virtual TimePoint Now() const = 0;

  /// Calendar time, only for values that cross processes, such as a key's age.
  virtual WallTime WallNow() const = 0;
};

class SystemClock final : public Clock {
 public:
  TimePoint Now() const override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
  WallTime WallNow() const override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::system_clock::now());
  }
};

/// Converts a duration to whole milliseconds, rounded down.
inline int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// Converts a duration to seconds with a fraction.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Converts seconds to a duration, rounded down to a microsecond.
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// Converts a duration to milliseconds with a fraction.
inline double ToFractionalMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Converts milliseconds to a duration, rounded down to a microsecond.
inline Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_CLOCK_H_
