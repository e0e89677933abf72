#ifndef LAVENDERKEEL_FORWARD_FORWARD_CONTROLLER_H_
#define LAVENDERKEEL_FORWARD_FORWARD_CONTROLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/base/result_code.h"
#include "lavenderkeel/crash/crash_guard.h"
#include "lavenderkeel/forward/answer_forwarder.h"
#include "lavenderkeel/forward/forward_port.h"
#include "lavenderkeel/forward/forwarded_request.h"
#include "lavenderkeel/forward/refusal.h"
#include "lavenderkeel/forward/refusal_writer.h"
#include "lavenderkeel/forward/request_admission.h"
#include "lavenderkeel/forward/request_log.h"
#include "lavenderkeel/forward/request_metadata.h"
#include "lavenderkeel/forward/request_retries.h"
#include "lavenderkeel/forward/request_timing.h"
#include "lavenderkeel/forward/route_history.h"
#include "lavenderkeel/forward/route_table.h"
#include "lavenderkeel/forward/server_directory.h"
#include "lavenderkeel/forward/slot_router.h"
#include "lavenderkeel/forward/slot_scheduler.h"
#include "lavenderkeel/forward/team_rates.h"
#include "lavenderkeel/notice/server_notices.h"
#include "lavenderkeel/overload/early_refusal.h"
#include "lavenderkeel/rates/team_demand.h"
#include "lavenderkeel/rollout/version_selector.h"

namespace lavenderkeel {

/// Status that an entry sends to other entries several times a second.
struct ForwardReport {
  uint64_t table_version = 0;
  std::vector<ServerCount> in_flight;
  /// Rate usage by this entry's own requests.
  UsageTotals team_totals;
  /// What teams asked for at this entry.
  DemandTotals demand = {};

  friend bool operator==(const ForwardReport&, const ForwardReport&) = default;
};

/// Controller that forwards client requests to backend servers and the answers
/// to the clients.
///
/// Owns every request from its arrival to its single final answer: route, team
/// and rate, the queue, successive attempts, resumption of streams, and the
/// answer to the client if no server gives one. Contains no socket code.
class ForwardController {
 public:
  struct Options {
    /// Data centre of this entry.
    std::string data_centre;
    RequestRetries::Options retries;
    TeamRates::Options rates;
    RequestTiming::Options timing;
    /// Idle connections to servers are reused up to this idle time.
    Duration max_reuse_idle_time = std::chrono::seconds(8);
    /// The same for requests that may run only once: on a connection that the
    /// server is closing, it would be in doubt whether the request ran.
    Duration max_non_repeatable_reuse_idle_time =
        std::chrono::milliseconds(400);
    /// Answers that are not streams are buffered until complete up to this
    /// size, so that a truncated answer can be fetched again or reported as
    /// failed.
    size_t max_buffered_answer_bytes = size_t{256} << 10;
    /// A single event of a stream may have this size. Bytes without the end of
    /// an event are no stream.
    size_t max_event_bytes = size_t{1} << 20;
    /// The body of a rejection, or of an answer that is withheld, is not used;
    /// one that goes on beyond this size or time is not awaited.
    size_t max_discarded_bytes = size_t{64} << 10;
    Duration max_discard_time = std::chrono::milliseconds(500);
    /// Limit for the bodies of waiting and running requests together; above it,
    /// new requests are refused. Set from the memory of the instance.
    size_t max_buffered_body_bytes = size_t{64} << 20;
    /// Time in which a scheduler offers no further slots of a server that this
    /// entry does not list: a change of the list arrives within two reports.
    Duration unlisted_server_pushback = std::chrono::milliseconds(200);
    /// A request that arrives before the first configuration waits for it for
    /// this fraction of its time left, up to the maximum.
    double unconfigured_wait_per_time_left = 0.2;
    Duration max_unconfigured_wait = std::chrono::milliseconds(1500);
    /// Retry-After without a configuration: about the time in which the store
    /// recovers and an entry reads it.
    Duration unconfigured_retry_after = std::chrono::milliseconds(1200);
    /// Default Retry-After.
    Duration retry_after = std::chrono::milliseconds(300);
    /// Time between two decisions on whether the attempt of a silent server is
    /// replaced.
    Duration replacement_decision_interval = std::chrono::milliseconds(200);
    /// Whether a request that will get no slot within its wait is refused on
    /// arrival.
    bool early_refusal = false;
  };

