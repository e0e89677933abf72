#ifndef LAVENDERKEEL_BASE_LOG_LIMITER_H_
#define LAVENDERKEEL_BASE_LOG_LIMITER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Bounds the number of log lines and counts those left out.
///
/// Failure: a flood of requests, each with its lines, fills the pipe to the
/// log collector. Symptom: the process blocks on its own log. A bounded rate,
/// and dropping what does not fit, keep the log from slowing the requests.
class LogLimiter {
 public:
  struct Options {
    /// Three lines a request at several hundred requests a second.
    double lines_per_second = 1500;
    double burst = 3000;
  };

  LogLimiter() = default;
  explicit LogLimiter(Options options)
      : options_(options), level_(options.burst) {}

  /// True if a line may be written now.
  bool Take(TimePoint now) {
    const double seconds = ToSeconds(now - filled_);
    level_ = std::min(options_.burst, level_ + std::max(0.0, seconds) *
                                                   options_.lines_per_second);
    filled_ = now;
    if (level_ < 1) {
      ++dropped_;
      return false;
    }
    level_ -= 1;
    return true;
  }

  void CountDropped() { ++dropped_; }

  /// Lines left out since the last call.
  uint64_t TakeDropped() { return std::exchange(dropped_, 0); }

 private:
  Options options_;
  double level_ = Options().burst;
  TimePoint filled_;
  uint64_t dropped_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_LOG_LIMITER_H_
