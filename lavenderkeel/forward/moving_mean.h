#ifndef LAVENDERKEEL_FORWARD_MOVING_MEAN_H_
#define LAVENDERKEEL_FORWARD_MOVING_MEAN_H_

namespace lavenderkeel {

/// Exponential moving average with a fixed weight per sample.
class MovingMean {
 public:
  explicit MovingMean(double sample_weight) : sample_weight_(sample_weight) {}

  void Add(double sample) {
    mean_ = empty_ ? sample : mean_ + sample_weight_ * (sample - mean_);
    empty_ = false;
  }
  /// Zero before the first sample.
  double mean() const { return mean_; }
  bool empty() const { return empty_; }

 private:
  double sample_weight_;
  double mean_ = 0;
  bool empty_ = true;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_MOVING_MEAN_H_
