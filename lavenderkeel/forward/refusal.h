#ifndef LAVENDERKEEL_FORWARD_REFUSAL_H_
#define LAVENDERKEEL_FORWARD_REFUSAL_H_

#include <optional>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/result_code.h"

namespace lavenderkeel {

/// Decision not to run a request.
struct Refusal {
  ResultCode code;
  /// Time after which the client is to come back; nothing for the default.
  std::optional<Duration> retry_after = std::nullopt;
  /// Whether the request is held and checked again instead of refused; see
  /// TeamRates::Shortage.
  bool undecided = false;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_REFUSAL_H_
