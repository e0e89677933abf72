#ifndef LAVENDERKEEL_PACE_SERVICE_PACE_H_
#define LAVENDERKEEL_PACE_SERVICE_PACE_H_

#include <algorithm>
#include <cmath>

#include "lavenderkeel/forward/upper_quantile_estimator.h"

namespace lavenderkeel {

/// Recent time per unit of work over all servers of a service: the measure for
/// each of them in the same seconds.
class ServicePace {
 public:
  /// Shorter samples count as this; a time of zero has no logarithm.
  static constexpr double kMinMs = 0.01;

  void Add(double ms) {
    const double sample = std::max(ms, kMinMs);
    upper_quantile_ms_.Add(sample);
    ++samples_;
    mean_log_ms_ += std::max(kSampleWeight, 1.0 / samples_) *
                    (std::log(sample) - mean_log_ms_);
  }

  bool empty() const { return samples_ == 0; }
  /// Returns the geometric mean: a few slow servers move it little.
  double ms() const { return std::exp(mean_log_ms_); }
  /// Returns the time that most samples are below.
  double upper_quantile_ms() const { return upper_quantile_ms_.value(); }

 private:
  /// Fifty samples outweigh all earlier ones: under a second for a busy
  /// service.
  static constexpr double kSampleWeight = 0.02;

  double mean_log_ms_ = 0;
  double samples_ = 0;
  UpperQuantileEstimator upper_quantile_ms_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_PACE_SERVICE_PACE_H_
