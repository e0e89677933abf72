#ifndef LAVENDERKEEL_DISPATCH_OWNERSHIP_CONTROLLER_H_
#define LAVENDERKEEL_DISPATCH_OWNERSHIP_CONTROLLER_H_

#include "lavenderkeel/dispatch/entry_context.h"

namespace lavenderkeel {

/// The controller that determines the owner of a key before the request runs.
///
/// The result is one of three: this entry owns the key (admit), the agent that
/// runs it is known (follow), or the owner can't be determined (conclude with
/// an unknown outcome).
class OwnershipController {
 public:
  explicit OwnershipController(EntryContext& context) : context_(context) {}

  /// Claims the key of a new request.
  void Claim(EntryRequest& request);
  /// Claims the key of an admitted request again, with further agents, or finds
  /// the entry that has taken it over.
  void Reclaim(EntryRequest& request);
  /// Looks up the owner of a key that a caller queries without a request.
  void LookUpOwner(EntryRequest& request);
  /// Returns the result of a lookup that found no claim: "not found" only if a
  /// holder would know of one.
  static ResultCode CodeOfUnclaimed(const ClaimResult& claim_result);

  void OnLocate(LinkId link, const Locate& locate);
  void OnLocated(LinkId link, const Located& located);
  void OnNotHere(EntryRequest& request, const PeerId& agent);
  /// Handles that an agent refuses the key under a seal of another entry.
  void OnSealedByOther(EntryRequest& request);
  /// Handles that an agent has the request.
  void OnFound(EntryRequest& request, const PeerId& agent);
  /// Seals the key at the claim's agents after the owner was lost.
  void Recover(EntryRequest& request);

  void OnEntryUp(const PeerId& peer);
  void OnEntryLost(const PeerId& peer);
  void OnAgentUp(const PeerId& peer);
  /// Handles the timeout for the agents' replies.
  void OnSealTimer(EntryRequest& request);

 private:
  void StartClaim(EntryRequest& request);
  /// Chooses the agents to be named in a new claim.
  void ChooseEligible(EntryRequest& request) const;
  void OnClaimed(const RequestKey& key, const ClaimResult& claim_result);
  void OnReclaimed(EntryRequest& request, const ClaimResult& claim_result);
  /// Requests a decision that the holders can't make; see KeyArbiter.
  void RequestPlatformDecision(EntryRequest& request);
  void OnPlatformDecision(const RequestKey& key, KeyArbiter::Decision decision);
  void OnHeld(EntryRequest& request, const lavenderkeel::Claim& claim);
  void QueryAgent(EntryRequest& request, const PeerId& agent);
  void CheckSealCompleted(EntryRequest& request);
  void TakeOver(EntryRequest& request);
  lavenderkeel::Claim MakeOwnClaim(const EntryRequest& request) const;
  /// Returns the claim for a key that this entry certainly owns: one taken
  /// over, or found running.
  lavenderkeel::Claim MakeConfirmedClaim(const EntryRequest& request) const;
  void SendLocate(const EntryRequest& request);

  EntryContext& context_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_OWNERSHIP_CONTROLLER_H_
