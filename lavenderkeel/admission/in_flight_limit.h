#ifndef LAVENDERKEEL_ADMISSION_IN_FLIGHT_LIMIT_H_
#define LAVENDERKEEL_ADMISSION_IN_FLIGHT_LIMIT_H_

#include <algorithm>
#include <cstdint>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// An adaptive limit (AIMD) for the requests in flight at a backend server.
///
/// Increases additively while the time between tokens is within the target and
/// the limit is reached; decreases multiplicatively while that time exceeds the
/// target. The limit is needed because engines admit every request, and each
/// one slows down all others.
class InFlightLimit {
 public:
  struct Options {
    uint32_t min = 1;
    uint32_t initial = 8;
    uint32_t max = 64;
    Duration between_tokens = std::chrono::milliseconds(49);
    Duration period = std::chrono::milliseconds(500);
  };

  InFlightLimit() = default;
  explicit InFlightLimit(Options options)
      : options_(options), limit_(options.initial) {}

  uint32_t limit() const { return limit_; }

  /// Records a time between two tokens of one request.
  void Observe(Duration gap) {
    sum_ += gap;
    ++samples_;
  }

  /// Adapts the limit once per period.
  /// @param running number of requests running now
  void Tick(TimePoint now, uint32_t running) {
    if (now < next_) {
      return;
    }
    next_ = now + options_.period;
    if (samples_ == 0) {
      return;
    }
    const Duration mean = sum_ / samples_;
    sum_ = Duration::zero();
    samples_ = 0;
    if (mean > options_.between_tokens) {
      limit_ = std::max(options_.min, limit_ * 9 / 10);
    } else if (running >= limit_) {
      limit_ = std::min(options_.max, limit_ + 1);
    }
  }

 private:
  Options options_;
  uint32_t limit_ = Options().initial;
  Duration sum_ = Duration::zero();
  int64_t samples_ = 0;
  TimePoint next_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ADMISSION_IN_FLIGHT_LIMIT_H_
