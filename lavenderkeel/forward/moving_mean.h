#ifndef LAVENDERKEEL_FORWARD_MOVING_MEAN_H_
#define LAVENDERKEEL_FORWARD_MOVING_MEAN_H_

namespace lavenderkeel {

/// A mean that forgets: each sample moves it by a fixed part.
class MovingMean {
 public:
  explicit MovingMean(double part) : part_(part) {}

  void Add(double sample) {
    mean_ = empty_ ? sample : mean_ + part_ * (sample - mean_);
    empty_ = false;
  }
  /// Zero before the first sample.
  double mean() const { return mean_; }
  bool empty() const { return empty_; }

 private:
  double part_;
  double mean_ = 0;
  bool empty_ = true;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_MOVING_MEAN_H_
