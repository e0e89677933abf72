#ifndef LAVENDERKEEL_OVERLOAD_PREDICTION_ERROR_H_
#define LAVENDERKEEL_OVERLOAD_PREDICTION_ERROR_H_

#include <algorithm>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Moving ratio of actual to predicted waits of one rank.
///
/// The sums over granted and timed-out requests are compared, not single
/// requests: with the newest first, a request waits shortly or to the end, but
/// the mean wait does not depend on the order within the rank.
class PredictionError {
 public:
  /// A prediction that is wrong by more is not corrected further: without a
  /// bound, a few requests that waited to the end would close the rank.
  static constexpr double kMaxFactor = 2;

  void Add(Duration predicted, Duration actual) {
    predicted_ += kSampleWeight * (ToSeconds(predicted) - predicted_);
    actual_ += kSampleWeight * (ToSeconds(actual) - actual_);
    ++samples_;
  }

  /// Returns the factor by which to multiply predictions.
  double factor() const {
    return samples_ < kMinSamples || predicted_ <= 0
               ? 1
               : std::clamp(actual_ / predicted_, 1 / kMaxFactor, kMaxFactor);
  }

 private:
  /// An entry has some ten requests of a rank a second in a burst.
  static constexpr double kSampleWeight = 0.05;
  static constexpr int kMinSamples = 10;

  double predicted_ = 0;
  double actual_ = 0;
  int samples_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_OVERLOAD_PREDICTION_ERROR_H_
