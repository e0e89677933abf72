#ifndef LAVENDERKEEL_DISPATCH_DISPATCH_CONTROLLER_H_
#define LAVENDERKEEL_DISPATCH_DISPATCH_CONTROLLER_H_

#include <optional>

#include "lavenderkeel/dispatch/entry_context.h"
#include "lavenderkeel/dispatch/reservation_placer.h"

namespace lavenderkeel {

/// Brings requests that are ours to a server: limits, reservations, the one
/// go, and what follows when an agent refuses, gives way, or is lost.
class DispatchController {
 public:
  explicit DispatchController(EntryContext& context);

  void Admit(EntryRequest& request);
  /// Reads the answer at request.agent for all its callers.
  void Follow(EntryRequest& request);
  /// Lets go of reservations, slots and counts of a request that is over.
  void Release(EntryRequest& request);

  void OnSlotOffer(LinkId link, const SlotOffer& offer);
  void OnStarted(EntryRequest& request, const PeerId& agent);
  void OnRejected(EntryRequest& request, const PeerId& agent, ResultCode code);
  /// Sent, but it never arrived; the agent refuses late copies.
  void OnNeverArrived(EntryRequest& request);
  /// The run is over.
  void OnRunEnded(EntryRequest& request, ResultCode code);

  void OnAgentUp(const PeerId& agent);
  void OnAgentLost(const PeerId& agent);
  void OnConfigActivated();
  void OnTimer(EntryRequest& request);

  /// When a request like this one has a chance again.
  Duration RetryAfter(const EntryRequest& request, ResultCode code) const;
  size_t waiting() const { return waiting_; }
  size_t waiting(uint32_t tier) const {
    return tier < waiting_by_tier_.size() ? waiting_by_tier_[tier] : 0;
  }
  /// Called when Claim has to be asked anew; set by the owner of both.
  std::function<void(EntryRequest&)> reclaim;

 private:
  std::optional<ResultCode> Refusal(const EntryRequest& request);
  bool MakeRoom(const EntryRequest& request);
  std::optional<TeamUsage::Refusal> CountIn(EntryRequest& request);
  void CountWaiting(const EntryRequest& request);
  void UncountWaiting(const EntryRequest& request);
  void Wait(EntryRequest& request);
  CrashDecision DecideOnCrashes(const EntryRequest& request) const;
  /// Holds the request back or ends it, as was decided.
  /// @return false if it may run
  bool KeptAsSuspect(EntryRequest& request);
  void NoteRunEnd(const EntryRequest& request, ResultCode code);
  void Widen(EntryRequest& request);
  bool NoServerForLong(EntryRequest& request);
  void Requeue(EntryRequest& request);
  void ReleaseHeldBack(const std::string& team);
  void AttachAll(EntryRequest& request, LinkId link);
  void SetWaitingTimer(EntryRequest& request);
  bool MayRunAgain(const EntryRequest& request);

  EntryContext& context_;
  ReservationPlacer placer_;
  TeamUsage usage_;
  RetryBudget retries_;
  size_t waiting_ = 0;
  std::vector<size_t> waiting_by_tier_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_DISPATCH_CONTROLLER_H_
