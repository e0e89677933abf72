#ifndef LAVENDERKEEL_MEMBERSHIP_BACKOFF_H_
#define LAVENDERKEEL_MEMBERSHIP_BACKOFF_H_

#include <algorithm>
#include <random>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Exponential backoff with jitter.
///
/// Without jitter everything that an outage disconnected reconnects in the same
/// instant and overloads the restarted side again.
class Backoff {
 public:
  struct Options {
    Duration initial = std::chrono::milliseconds(50);
    Duration max = std::chrono::seconds(2);
  };

  Backoff() = default;
  explicit Backoff(Options options) : options_(options) {}

  /// Returns the wait before the next attempt: uniform between half and the
  /// whole step.
  Duration Next(std::mt19937_64& random) {
    const Duration step = std::min(options_.max, options_.initial * factor_);
    if (step < options_.max) {
      factor_ *= 2;
    }
    std::uniform_int_distribution<int64_t> pick(step.count() / 2, step.count());
    return Duration(pick(random));
  }

  void Reset() { factor_ = 1; }

 private:
  Options options_;
  int64_t factor_ = 1;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_BACKOFF_H_
