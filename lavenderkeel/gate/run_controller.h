#ifndef LAVENDERKEEL_GATE_RUN_CONTROLLER_H_
#define LAVENDERKEEL_GATE_RUN_CONTROLLER_H_

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "lavenderkeel/action.h"
#include "lavenderkeel/admission.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/gate/answer_subscriptions.h"
#include "lavenderkeel/gate/run_table.h"
#include "lavenderkeel/gate/server_reachability.h"
#include "lavenderkeel/gate/server_rest.h"
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
  /// The connection was closed, since an event of the stream can't be read.
  kUnreadable,
};

/// What an engine states about a request that is cancelled.
enum class CancelResult {
  /// It stopped the request, or had finished it.
  kKnown,
  /// It does not have the request, and will not run it.
  kUnknown,
  /// It made no statement.
  kNoAnswer,
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
    ServerRest::Options rest;
    /// An engine's stream without an event for this long is resumed.
    Duration stream_silence = std::chrono::seconds(5);
    uint32_t max_resumes = 20;
    /// An engine that refuses this many connections in a row after a stream
    /// broke is presumed ended, and its streams with it.
    uint32_t refusals_until_ended = 2;
    size_t max_answer_bytes = size_t{8} << 20;
  };

  /// @param on_slot_free called whenever a run ends
  /// @param on_unavailable called when the server stops accepting connections
  ///     or begins a rest, with the result of requests that have not started,
  ///     and with whether it had fewer requests than slots already
  RunController(Options options,
                const Clock& clock,
                const InstanceInfo& self,
                const EventLog& log,
                Metrics& metrics,
                Outbox& outbox,
                RunTable& runs,
                AnswerSubscriptions& subscriptions,
                std::function<void()> on_slot_free,
                std::function<void(ResultCode, bool)> on_unavailable);

  void Start(const RequestKey& key, Run& run);
  void Cancel(Run& run);
  /// Ends a run, started or not, and notifies the readers of its answer.
  void Finish(const RequestKey& key, ResultCode code);
  /// Cancels the cheapest repeatable run of a lower tier, if there is one.
  void PreemptFor(const Reservation& reservation);
  void Tick(TimePoint now);

  // Events from the backend server.

  /// @return whether further events of this stream are wanted, which is not so
  ///     if texts are missing before this one
  bool OnServerText(RunId run, uint64_t index, std::string_view text);
  void OnServerFinish(RunId run, std::string_view finish_json);
  void OnServiceReply(RunId run,
                      int status,
                      std::string_view content_type,
                      std::string_view body);
  void OnServerDisconnect(RunId run, ServerDisconnect end);
  /// Handles an engine's refusal of a start or a resume that asks for a rest.
  /// @param retry_after values of the Retry-After fields
  void OnServerPushback(RunId run, const std::vector<std::string>& retry_after);
  /// Handles the same of a service; its answer follows in OnServiceReply(),
  /// since a service's answer is its caller's, whatever the status.
  void OnServicePushback(RunId run,
                         const std::vector<std::string>& retry_after);
  /// Handles the end of a cancellation.
  void OnServerCancelled(RunId run, CancelResult result);

  /// Returns the number of runs that the server may have now.
  uint32_t limit() const;
  /// Returns whether limit() is reduced because the server refused the last
  /// connection attempt or asked for a rest.
  bool limited() const {
    return reachability_.IsRefusing() || rest_.IsLimiting();
  }
  bool resting() const { return rest_.IsResting(clock_.Now()); }
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
  /// Resumes a stream of which texts are missing, or ends the run if that was
  /// tried often enough.
  void ResumeOrFail(RunId id, Run& run);
  void BeginRest(RunId id, const std::vector<std::string>& retry_after);
  /// Asks the engine whether it runs a request that it refused.
  void ConfirmRefusal(Run& run);
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
  std::function<void(ResultCode, bool)> on_unavailable_;
  InFlightLimit limit_;
  ServerReachability reachability_;
  ServerRest rest_;
  SpeedModel speed_;
  std::set<RunId> running_;
  std::set<RunId> cancelling_;
  RunId last_run_ = 0;
  /// Number of the server's restarts that were noticed, and one. Runs that have
  /// the same number ended at the same moment if one of them ended by a crash.
  uint64_t server_life_ = 1;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_GATE_RUN_CONTROLLER_H_
