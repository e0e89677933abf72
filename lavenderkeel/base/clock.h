#ifndef LAVENDERKEEL_BASE_CLOCK_H_
#define LAVENDERKEEL_BASE_CLOCK_H_

#include <algorithm>
#include <chrono>
#include <cmath>

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

/// Numbers beyond this are converted to it: the sum of it and any time of a
/// clock can be represented.
inline constexpr Duration kMaxDuration = std::chrono::years(1000);

namespace internal {

inline Duration FromMicroseconds(double microseconds) {
  constexpr auto kMax = static_cast<double>(kMaxDuration.count());
  return std::isnan(microseconds) ? Duration::zero()
                                  : Duration(static_cast<Duration::rep>(
                                        std::clamp(microseconds, -kMax, kMax)));
}

}  // namespace internal

/// Converts seconds to a duration, rounded toward zero to a microsecond; not a
/// number to zero.
inline Duration FromSeconds(double seconds) {
  constexpr double kMicroseconds = 1e6;
  return internal::FromMicroseconds(seconds * kMicroseconds);
}

/// Converts a duration to milliseconds with a fraction.
inline double ToFractionalMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Converts milliseconds to a duration, as FromSeconds() does.
inline Duration FromMilliseconds(double milliseconds) {
  constexpr double kMicroseconds = 1e3;
  return internal::FromMicroseconds(milliseconds * kMicroseconds);
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_CLOCK_H_
