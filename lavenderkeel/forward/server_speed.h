#ifndef LAVENDERKEEL_FORWARD_SERVER_SPEED_H_
#define LAVENDERKEEL_FORWARD_SERVER_SPEED_H_

#include <optional>

#include "lavenderkeel/forward/moving_mean.h"
#include "lavenderkeel/forward/slot.h"

namespace lavenderkeel {

/// How fast requests are worked on, from the ends of attempts: at one server,
/// or at all of a service.
class ServerSpeed {
 public:
  void OnEnd(const SlotResult& result) {
    if (result.pace_ms.has_value()) {
      pace_.Add(*result.pace_ms);
    }
    if (result.read.has_value()) {
      read_ms_.Add(result.read->ms);
      read_tokens_.Add(result.read->tokens);
    }
  }

  /// Milliseconds, as in SlotResult; nothing before the first sample.
  std::optional<double> pace() const {
    return pace_.empty() ? std::nullopt : std::optional(pace_.mean());
  }
  /// Milliseconds until the first event, a prompt token; nothing before the
  /// first sample.
  std::optional<double> read_ms_per_token() const {
    return read_tokens_.mean() <= 0
               ? std::nullopt
               : std::optional(read_ms_.mean() / read_tokens_.mean());
  }

 private:
  /// Ten samples outweigh what was before: about a second at these loads.
  static constexpr double kSamplePart = 0.1;

  MovingMean pace_{kSamplePart};
  MovingMean read_ms_{kSamplePart};
  MovingMean read_tokens_{kSamplePart};
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SERVER_SPEED_H_
