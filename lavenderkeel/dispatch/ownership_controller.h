#ifndef LAVENDERKEEL_DISPATCH_OWNERSHIP_CONTROLLER_H_
#define LAVENDERKEEL_DISPATCH_OWNERSHIP_CONTROLLER_H_

#include "lavenderkeel/dispatch/entry_context.h"

namespace lavenderkeel {

/// Finds out whose a key is before anything is run for it.
///
/// A request leaves here in one of three ways: it is ours for certain (admit),
/// it is known where it runs (follow), or nobody can say (conclude, unknown).
class OwnershipController {
 public:
  explicit OwnershipController(EntryContext& context) : context_(context) {}

  /// Claims the key of a new request.
  void Claim(EntryRequest& request);
  /// Claims further agents for a request that was admitted, or asks who took it
  /// over.
  void Reclaim(EntryRequest& request);
  /// Looks up who owns a key that a caller asks for without a request.
  void Look(EntryRequest& request);

  void OnLocate(LinkId link, const Locate& locate);
  void OnLocated(LinkId link, const Located& located);
  void OnNotHere(EntryRequest& request, const PeerId& agent);
  /// An agent refuses it on behalf of another entry.
  void OnOutbid(EntryRequest& request);
  /// An agent says that it has the request.
  void OnFound(EntryRequest& request, const PeerId& agent);
  /// Asks the claim's agents, after the owner's death.
  void Recover(EntryRequest& request);

  void OnEntryUp(const PeerId& peer);
  void OnEntryLost(const PeerId& peer);
  void OnAgentUp(const PeerId& peer);
  /// The patience with silent agents is over.
  void OnSealTimer(EntryRequest& request);

 private:
  void StartClaim(EntryRequest& request);
  /// The agents that a claim made now names.
  void ChooseEligible(EntryRequest& request) const;
  void OnClaimed(const RequestKey& key, const ClaimVerdict& verdict);
  void OnReclaimed(EntryRequest& request, const ClaimVerdict& verdict);
  /// The holders can't decide; see KeyRegister.
  void AskPlatform(EntryRequest& request);
  void OnDecided(const RequestKey& key, KeyRegister::Decision decision);
  void OnHeld(EntryRequest& request, const lavenderkeel::Claim& claim);
  void AskAgent(EntryRequest& request, const PeerId& agent);
  void CheckSealed(EntryRequest& request);
  void TakeOver(EntryRequest& request);
  lavenderkeel::Claim OwnClaim(const EntryRequest& request) const;
  /// The same where the key is ours for certain: taken over, or found running.
  lavenderkeel::Claim ConfirmedClaim(const EntryRequest& request) const;
  void SendLocate(const EntryRequest& request);

  EntryContext& context_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_OWNERSHIP_CONTROLLER_H_
