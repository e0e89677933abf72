#ifndef LAVENDERKEEL_ADMISSION_SPEED_MODEL_H_
#define LAVENDERKEEL_ADMISSION_SPEED_MODEL_H_

#include <cstdint>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// A backend server's speed, learnt from own completions: its own load reports
/// lag, completions do not.
class SpeedModel {
 public:
  /// @param waited from the start to the first token
  void ObserveFirstToken(uint32_t prompt_tokens, Duration waited) {
    Blend(prefill_us_, static_cast<double>(waited.count()) /
                           (static_cast<double>(prompt_tokens) + 1));
  }
  void ObserveGap(Duration gap) {
    Blend(decode_us_, static_cast<double>(gap.count()));
  }
  void ObserveRun(Duration run) {
    Blend(run_us_, static_cast<double>(run.count()));
  }

  /// Microseconds; 0 before the first observation.
  double prefill_us() const { return prefill_us_; }
  double decode_us() const { return decode_us_; }
  double run_us() const { return run_us_; }

 private:
  static void Blend(double& mean, double sample) {
    constexpr double kNewShare = 0.2;
    mean = mean == 0 ? sample : mean + kNewShare * (sample - mean);
  }

  double prefill_us_ = 0;
  double decode_us_ = 0;
  double run_us_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ADMISSION_SPEED_MODEL_H_
