#ifndef LAVENDERKEEL_PACE_PACE_EVENT_H_
#define LAVENDERKEEL_PACE_PACE_EVENT_H_

#include <cstdint>
#include <string>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Decision about the use of a server, for logs and metrics.
struct PaceEvent {
  enum class Kind : uint8_t {
    /// The server became slower than it usually is.
    kSlow,
    /// The server failed and gets probes only.
    kFailed,
    /// A request was sent there to learn whether the server is well.
    kProbe,
    /// The server is well and its capacity grows back.
    kReturned,
  };

  Kind kind = Kind::kSlow;
  std::string server;
  /// Time per unit of work relative to the service.
  double relative_pace = 1;
  /// Time since the last sample of the pace before this decision; zero if there
  /// was none.
  Duration sample_age{};
  /// Entry and attempt whose request is the probe, or whose end led to the
  /// decision.
  std::string entry;
  uint64_t attempt = 0;

  friend bool operator==(const PaceEvent&, const PaceEvent&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_PACE_PACE_EVENT_H_
