#ifndef LAVENDERKEEL_GATE_SERVER_REST_H_
#define LAVENDERKEEL_GATE_SERVER_REST_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/action/action.h"
#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// The rest that the backend server asked for when it turned a request away
/// with Retry-After.
///
/// A server that turns requests away is idle, so its agent would attract the
/// requests of other agents, and each would be turned away. During the rest no
/// request is sent, and afterwards one at a time until one is accepted.
class ServerRest {
 public:
  struct Options {
    /// Rest after a Retry-After that is not a number of seconds within the
    /// bounds of NoticeKind::kPushback.
    Duration default_rest = std::chrono::seconds(1);
  };

  /// The rest that one refusal asks for.
  struct Pushback {
    Duration rest{};
    /// False if the value is unreadable and the default is used.
    bool is_stated = false;

    friend bool operator==(const Pushback&, const Pushback&) = default;
  };

  ServerRest() = default;
  explicit ServerRest(const Options& options) : options_(options) {}

  /// Handles a refusal; of several the latest end holds.
  /// @param retry_after values of the Retry-After fields, at least one
  Pushback OnRefused(const std::vector<std::string>& retry_after,
                     TimePoint now);
  /// Handles the start of a run at the server. The first one after the rest is
  /// the probe.
  void OnStarted(RunId run, TimePoint now);
  /// Handles an answer of the server that is no refusal. An answer to the probe
  /// ends the limit; other runs were accepted before the rest.
  void OnAccepted(RunId run);
  /// Handles the end of a run, whatever its result.
  void OnEnded(RunId run);

  /// Returns the number of concurrent runs that the server may have, given its
  /// slots and the runs that it has now.
  uint32_t AllowedInFlight(uint32_t slots,
                           uint32_t in_flight,
                           TimePoint now) const;
  /// Returns the time until the end of the rest; zero without one.
  Duration Remaining(TimePoint now) const {
    return until_.has_value() ? std::max(Duration::zero(), *until_ - now)
                              : Duration::zero();
  }
  bool IsResting(TimePoint now) const {
    return Remaining(now) > Duration::zero();
  }
  /// Returns whether the server gets fewer requests than its slots allow,
  /// because of a rest or until a probe is accepted.
  bool IsLimiting() const { return until_.has_value(); }

 private:
  Options options_;
  /// End of the last rest; empty once a later request was accepted.
  std::optional<TimePoint> until_;
  /// The run that was started after the rest and has not been answered yet.
  std::optional<RunId> probe_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_GATE_SERVER_REST_H_
