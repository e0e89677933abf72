#ifndef LAVENDERKEEL_FORWARD_ROLLOUT_EXCHANGE_H_
#define LAVENDERKEEL_FORWARD_ROLLOUT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "lavenderkeel/base/peer_id.h"
#include "lavenderkeel/rollout.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// Exchange of rollout state: all entries send counts, coordinators also plans.
/// One coordinator decides on the rollouts; entries that receive reports from
/// the same coordinators choose the same one.
class RolloutExchange {
 public:
  RolloutExchange(RolloutController& rollouts,
                  VersionSelector& version_selector)
      : rollouts_(rollouts), version_selector_(version_selector) {}

  /// @param include_unchanged also counts unchanged since the last report
  void PutCounts(const PeerId& self,
                 bool include_unchanged,
                 ForwardStatus& status);
  void PutPlans(uint64_t last_change, ForwardStatus& status) const;
  void OnStatus(const PeerId& peer, const ForwardStatus& status);
  void OnPeerLost(const PeerId& peer) { coordinator_plans_.erase(peer); }

  /// Chooses the entry that decides and applies its plans.
  /// @param coordinates whether this entry may decide
  /// @param is_up whether reports of a coordinator arrive
  void ChooseDecider(const PeerId& self,
                     bool coordinates,
                     const std::function<bool(const PeerId&)>& is_up);
  /// Returns the entry that decides; none while no coordinator is known to have
  /// read the orders.
  const std::optional<PeerId>& decider() const { return decider_; }

 private:
  RolloutController& rollouts_;
  VersionSelector& version_selector_;
  /// Plans of the coordinators that have read the orders.
  std::map<PeerId, std::vector<RolloutPlan>> coordinator_plans_;
  std::optional<PeerId> decider_;
  /// By order.
  std::map<uint64_t, RolloutCounts> last_sent_counts_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_ROLLOUT_EXCHANGE_H_
