#ifndef LAVENDERKEEL_FORWARD_UPPER_QUANTILE_ESTIMATOR_H_
#define LAVENDERKEEL_FORWARD_UPPER_QUANTILE_ESTIMATOR_H_

namespace lavenderkeel {

/// Estimator of the value that some six in seven of the latest samples lie
/// below, as for a long duration that is not an outlier. Samples are positive.
class UpperQuantileEstimator {
 public:
  void Add(double sample) {
    if (empty_) {
      value_ = sample;
      empty_ = false;
      return;
    }
    value_ *= sample > value_ ? kUpFactor : kDownFactor;
  }
  /// Zero before the first sample.
  double value() const { return value_; }
  bool empty() const { return empty_; }

 private:
  /// The value is in balance where 0.15 of the samples are above: ln(1 / 0.98)
  /// against ln(1.12 / 0.98). Some six samples above double it, thirty-five
  /// below halve it.
  static constexpr double kUpFactor = 1.12;
  static constexpr double kDownFactor = 0.98;

  double value_ = 0;
  bool empty_ = true;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_UPPER_QUANTILE_ESTIMATOR_H_
