#ifndef LAVENDERKEEL_ADMISSION_SPEED_MODEL_H_
#define LAVENDERKEEL_ADMISSION_SPEED_MODEL_H_

#include <cstdint>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Moving averages of a backend server's speed, from completions observed by
/// the agent. The server's load reports lag behind; completions do not.
class SpeedModel {
 public:
  /// @param waited time from the start to the first token
  void ObserveFirstToken(uint32_t prompt_tokens, Duration waited) {
    UpdateAverage(prefill_us_, static_cast<double>(waited.count()) /
                                   (static_cast<double>(prompt_tokens) + 1));
  }
  void ObserveGap(Duration gap) {
    UpdateAverage(decode_us_, static_cast<double>(gap.count()));
  }
  void ObserveRun(Duration run) {
    UpdateAverage(run_us_, static_cast<double>(run.count()));
  }

  /// Averages in microseconds, prefill per prompt token; 0 before the first
  /// observation.
  double prefill_us() const { return prefill_us_; }
  double decode_us() const { return decode_us_; }
  double run_us() const { return run_us_; }

 private:
  static void UpdateAverage(double& mean, double sample) {
    constexpr double kSampleWeight = 0.2;
    mean = mean == 0 ? sample : mean + kSampleWeight * (sample - mean);
  }

  double prefill_us_ = 0;
  double decode_us_ = 0;
  double run_us_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ADMISSION_SPEED_MODEL_H_
