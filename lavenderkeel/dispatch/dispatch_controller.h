#ifndef LAVENDERKEEL_DISPATCH_DISPATCH_CONTROLLER_H_
#define LAVENDERKEEL_DISPATCH_DISPATCH_CONTROLLER_H_

#include <optional>

#include "lavenderkeel/dispatch/entry_context.h"
#include "lavenderkeel/dispatch/reservation_placer.h"

namespace lavenderkeel {

/// The controller that dispatches the requests that this entry owns.
///
/// Applies limits, places reservations, sends the Go to one agent, and handles
/// refusal, preemption and the loss of an agent.
class DispatchController {
 public:
  explicit DispatchController(EntryContext& context);

  void Admit(EntryRequest& request);
  /// Subscribes all callers of the request to the answer at request.agent.
  void Follow(EntryRequest& request);
  /// Releases the reservations, slots and counts of a completed request.
  void Release(EntryRequest& request);

  void OnSlotOffer(LinkId link, const SlotOffer& offer);
  void OnStarted(EntryRequest& request, const PeerId& agent);
  void OnRejected(EntryRequest& request, const PeerId& agent, ResultCode code);
  /// Requeues a request whose Go did not reach the agent; the agent refuses
  /// late copies.
  void OnGoNotReceived(EntryRequest& request);
  /// Concludes or retries the request after its run ended with `code`.
  /// @param server_life equal for runs between two restarts of the agent's
  ///     server; zero if it is not known
  void OnRunEnded(EntryRequest& request, ResultCode code, uint64_t server_life);

  void OnAgentUp(const PeerId& agent);
  void OnAgentLost(const PeerId& agent);
  void OnConfigActivated();
  void OnTimer(EntryRequest& request);

  /// Estimates the wait before an equal request can be admitted; zero where a
  /// retry delay does not apply.
  Duration RetryAfter(const EntryRequest& request, ResultCode code) const;
  size_t waiting() const { return waiting_; }
  size_t waiting(uint32_t tier) const {
    return tier < waiting_by_tier_.size() ? waiting_by_tier_[tier] : 0;
  }
  /// Claims the key again with further agents; set by RequestController.
  std::function<void(EntryRequest&)> reclaim;

 private:
  std::optional<ResultCode> CheckAdmission(const EntryRequest& request);
  bool EnsureQueueCapacity(const EntryRequest& request);
  std::optional<TeamUsage::Refusal> CountAgainstTeamLimits(
      EntryRequest& request);
  void CountWaiting(const EntryRequest& request);
  void UncountWaiting(const EntryRequest& request);
  void Enqueue(EntryRequest& request);
  CrashDecision DecideOnCrashes(const EntryRequest& request) const;
  /// Returns whether the request may run at the agent beside the suspected
  /// requests there.
  bool MayRunAt(const EntryRequest& request, const PeerId& agent) const;
  /// Holds back or concludes a request that is suspected of crashing servers.
  /// @return false if the request may run
  bool HoldBackIfSuspect(EntryRequest& request);
  void ReportToCrashGuard(EntryRequest& request,
                          ResultCode code,
                          uint64_t server_life);
  /// Records the end of an attempt.
  /// @param result the result in case that the request does not run again
  static void EndAttempt(EntryRequest& request,
                         RunEvidence evidence,
                         ResultCode result = ResultCode::kServerLost);
  /// Reports the end of a trial run, if the request's is one.
  void EndCrashTrial(EntryRequest& request);
  void AddReservations(EntryRequest& request);
  /// Returns whether all servers rest for longer than the request waits for a
  /// server.
  bool DoAllServersRest(const EntryRequest& request) const;
  bool HasServerWaitExpired(EntryRequest& request);
  void Requeue(EntryRequest& request);
  void ReleaseHeldBack(const std::string& team);
  void AttachSubscriptions(EntryRequest& request, LinkId link);
  void SetWaitingTimer(EntryRequest& request);
  /// Decides whether to run the request again, and counts the retry if so.
  bool MayRunAgain(EntryRequest& request);
  ExtraShare extra_retries() const;
  /// Returns why the request may not run again, if so.
  RetryRefusal CheckRetry(const EntryRequest& request);

  EntryContext& context_;
  ReservationPlacer placer_;
  TeamUsage usage_;
  RetryBound retries_;
  TimePoint started_at_;
  size_t waiting_ = 0;
  std::vector<size_t> waiting_by_tier_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_DISPATCH_CONTROLLER_H_
