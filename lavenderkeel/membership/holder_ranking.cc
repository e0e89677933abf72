#include "lavenderkeel/membership/holder_ranking.h"

#include <algorithm>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

uint64_t KeyHash(const RequestKey& key) {
  return RequestKeyHash()(key);
}

}  // namespace

void HolderRanking::SetPresent(const PeerId& peer) {
  if (std::ranges::find(present_, peer.instance) == present_.end()) {
    present_.push_back(peer.instance);
  }
  const auto lost = lost_.find(peer.instance);
  if (lost == lost_.end()) {
    return;
  }
  if (lost->second.incarnation == peer.incarnation) {
    lost_.erase(lost);
  } else {
    lost->second.may_live = false;
  }
}

void HolderRanking::SetLost(const PeerId& peer, WallTime when) {
  std::erase(present_, peer.instance);
  lost_.insert_or_assign(peer.instance,
                         Loss{.incarnation = peer.incarnation, .when = when});
}

void HolderRanking::SetLeft(const std::string& instance) {
  std::erase(present_, instance);
}

std::vector<std::string> HolderRanking::Holders(const RequestKey& key) const {
  return RendezvousTop(KeyHash(key), present_, kHolders);
}

bool HolderRanking::MetEveryClaim(const std::string& instance,
                                  const RequestKey& key) const {
  // Whoever was lost before the key was first sent has granted no claim on it.
  const WallTime since = key.first_sent() - clock_skew_;
  const std::vector<std::string> top = TopWithLost(
      key, [since](const Loss& loss) { return loss.when >= since; });
  return std::ranges::find(top, instance) != top.end();
}

bool HolderRanking::LostHolder(const RequestKey& key) const {
  const Counts may_live = [](const Loss& loss) { return loss.may_live; };
  const std::vector<std::string> top = TopWithLost(key, may_live);
  return std::ranges::any_of(top, [this](const std::string& name) {
    const auto lost = lost_.find(name);
    return lost != lost_.end() && lost->second.may_live;
  });
}

void HolderRanking::ForgetLostBefore(WallTime when) {
  std::erase_if(lost_,
                [when](const auto& item) { return item.second.when < when; });
}

std::vector<std::string> HolderRanking::TopWithLost(
    const RequestKey& key,
    const Counts& counts) const {
  std::vector<std::string> all = present_;
  for (const auto& [instance, loss] : lost_) {
    const bool is_present =
        std::ranges::find(present_, instance) != present_.end();
    if (!is_present && counts(loss)) {
      all.push_back(instance);
    }
  }
  return RendezvousTop(KeyHash(key), all, kHolders);
}

}  // namespace lavenderkeel
