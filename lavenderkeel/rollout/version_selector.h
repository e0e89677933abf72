#ifndef LAVENDERKEEL_ROLLOUT_VERSION_SELECTOR_H_
#define LAVENDERKEEL_ROLLOUT_VERSION_SELECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/forward/server_directory.h"
#include "lavenderkeel/forward/upper_quantile_estimator.h"
#include "lavenderkeel/rollout/answer_counts.h"
#include "lavenderkeel/rollout/rollout_plan.h"
#include "lavenderkeel/rollout/service_versions.h"

namespace lavenderkeel {

/// The selector of the version that a request of this entry may run at; also
/// counts the outcomes by version.
///
/// Follows the plans of the deciding entry. Before the shift, the requests of
/// this entry to the new version are limited in proportion to all requests of
/// this entry, so the limit holds without messages from other entries.
class VersionSelector {
 public:
  struct Options {
    ExposureBounds bounds;
    /// A plan that was not received again for this time is treated as expired:
    /// the new version gets no requests.
    Duration plan_lease = std::chrono::seconds(1);
    /// Fractions of this entry's share of the exposure limit that the canary
    /// and the ramp may use.
    double canary_fraction = 0.4;
    double ramp_fraction = 0.95;
    /// An answer that takes longer than this many times the usual latency of
    /// the baseline is slow.
    double slow_factor = 2;
    /// The fraction by which a full server's answers take longer than an empty
    /// one's. The new version has few servers, which are fuller than most.
    double full_server_slowdown = 0.5;
  };

  /// The servers that a request may run at. An empty version allows any; an
  /// empty canary means none.
  struct Choice {
    std::string version;
    /// Servers of this version are preferred if one has a free slot.
    std::string canary;

    friend bool operator==(const Choice&, const Choice&) = default;
  };

  /// The side of a rollout's comparison that an attempt belongs to.
  enum class Arm : uint8_t { kNone, kBaseline, kCanary };

  /// An attempt whose outcome is attributed to a version.
  struct Attempt {
    Arm arm = Arm::kNone;
    uint64_t order = 0;
    /// Whether the outcome is counted: set for the first attempt of a request
    /// that isn't suspected of crashing servers.
    bool sampled = false;
    uint64_t server = 0;
    /// Hash of the route.
    uint64_t route = 0;
    /// Fraction of the server's slots in use.
    double load = 0;
    /// Whether the attempt has been found slow.
    bool slow = false;

    friend bool operator==(const Attempt&, const Attempt&) = default;
  };

  VersionSelector(const Options& options,
                  const ServerDirectory& directory,
                  const Clock& clock,
                  const EventLog& log);

  /// Applies the plans of the deciding entry, which arrive several times a
  /// second.
  void OnPlans(const std::vector<RolloutPlan>& plans);
  /// Sets the number of entries that share the exposure limit.
  void set_entries(size_t entries) { entries_ = entries; }

  /// Returns whether the plans, and so the usable versions, are known.
  bool known() const { return !options_.bounds.enabled || known_; }
  /// Chooses the servers that a request may run at.
  /// @param fresh the request has not run yet and isn't suspected of crashing
  ///     servers
  Choice Choose(const std::string& service,
                const std::string& route,
                bool fresh);
  /// Returns whether a request may be sent to the version now.
  bool Admits(const std::string& service, const std::string& version);

  Attempt OnSent(const std::string& service,
                 const std::string& route,
                 const BackendServer& server,
                 int in_flight,
                 bool fresh);
  /// Handles the end of an attempt, with or without an answer.
  void OnAttemptEnd(const std::string& service, Attempt& attempt);
  void OnAnswered(const std::string& service, const Attempt& attempt);
  void OnFailed(const std::string& service, const Attempt& attempt);
  void OnBroken(const std::string& service, const Attempt& attempt);
  /// Records the time until the first chunk of the answer.
  void OnFirstChunk(const std::string& service,
                    Attempt& attempt,
                    Duration took);
  /// Records the mean time between two events of a stream.
  void OnEventInterval(const std::string& service,
                       Attempt& attempt,
                       Duration took);
  /// Records that no chunk of the answer has arrived for this long.
  void OnNoAnswerYet(const std::string& service,
                     Attempt& attempt,
                     Duration since);
  /// Records that the attempt was ended because nothing arrived for too long.
  void OnSilent(const std::string& service, Attempt& attempt);

  std::vector<RolloutCounts> Report() const;
  ServiceVersions& versions() { return versions_; }

 private:
  struct UsualLatency {
    UpperQuantileEstimator first_chunk_ms;
    UpperQuantileEstimator pace_ms;
  };
  struct RolloutState {
    RolloutPlan plan;
    TimePoint plan_received;
    RolloutCounts counts;
    /// Requests for which the new version was selected before the shift.
    double canary_choices = 0;
    /// Canary credit by route, in requests.
    std::map<std::string, double> credit;
  };

  RolloutState* Find(const std::string& service);
  RolloutState* FindCounted(const std::string& service, const Attempt& attempt);
  bool HasPlanLease(const RolloutState& rollout) const;
  /// Returns the version for requests that don't go to the new one; kNoVersion
  /// if only the new version has servers.
  std::string BaselineVersion(const RolloutPlan& plan);
  bool TakeCanaryCredit(RolloutState& rollout, const std::string& route);
  bool IsSlow(double ms, const UpperQuantileEstimator& usual) const;
  /// Returns the latency in milliseconds that is expected at an empty server.
  double UnloadedMilliseconds(const Attempt& attempt, Duration took) const;
  AnswerCounts& CountsOf(RolloutState& rollout, const Attempt& attempt);
  void RecordLatency(const std::string& service,
                     Attempt& attempt,
                     Duration took,
                     UpperQuantileEstimator UsualLatency::*usual);

  Options options_;
  const Clock& clock_;
  const EventLog& log_;
  ServiceVersions versions_;
  bool known_ = false;
  size_t entries_ = 1;
  std::map<std::string, RolloutState> rollouts_;
  /// Latencies of the baseline by service and hash of the route.
  std::map<std::pair<std::string, uint64_t>, UsualLatency> usual_latency_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ROLLOUT_VERSION_SELECTOR_H_
