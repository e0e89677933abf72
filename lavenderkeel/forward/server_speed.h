#ifndef LAVENDERKEEL_FORWARD_SERVER_SPEED_H_
#define LAVENDERKEEL_FORWARD_SERVER_SPEED_H_

#include <optional>

#include "lavenderkeel/forward/moving_mean.h"
#include "lavenderkeel/forward/slot.h"

namespace lavenderkeel {

/// Moving averages of the processing speed at one server, or at all servers of
/// a service, from the results of attempts.
class ServerSpeed {
 public:
  void OnEnd(const SlotResult& result) {
    if (result.pace_ms.has_value()) {
      pace_ms_.Add(*result.pace_ms);
    }
    if (result.read.has_value()) {
      read_ms_.Add(result.read->ms);
      read_tokens_.Add(result.read->tokens);
    }
  }

  /// Returns the mean of SlotResult::pace_ms; empty before the first sample.
  std::optional<double> pace_ms() const {
    return pace_ms_.empty() ? std::nullopt : std::optional(pace_ms_.mean());
  }
  /// Returns the milliseconds until the first event per prompt token; empty
  /// before the first sample.
  std::optional<double> read_ms_per_token() const {
    return read_tokens_.mean() <= 0
               ? std::nullopt
               : std::optional(read_ms_.mean() / read_tokens_.mean());
  }

 private:
  /// Ten samples outweigh all earlier ones: about a second under usual load.
  static constexpr double kSampleWeight = 0.1;

  MovingMean pace_ms_{kSampleWeight};
  MovingMean read_ms_{kSampleWeight};
  MovingMean read_tokens_{kSampleWeight};
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SERVER_SPEED_H_
