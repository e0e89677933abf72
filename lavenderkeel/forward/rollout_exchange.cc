#include "lavenderkeel/forward/rollout_exchange.h"

#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

/// Rendezvous key of the choice of the entry that decides.
constexpr char kDeciderKey[] = "rollouts";

/// Removes the counts that equal the former ones.
template <typename Counts>
void EraseUnchanged(Counts& counts, const Counts& former) {
  std::erase_if(counts, [&former](const auto& item) {
    const auto found = former.find(item.first);
    return found != former.end() && found->second == item.second;
  });
}

}  // namespace

void RolloutExchange::PutCounts(const PeerId& self,
                                bool include_unchanged,
                                ForwardStatus& status) {
  for (RolloutCounts& counts : version_selector_.Report()) {
    RolloutCounts& former = last_sent_counts_[counts.order];
    const RolloutCounts current = counts;
    if (!include_unchanged) {
      EraseUnchanged(counts.canary, former.canary);
      EraseUnchanged(counts.baseline, former.baseline);
    }
    former = current;
    rollouts_.OnCounts(self.ToString(), counts);
    status.rollout_counts.push_back(ToWire(counts));
  }
}

void RolloutExchange::PutPlans(uint64_t last_change,
                               ForwardStatus& status) const {
  status.plans_known = rollouts_.known();
  status.rollout_change = last_change;
  for (const RolloutPlan& plan : rollouts_.Plans()) {
    status.plans.push_back(ToWire(plan));
  }
}

void RolloutExchange::OnStatus(const PeerId& peer,
                               const ForwardStatus& status) {
  for (const auto& received : status.rollout_counts) {
    if (received != nullptr) {
      rollouts_.OnCounts(peer.ToString(), FromWire(*received));
    }
  }
  if (!status.plans_known) {
    coordinator_plans_.erase(peer);
    return;
  }
  std::vector<RolloutPlan>& plans = coordinator_plans_[peer];
  plans.clear();
  for (const auto& received : status.plans) {
    if (received != nullptr) {
      plans.push_back(FromWire(*received));
    }
  }
}

void RolloutExchange::ChooseDecider(
    const PeerId& self,
    bool coordinates,
    const std::function<bool(const PeerId&)>& is_up) {
  const uint64_t key = HashBytes(kDeciderKey);
  decider_.reset();
  uint64_t best_weight = 0;
  const auto consider = [&](const PeerId& peer) {
    const uint64_t weight = RendezvousWeight(key, peer.instance);
    if (!decider_.has_value() || weight > best_weight) {
      decider_ = peer;
      best_weight = weight;
    }
  };
  for (const auto& [peer, plans] : coordinator_plans_) {
    if (is_up(peer)) {
      consider(peer);
    }
  }
  if (rollouts_.known() && (coordinates || !decider_.has_value())) {
    consider(self);
  }
  if (decider_.has_value()) {
    version_selector_.OnPlans(*decider_ == self
                                  ? rollouts_.Plans()
                                  : coordinator_plans_.at(*decider_));
  }
}

}  // namespace lavenderkeel
