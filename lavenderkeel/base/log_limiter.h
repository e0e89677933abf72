#ifndef LAVENDERKEEL_BASE_LOG_LIMITER_H_
#define LAVENDERKEEL_BASE_LOG_LIMITER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Token bucket for log lines that counts the dropped ones.
///
/// A flood of requests, each with its lines, can fill the pipe to the log
/// collector, and the process then blocks on its own log. Dropping the lines
/// above a bounded rate keeps logging from slowing down requests.
class LogLimiter {
 public:
  struct Options {
    /// Enough for three lines per request at several hundred requests a second.
    double lines_per_second = 1500;
    double burst = 3000;
  };

  LogLimiter() = default;
  explicit LogLimiter(Options options)
      : options_(options), tokens_(options.burst) {}

  /// Uses up a token. Returns false, and counts the line as dropped, if none is
  /// left.
  bool Take(TimePoint now) {
    const double seconds = ToSeconds(now - refilled_at_);
    tokens_ = std::min(options_.burst, tokens_ + std::max(0.0, seconds) *
                                                     options_.lines_per_second);
    refilled_at_ = now;
    if (tokens_ < 1) {
      ++dropped_;
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  void CountDropped() { ++dropped_; }

  /// Returns the number of lines dropped since the last call.
  uint64_t TakeDropped() { return std::exchange(dropped_, 0); }

 private:
  Options options_;
  double tokens_ = Options().burst;
  TimePoint refilled_at_;
  uint64_t dropped_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_LOG_LIMITER_H_