  /// @param slot_router receives the slot requests of this controller; the
  ///     grants come back through OnSlotGranted
  /// @param crashes knows which requests crash their servers; kept by the
  ///     owner, who shares its evidence with other entries
  /// @param version_selector decides at which server versions requests may run
  /// @param notices receives what servers say about themselves
  ForwardController(const Options& options,
                    ForwardCodec codec,
                    ForwardPort& port,
                    const ServerDirectory& directory,
                    SlotRouter& slot_router,
                    CrashGuard& crashes,
                    VersionSelector& version_selector,
                    ServerNotices& notices,
                    const Clock& clock,
                    const EventLog& log,
                    Metrics& metrics);

  /// Puts a configuration in force, unless a newer one already is.
  void OnRouteTable(std::shared_ptr<const RouteTable> table);
  const std::shared_ptr<const RouteTable>& table() const { return table_; }
  /// Returns zero before the first configuration.
  uint64_t table_version() const {
    return table_ == nullptr ? 0 : table_->version();
  }

  // Clients.
  /// @param memory what is held for the head and the body
  void OnRequest(ExchangeId exchange,
                 RequestHead head,
                 std::string body,
                 MemoryCharge memory = {});
  /// Refuses a request that was not read whole.
  /// @param head empty if it was not read
  void OnBadRequest(ExchangeId exchange,
                    const RequestHead& head,
                    ResultCode code);
  struct HeadDecision {
    /// Why the request is refused whatever its body is.
    std::optional<ResultCode> refusal = std::nullopt;
    /// Priority of the request; 0 is the most urgent.
    int priority = 0;
  };
  /// Decides from the head whether the body is to be read.
  HeadDecision CheckHead(const RequestHead& head) const;
  /// Refuses requests that were never sent and are less urgent, the least
  /// urgent and then the newest first, until they have freed the memory.
  void YieldMemory(int priority, size_t bytes);
  void OnClientGone(ExchangeId exchange);
  /// Refuses new requests from now on; earlier ones are finished.
  void RejectNewRequests() { refuses_new_ = true; }

  /// Sends the request for which the slot was granted.
  /// @return false if the slot is no longer wanted
  bool OnSlotGranted(const std::string& scheduler, const SlotGrant& grant);

  // Servers.
  enum class HeadVerdict {
    /// The message answers the request.
    kTake,
    /// The same, but the connection is to be closed after it: later answers on
    /// it could not be told apart.
    kTakeLast,
    /// The message answers another request; the next one may answer this
    /// request.
    kSkip,
    /// The message is no valid answer. The attempt is over; the connection is
    /// to be closed.
    kDrop,
  };
  /// @param fresh whether nothing was answered on this connection before
  HeadVerdict OnAnswerHead(AttemptId attempt,
                           const ResponseHead& head,
                           bool fresh);
  /// @return false if the attempt is no longer wanted
  bool OnAnswerChunk(AttemptId attempt, std::string bytes);
  /// Handles that the answer is not read on for now, since the client does not
  /// take it.
  void OnAnswerPaused(AttemptId attempt);
  void OnAnswerEnd(AttemptId attempt);
  void OnAttemptFailed(AttemptId attempt, AttemptFailure failure);

