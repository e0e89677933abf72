#ifndef LAVENDERKEEL_TEST_FUZZ_VIRTUAL_CLOCK_H_
#define LAVENDERKEEL_TEST_FUZZ_VIRTUAL_CLOCK_H_

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel::fuzz {

/// Clock that a test sets. Clocks of processes follow a common clock; their
/// calendar times may be skewed.
class VirtualClock final : public Clock {
 public:
  explicit VirtualClock(const VirtualClock* common = nullptr,
                        Duration skew = {})
      : common_(common), skew_(skew) {}

  TimePoint Now() const override {
    return common_ == nullptr ? now_ : common_->Now();
  }
  WallTime WallNow() const override {
    constexpr Duration kEpoch = std::chrono::hours(500'000);
    return WallTime(kEpoch + Now().time_since_epoch() + skew_);
  }

  void Set(TimePoint now) { now_ = now; }
  void Advance(Duration by) { now_ += by; }

 private:
  const VirtualClock* common_;
  Duration skew_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
};

}  // namespace lavenderkeel::fuzz

#endif  // LAVENDERKEEL_TEST_FUZZ_VIRTUAL_CLOCK_H_
