#ifndef LAVENDERKEEL_DISPATCH_ENTRY_NODE_H_
#define LAVENDERKEEL_DISPATCH_ENTRY_NODE_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lavenderkeel/action.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/claim.h"
#include "lavenderkeel/config.h"
#include "lavenderkeel/crash.h"
#include "lavenderkeel/dispatch/caller_api.h"
#include "lavenderkeel/dispatch/entry_context.h"
#include "lavenderkeel/dispatch/operator_api.h"
#include "lavenderkeel/dispatch/request_controller.h"
#include "lavenderkeel/membership.h"
#include "lavenderkeel/platform.h"
#include "lavenderkeel/routing.h"

namespace lavenderkeel {

/// The decision logic of an entry process, without its sockets.
///
/// The driver passes in events and then executes the actions in the outbox.
class EntryNode {
 public:
  struct Options {
    MemberTable::Options members;
    DispatchOptions dispatch;
    ClaimTable::Options claims;
    KeyArbiter::Options key_arbiter;
    ConfigDistributor::Options config_distributor;
    CrashGuard::Options crashes;
    Registration::Options registration;
    std::vector<std::string> seeds;
    std::string operator_key_sha256;
    /// Timeout for the hand-over of claims at shutdown.
    Duration hand_over_timeout = std::chrono::seconds(2);
    /// How long after its start callers' keys wait for this entry to connect to
    /// the others: twice the heartbeat timeout, after which unreachable entries
    /// count as lost, plus the time to dial.
    Duration join_timeout = std::chrono::seconds(6);
    /// Empty: Router::EstimateFirstToken.
    Router::Estimate estimate;
  };

  EntryNode(Options options,
            InstanceInfo self,
            const Clock& clock,
            uint64_t random_seed,
            const EventLog& log,
            Metrics& metrics);

  Outbox& outbox() { return outbox_; }
  MemberTable& members() { return members_; }
  const ConfigStore& config() const { return config_; }
  const RequestController& requests() const { return requests_; }
  const ClaimTable& claims() const { return claims_; }

  /// @param address the peer address actually bound
  void Start(const std::string& address);
  void Tick();
  bool OnLinkUp(LinkId link,
                const InstanceInfo& peer,
                const std::string& dialed);
  void OnLinkDown(LinkId link);
  void OnDialFailed(const std::string& address);
  void OnMessage(LinkId link, Message message);
  void OnPlatformReply(PlatformCallId call, const PlatformReply& reply);
  void OnCallerRequest(CallerRequest request);
  /// Decides from the head of a request whether its body is to be read.
  CallerHeadDecision CheckHead(const CallerRequest& head);
  /// Refuses a request that was not read whole.
  void RefuseUnread(const CallerRequest& head, ResultCode code);
  void OnCallerDrained(CallerId caller);
  void OnCallerGone(CallerId caller);

  /// Returns true while new work is accepted: the entry is configured, can
  /// vouch for keys first sent from now on, and is neither leaving nor drained.
  bool IsReady() const;
  /// Starts the graceful shutdown.
  void Leave();
  /// Returns true once the process can end without interrupting a request or
  /// losing a claim.
  bool CanExit() const;

 private:
  void CheckForFreeze();
  void UpdateJoined();
  bool MayClaim() const;
  void OnPeerUp(const Member& member);
  void OnPeerLost(const PeerId& peer, Role role);
  void OnPeerLeaving(const PeerId& peer, Role role);
  void OnConfigActivated();
  void OnInstances(const InstanceList& list);
  void SendPolicy(LinkId link, const std::string& instance);
  void OnClaimRequest(LinkId link, const ClaimRequest& request);
  /// Sends a claim to the entries that hold its key without this one.
  void HandOverClaim(const RequestKey& key, const Claim& claim);
  void HandOverClaims();
  void SendCrashReports();
  /// Number of live entries with a higher rendezvous weight for the request.
  size_t RankFor(uint64_t key) const;
  void AdvanceLeaving();
  bool IsSameRegion(const std::string& instance) const;

  Options options_;
  const Clock& clock_;
  const EventLog& log_;
  Metrics& metrics_;
  std::mt19937_64 random_;
  Outbox outbox_;
  PlatformPort platform_;
  MemberTable members_;
  HolderRanking ranking_;
  ClaimTable claims_;
  Claimer claimer_;
  KeyArbiter key_arbiter_;
  ConfigStore config_;
  ConfigDistributor config_distributor_;
  Registration registration_;
  Router router_;
  RequestTable request_table_;
  CallerSubscriptions caller_subscriptions_;
  CrashGuard crashes_;
  EntryContext context_;
  RequestController requests_;
  CallerApi caller_api_;
  OperatorApi operator_api_;
  FreezeDetector freeze_detector_;
  /// All other entries include this one among the holders.
  bool joined_ = false;
  TimePoint started_;
  /// The peers were notified that this entry leaves.
  bool has_announced_leaving_ = false;
  size_t pending_hand_overs_ = 0;
  TimePoint hand_over_deadline_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_ENTRY_NODE_H_
