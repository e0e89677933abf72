#ifndef LAVENDERKEEL_RATES_DECAYING_RATE_H_
#define LAVENDERKEEL_RATES_DECAYING_RATE_H_

#include <algorithm>
#include <cmath>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Rate of a quantity over about the last second. The weight of an amount
/// decays exponentially with its age.
///
/// Before amounts of a full time constant were seen, the rate is taken over the
/// time since the start, so that it is right soon after a change from rest.
class DecayingRate {
 public:
  static constexpr Duration kTimeConstant = std::chrono::seconds(1);
  /// Lower bound of the time that a rate is taken over; a single request after
  /// a rest is no high rate.
  static constexpr Duration kMinTime = std::chrono::milliseconds(300);

  /// Begins to observe; a rest before counts as not observed.
  void Start(TimePoint now) {
    if (IsAtRest(now)) {
      start_ = now;
      last_ = now;
      weighted_ = 0;
    }
  }

  void Add(double amount, TimePoint now) {
    Start(now);
    weighted_ = WeightedAt(now) + amount;
    last_ = std::max(last_, now);
  }

  /// Returns the amount per second.
  double PerSecond(TimePoint now) const {
    if (IsAtRest(now)) {
      return 0;
    }
    const double constant = ToSeconds(kTimeConstant);
    const double age = ToSeconds(std::max(kMinTime, now - start_));
    return WeightedAt(now) / (constant * (1 - std::exp(-age / constant)));
  }

 private:
  /// Without an amount for this long, less than a hundredth is left.
  static constexpr Duration kRest = 5 * kTimeConstant;

  bool IsAtRest(TimePoint now) const {
    return last_ == TimePoint() || now - last_ > kRest;
  }
  double WeightedAt(TimePoint now) const {
    const Duration age = std::max(Duration::zero(), now - last_);
    return weighted_ * std::exp(-ToSeconds(age) / ToSeconds(kTimeConstant));
  }

  double weighted_ = 0;
  TimePoint last_;
  TimePoint start_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RATES_DECAYING_RATE_H_
