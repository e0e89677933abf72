#ifndef LAVENDERKEEL_BASE_CLOCK_H_
#define LAVENDERKEEL_BASE_CLOCK_H_

#include <chrono>

namespace lavenderkeel {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The source of time for everything that decides.
///
/// Daemons pass a SystemClock, tests and the fuzzer a clock that they set.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Monotonic time; the only one that timeouts and leases are measured with.
  virtual TimePoint Now() const = 0;

  /// Calendar time; only for what crosses processes, such as a key's age.
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

/// Whole milliseconds of a duration, rounded down.
inline int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// A duration in seconds, with their fraction.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// The duration of so many seconds, rounded down to a microsecond.
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// A duration in milliseconds, with their fraction.
inline double ToFractionalMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// The duration of so many milliseconds, rounded down to a microsecond.
inline Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_CLOCK_H_
