#ifndef LAVENDERKEEL_FORWARD_HIGH_QUANTILE_H_
#define LAVENDERKEEL_FORWARD_HIGH_QUANTILE_H_

namespace lavenderkeel {

/// The value that some six in seven of the latest samples lie below, for
/// figures above zero: what something takes when it takes long, but not
/// extraordinarily long.
class HighQuantile {
 public:
  void Add(double sample) {
    if (empty_) {
      value_ = sample;
      empty_ = false;
      return;
    }
    value_ *= sample > value_ ? kUp : kDown;
  }
  /// Zero before the first sample.
  double value() const { return value_; }
  bool empty() const { return empty_; }

 private:
  /// In balance where 0.15 of the samples are above: ln(1 / 0.98) against
  /// ln(1.12 / 0.98). Some six samples double it, thirty-five halve it.
  static constexpr double kUp = 1.12;
  static constexpr double kDown = 0.98;

  double value_ = 0;
  bool empty_ = true;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_HIGH_QUANTILE_H_