  // Other entries.
  /// Returns the status of this entry for the other entries.
  ForwardReport Report() const;
  /// Returns what teams asked for at this entry, as far as it changed since the
  /// last call.
  DemandTotals TakeDemand();
  void OnPeerReport(const std::string& peer, const ForwardReport& report);
  /// Records the rate usage at other entries, relayed by a coordinator.
  void OnRelayedTotals(const std::string& coordinator,
                       const UsageTotals& totals);
  /// Records the demand at other entries, relayed by a coordinator.
  void OnRelayedDemand(const std::string& coordinator,
                       const DemandTotals& totals);
  void OnPeerLost(const std::string& peer);
  /// Records the state of the groups whose slots an entry schedules.
  void OnSlotGroupReports(const std::string& scheduler,
                          const std::vector<SlotGroupReport>& reports);
  /// Sets the number of known entries, which share the rates, and of those that
  /// report here; both include this entry.
  void OnPeerCount(size_t known, size_t reporting);
  RequestRetries& retries() { return retries_; }
  /// Records that an entry is connected that started before this one.
  void OnOlderPeer() { admission_.rates().share().OnOlderPeer(); }

  /// Returns the fraction of shared rates that this entry and those that report
  /// to it may use.
  double rate_share() const {
    return admission_.rates().share().ShareAt(clock_.Now());
  }

  /// Ends waits, silent attempts and requests whose time is over.
  void Tick();

  /// Returns the number of requests without a final answer.
  size_t open() const { return requests_.size() + early_requests_.size(); }
  /// Returns the number of open requests that are not at a server.
  size_t waiting() const;

 private:
  using RequestPtr = std::unique_ptr<ForwardedRequest>;

  /// A request that arrived before the first configuration, or before it was
  /// known what the other entries used of the rate of its team.
  struct EarlyRequest {
    RequestHead head;
    std::string body;
    RequestMetadata metadata;
    TimePoint arrived;
    MemoryCharge memory = {};
    /// End of the wait for the first configuration; unused once there is one.
    TimePoint waits_until;
  };

  /// Admits or refuses a request under the configuration in force.
  void Begin(ExchangeId exchange,
             RequestHead head,
             std::string body,
             RequestMetadata metadata,
             TimePoint arrived,
             MemoryCharge memory);
  void HoldEarlyRequest(ExchangeId exchange, EarlyRequest request);
  /// Refuses requests that were read before the limits were known.
  void RefuseEarlyRequestsBeyondLimits();
  void BeginEarlyRequests();
  /// Begins or refuses the early requests whose wait is over.
  void CheckEarlyRequests(TimePoint now);
  /// Requests a slot, unless the request is refused or held for an equal
  /// request or for the rollout plans.
  void Enqueue(ForwardedRequest& request);
  CrashDecision DecideOnCrashes(const ForwardedRequest& request) const;
  static CrashGuard::Run RunOf(const ForwardedRequest& request);
  /// Reports that the server lived on after its answer, if that is certain.
  void ReportSurvival(const ForwardedRequest& request);
  void RefuseAsCrashing(ForwardedRequest& request,
                        const CrashDecision& decision);
  void RecordEndOfWait(const ForwardedRequest& request, bool got_slot);
  /// Returns the weight of the request's team; 1 without a team.
  static double WeightOf(const ForwardedRequest& request);
  /// Returns the rank of a request that was not sent before.
  SlotRank RankOf(const ForwardedRequest& request);
  EarlyRefusal::Request MakeEarlyRequest(const ForwardedRequest& request);
  /// Refuses a request on arrival that would get no slot within its wait.
  std::optional<Refusal> RefuseEarly(ForwardedRequest& request);
  void RequestSlot(const ForwardedRequest& request, AttemptId attempt);
  SlotRequest MakeSlotRequest(const ForwardedRequest& request,
                              AttemptId attempt);
  /// Returns the result with which a granted slot is given back, if the request
  /// can't use it.
  std::optional<SlotResult> CheckGrant(const ForwardedRequest& request,
                                       const BackendServer* server,
                                       const SlotGrant& grant) const;
  bool IsSilent(const ForwardedRequest& request) const;
  /// Requests a slot at another server if that of the attempt is silent; ends
  /// this wait once it no longer is.
  void CheckSilence(ForwardedRequest& request, TimePoint now);
  /// Returns whether the request is sent to the server in place of its present
  /// one, and counts the retry.
  bool MayReplace(ForwardedRequest& request, const std::string& server);
  /// Ends the attempt that was sent; the replacement takes its place.
  void ReplaceSilentAttempt(ForwardedRequest& request);
  /// Ends the wait for a replacement, if there is one.
  void EndReplacement(ForwardedRequest& request, const SlotResult& result);
  void SendTo(ForwardedRequest& request,
              const BackendServer& server,
              const std::string& scheduler,
              const SlotGrant& grant);
  void CheckTimeLimits(ForwardedRequest& request, TimePoint now);
  /// Ends the wait for a slot if it is over or in vain.
  void CheckWait(ForwardedRequest& request, TimePoint now);
  /// Returns how long the server still wants no requests of this entry.
  Duration PushbackOf(const std::string& server) const;
  /// Returns when the first server of the service accepts requests again;
  /// nothing if one accepts them now, and TimePoint::max() if none will.
  std::optional<TimePoint> BlockedUntil(const std::string& service) const;

