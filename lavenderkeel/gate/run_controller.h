#ifndef LAVENDERKEEL_GATE_RUN_CONTROLLER_H_
#define LAVENDERKEEL_GATE_RUN_CONTROLLER_H_

#include <functional>
#include <set>
#include <string_view>

#include "lavenderkeel/action.h"
#include "lavenderkeel/admission.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/gate/answer_subscriptions.h"
#include "lavenderkeel/gate/run_table.h"
#include "lavenderkeel/gate/server_reachability.h"
#include "lavenderkeel/membership/instance_info.h"

namespace lavenderkeel {

/// How a run's connection to the backend server ended before the answer was
/// complete.
enum class ServerDisconnect {
  /// No connection was established, so nothing ran.
  kUnreachable,
  /// The connection broke; the run may continue at the server.
  kBroken,
  /// The server no longer has the stream, never had it, or refused the request.
  kRefused,
};

/// The controller of the runs at one backend server.
///
/// Starts, reads, resumes and ends runs, and preempts the cheapest one for a
/// higher tier.
class RunController {
 public:
  struct Options {
    InFlightLimit::Options in_flight;
    ServerReachability::Options reachability;
    /// An engine's stream without an event for this long is resumed.
    Duration stream_silence = std::chrono::seconds(5);
    uint32_t max_resumes = 20;
    /// An engine that refuses this many connections in a row after a stream
    /// broke is presumed ended, and its streams with it.
    uint32_t refusals_until_ended = 2;
    size_t max_answer_bytes = size_t{8} << 20;
  };

  /// @param on_slot_free called whenever a run ends
  /// @param on_unreachable called when the server stops accepting connections
  RunController(Options options,
                const Clock& clock,
                const InstanceInfo& self,
                const EventLog& log,
                Metrics& metrics,
                Outbox& outbox,
                RunTable& runs,
                AnswerSubscriptions& subscriptions,
                std::function<void()> on_slot_free,
                std::function<void()> on_unreachable);

  void Start(const RequestKey& key, Run& run);
  void Cancel(Run& run);
  /// Ends a run, started or not, and notifies the readers of its answer.
  void Finish(const RequestKey& key, ResultCode code);
  /// Cancels the cheapest repeatable run of a lower tier, if there is one.
  void PreemptFor(const Reservation& reservation);
  void Tick(TimePoint now);

  // Events from the backend server.
  void OnServerText(RunId run, uint64_t index, std::string_view text);
  void OnServerFinish(RunId run, std::string_view finish_json);
  void OnServiceReply(RunId run,
                      int status,
                      std::string_view content_type,
                      std::string_view body);
  void OnServerDisconnect(RunId run, ServerDisconnect end);
  /// Handles that the server confirmed the end of a cancelled run or can't be
  /// reached.
  void OnServerCancelled(RunId run);

  /// Returns the number of runs that the server may have now.
  uint32_t limit() const {
    return reachability_.AllowedInFlight(limit_.limit(), clock_.Now());
  }
  /// Returns whether the server refused the last connection attempt.
  bool unreachable() const { return reachability_.IsRefusing(); }
  const std::set<RunId>& running() const { return running_; }
  bool cancelling() const { return !cancelling_.empty(); }
  /// Returns the slots in use, including those of runs that are being
  /// cancelled.
  size_t occupied_slots() const { return running_.size() + cancelling_.size(); }
  void FillLoad(Heartbeat& heartbeat) const;

 private:
  void Resume(RunId id, Run& run);
  /// Returns whether the way in which a stream ended shows that the engine has
  /// ended. Always false for a plain service, whose answers can't be resumed.
  bool HasEngineEnded(const Run& run, ServerDisconnect end) const;
  void ResumeStalledStreams(TimePoint now);
  void UpdateReachability(ServerDisconnect end);
  const Run* FindCheapestVictim(uint32_t tier) const;

  Options options_;
  const Clock& clock_;
  const InstanceInfo& self_;
  const EventLog& log_;
  Metrics& metrics_;
  Outbox& outbox_;
  RunTable& runs_;
  AnswerSubscriptions& subscriptions_;
  std::function<void()> on_slot_free_;
  std::function<void()> on_unreachable_;
  InFlightLimit limit_;
  ServerReachability reachability_;
  SpeedModel speed_;
  std::set<RunId> running_;
  std::set<RunId> cancelling_;
  RunId last_run_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_GATE_RUN_CONTROLLER_H_
