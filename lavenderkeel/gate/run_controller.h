#ifndef LAVENDERKEEL_GATE_RUN_CONTROLLER_H_
#define LAVENDERKEEL_GATE_RUN_CONTROLLER_H_

#include <functional>
#include <set>
#include <string_view>

#include "lavenderkeel/action.h"
#include "lavenderkeel/admission.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/gate/answer_feed.h"
#include "lavenderkeel/gate/run_table.h"
#include "lavenderkeel/gate/server_reachability.h"
#include "lavenderkeel/membership/instance_info.h"

namespace lavenderkeel {

/// How a run's connection to the backend server ended before the answer did.
enum class ServerEnd {
  /// No connection came about, so nothing ran.
  kUnreachable,
  /// The connection broke; the run may go on.
  kBroken,
  /// The server does not know the stream (any more) or refused the request.
  kRefused,
};

/// The runs at one backend server: starts, reads, resumes and ends them, and
/// gives up the cheapest for a higher tier.
class RunController {
 public:
  struct Options {
    InFlightLimit::Options in_flight;
    ServerReachability::Options reachability;
    /// Without an event for so long an engine's stream is read anew.
    Duration stream_silence = std::chrono::seconds(5);
    uint32_t max_resumes = 20;
    /// An engine that refuses this many connections in a row after it broke a
    /// stream has ended, and its streams with it.
    uint32_t ended_after = 2;
    size_t max_answer_bytes = size_t{8} << 20;
  };

  /// @param on_slot_free called whenever a run ended
  /// @param on_unreachable the server accepts no connections any more
  RunController(Options options,
                const Clock& clock,
                const InstanceInfo& self,
                const EventLog& log,
                Metrics& metrics,
                Outbox& outbox,
                RunTable& runs,
                AnswerFeed& feed,
                std::function<void()> on_slot_free,
                std::function<void()> on_unreachable);

  void Start(const RequestKey& key, Run& run);
  void Cancel(Run& run);
  /// Ends a run, started or not; its readers are told.
  void Finish(const RequestKey& key, ResultCode code);
  /// Gives up the cheapest repeatable run of a lower tier, if there is one.
  void PreemptFor(const Reservation& reservation);
  void Tick(TimePoint now);

  // From the backend server.
  void OnServerText(RunId run, uint64_t index, std::string_view text);
  void OnServerFinish(RunId run, std::string_view finish_json);
  void OnServiceReply(RunId run,
                      int status,
                      std::string_view content_type,
                      std::string_view body);
  void OnServerEnd(RunId run, ServerEnd end);
  /// The server confirmed that a cancelled run is over, or can't be asked.
  void OnServerCancelled(RunId run);

  /// Runs that the server may have now.
  uint32_t limit() const {
    return reachability_.Allowed(limit_.limit(), clock_.Now());
  }
  /// The server accepted no connection when it was tried last.
  bool unreachable() const { return reachability_.refuses(); }
  const std::set<RunId>& running() const { return running_; }
  bool cancelling() const { return !cancelling_.empty(); }
  /// Slots in use, also by runs that are being cancelled.
  size_t occupied() const { return running_.size() + cancelling_.size(); }
  void FillLoad(Heartbeat& heartbeat) const;

 private:
  void Resume(RunId id, Run& run);
  /// Whether an engine that ended a stream so has ended itself. For a plain
  /// service it can't be told: nothing is read again there.
  bool HasEnded(const Run& run, ServerEnd end) const;
  void ResumeSilent(TimePoint now);
  void NoteReachability(ServerEnd end);
  const Run* CheapestVictim(uint32_t tier) const;

  Options options_;
  const Clock& clock_;
  const InstanceInfo& self_;
  const EventLog& log_;
  Metrics& metrics_;
  Outbox& outbox_;
  RunTable& runs_;
  AnswerFeed& feed_;
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