  ForwardedRequest* FindByAttempt(AttemptId attempt);
  /// Ends the attempt, whether or not it was sent, and frees its slot.
  void EndAttempt(ForwardedRequest& request, const SlotResult& result);
  void AfterFailure(ForwardedRequest& request, AttemptFailure failure);
  void EndFailedAttempt(ForwardedRequest& request, AttemptFailure failure);
  /// Ends an attempt whose answer goes on without a sign of its end.
  void AbandonEndlessAnswer(ForwardedRequest& request, std::string_view what);
  void SendAgainOrEnd(ForwardedRequest& request,
                      RequestRetries::Decision decision);
  /// Ends a request that is not sent again, with the error that a server
  /// answered if there is one.
  void GiveUp(ForwardedRequest& request);
  void FinishNonStream(ForwardedRequest& request);
  /// Gives the client the answer of the attempt.
  void FinishWithAnswer(ForwardedRequest& request);
  void FinishStream(ForwardedRequest& request);
  /// Reports to the rollout what the complete answer shows of the version.
  void ReportVersionOutcome(ForwardedRequest& request, bool error);

  /// Refuses a request that was not admitted, so that no server got it.
  void Refuse(ExchangeId exchange,
              const std::string& request_id,
              const Refusal& refusal);
  void RefuseRequest(ForwardedRequest& request, const Refusal& refusal);
  void LogEnd(const ForwardedRequest& request,
              std::string_view outcome,
              int status) const;
  void RemoveRequest(ExchangeId exchange);

  Options options_;
  ForwardCodec codec_;
  RequestTiming timing_;
  ForwardPort& port_;
  const ServerDirectory& directory_;
  SlotRouter& slot_router_;
  CrashGuard& crashes_;
  VersionSelector& version_selector_;
  ServerNotices& notices_;
  const Clock& clock_;
  const EventLog& log_;
  Metrics& metrics_;
  RefusalWriter refusals_;
  RequestLog request_log_;
  RouteHistories route_history_;
  EarlyRefusal early_refusal_;
  RequestAdmission admission_;
  AnswerForwarder answers_;
  std::shared_ptr<const RouteTable> table_;
  std::map<ExchangeId, EarlyRequest> early_requests_;
  std::unordered_map<ExchangeId, RequestPtr> requests_;
  std::unordered_map<AttemptId, ExchangeId> attempts_;
  RequestRetries retries_;
  size_t held_body_bytes_ = 0;
  AttemptId last_attempt_ = 0;
  bool refuses_new_ = false;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_FORWARD_CONTROLLER_H_
