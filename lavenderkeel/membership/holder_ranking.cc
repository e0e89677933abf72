#include "lavenderkeel/membership/holder_ranking.h"

#include <algorithm>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

uint64_t KeyHash(const RequestKey& key) {
  return RequestKeyHash()(key);
}

}  // namespace

void HolderRanking::SetPresent(const std::string& instance) {
  lost_.erase(instance);
  if (std::ranges::find(present_, instance) == present_.end()) {
    present_.push_back(instance);
  }
}

void HolderRanking::SetLost(const std::string& instance, WallTime when) {
  std::erase(present_, instance);
  lost_.insert_or_assign(instance, when);
}

void HolderRanking::SetLeft(const std::string& instance) {
  std::erase(present_, instance);
  lost_.erase(instance);
}

std::vector<std::string> HolderRanking::Holders(const RequestKey& key) const {
  return RendezvousTop(KeyHash(key), present_, kHolders);
}

bool HolderRanking::MetEveryClaim(const std::string& instance,
                                  const RequestKey& key) const {
  const std::vector<std::string> top = TopWithLost(key);
  return std::ranges::find(top, instance) != top.end();
}

bool HolderRanking::LostHolder(const RequestKey& key) const {
  const std::vector<std::string> top = TopWithLost(key);
  return std::ranges::any_of(
      top, [this](const std::string& name) { return lost_.contains(name); });
}

void HolderRanking::ForgetLostBefore(WallTime when) {
  std::erase_if(lost_, [when](const auto& item) { return item.second < when; });
}

std::vector<std::string> HolderRanking::TopWithLost(
    const RequestKey& key) const {
  std::vector<std::string> all = present_;
  for (const auto& [instance, when] : lost_) {
    all.push_back(instance);
  }
  return RendezvousTop(KeyHash(key), all, kHolders);
}

}  // namespace lavenderkeel
