#include "lavenderkeel/membership/holder_ranking.h"

#include <algorithm>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

std::vector<std::string> TopHolders(const RequestKey& key,
                                    const std::vector<std::string>& names) {
  return RendezvousTop(RequestKeyHash()(key), names, HolderRanking::kHolders);
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::ranges::find(names, name) != names.end();
}

}  // namespace

void HolderRanking::SetSelf(const PeerId& self, WallTime now) {
  self_ = self.instance;
  SetPresent(self, now);
}

void HolderRanking::SetPresent(const PeerId& peer, WallTime now) {
  known_since_.try_emplace(peer.instance, now);
  PresentEntry& present = present_[peer.instance];
  if (present.incarnation != peer.incarnation) {
    present = {.incarnation = peer.incarnation, .known_entries = {}};
  }
  const auto lost = lost_.find(peer.instance);
  if (lost == lost_.end()) {
    return;
  }
  if (lost->second.incarnation == peer.incarnation) {
    lost_.erase(lost);
  } else if (lost->second.may_be_running) {
    lost->second.may_be_running = false;
    lost->second.replaced_at = now;
  }
}

void HolderRanking::SetLost(const PeerId& peer, WallTime now) {
  known_since_.try_emplace(peer.instance, now);
  const auto present = present_.find(peer.instance);
  const bool had_same_view =
      present != present_.end() &&
      present->second.incarnation == peer.incarnation &&
      present->second.known_entries == KnownEntriesHash();
  if (present != present_.end()) {
    present_.erase(present);
  }
  lost_.insert_or_assign(peer.instance,
                         LostEntry{.incarnation = peer.incarnation,
                                   .lost_at = now,
                                   .had_same_view = had_same_view});
}

void HolderRanking::SetLeft(const std::string& instance) {
  present_.erase(instance);
}

void HolderRanking::SetReport(const PeerId& peer, uint64_t known_entries) {
  const auto found = present_.find(peer.instance);
  if (found != present_.end() &&
      found->second.incarnation == peer.incarnation) {
    found->second.known_entries = known_entries;
  }
}

uint64_t HolderRanking::KnownEntriesHash() const {
  Names names = PresentAndMaybeRunning();
  std::ranges::sort(names);
  uint64_t hash = 0;
  for (const std::string& name : names) {
    hash = HashBytes(name, hash);
  }
  return hash;
}

HolderRanking::Names HolderRanking::Holders(const RequestKey& key) const {
  return TopHolders(key,
                    PresentAndLost([](const LostEntry&) { return false; }));
}

bool HolderRanking::KnowsEveryClaim(const std::string& instance,
                                    const RequestKey& key) const {
  // An entry that was lost before the key was first sent has granted no claim
  // on it.
  const WallTime since = key.first_sent() - options_.clock_skew;
  const Names top =
      TopHolders(key, PresentAndLost([since](const LostEntry& loss) {
                   return loss.lost_at >= since;
                 }));
  return Contains(top, instance);
}

HolderCoverage HolderRanking::Coverage(const RequestKey& key) const {
  size_t maybe_running_holders = 0;
  bool has_replaced_holder = false;
  for (const auto& [name, loss] : lost_) {
    if (loss.may_be_running) {
      maybe_running_holders += MayBeHolder(name, loss, key) ? 1 : 0;
      continue;
    }
    // While it was cut off, the lost entry may have been granted the key by the
    // platform, run the request and crashed; its successor is connected here.
    // No reachable entry has a claim on the key, so the request would run
    // again. The platform therefore also decides keys older than the successor.
    const bool is_older =
        key.first_sent() <= loss.replaced_at + options_.clock_skew;
    has_replaced_holder |= is_older && MayBeHolder(name, loss, key);
  }
  if (maybe_running_holders > 1 ||
      (maybe_running_holders == 1 && !AllHaveSameView())) {
    return HolderCoverage::kNone;
  }
  return maybe_running_holders == 1 || has_replaced_holder
             ? HolderCoverage::kPlatformDecides
             : HolderCoverage::kFull;
}

bool HolderRanking::HasUnconfirmedLoss() const {
  return std::ranges::any_of(
      lost_, [](const auto& item) { return item.second.may_be_running; });
}

bool HolderRanking::MayBeHolder(const std::string& instance,
                                const LostEntry& loss,
                                const RequestKey& key) const {
  return std::ranges::any_of(
      PossibleHolders(loss, key),
      [&instance](const Names& top) { return Contains(top, instance); });
}

std::vector<HolderRanking::Names> HolderRanking::PossibleHolders(
    const LostEntry& loss,
    const RequestKey& key) const {
  // An entry that joins after the loss replaces the lost one among the holders
  // here, but not in the view of the lost one, so the request could be started
  // on both sides of a partition. Both views count.
  return {TopHolders(key, PresentMaybeRunningAnd(loss)),
          TopHolders(key, NamesKnownTo(loss))};
}

bool HolderRanking::IsCoHolderWithLost(const std::string& instance,
                                       const RequestKey& key) const {
  for (const auto& [lost, loss] : lost_) {
    for (const Names& top : PossibleHolders(loss, key)) {
      if (Contains(top, lost) && !Contains(top, instance)) {
        return false;
      }
    }
  }
  return true;
}

HolderRanking::Names HolderRanking::NamesKnownTo(const LostEntry& loss) const {
  // If both had the same view at the time of the loss, the lost entry knew all
  // entries that were known here then; otherwise only those that all had time
  // to learn of.
  const WallTime latest =
      loss.had_same_view ? loss.lost_at : loss.lost_at - options_.settle_time;
  Names names = PresentMaybeRunningAnd(loss);
  std::erase_if(names, [&](const std::string& name) {
    return !lost_.contains(name) && known_since_.at(name) > latest;
  });
  return names;
}

HolderRanking::Names HolderRanking::PresentMaybeRunningAnd(
    const LostEntry& loss) const {
  return PresentAndLost([&loss](const LostEntry& other) {
    return other.may_be_running || &other == &loss;
  });
}

bool HolderRanking::AllHaveSameView() const {
  const uint64_t own = KnownEntriesHash();
  const bool present_have_same_view =
      std::ranges::all_of(present_, [&](const auto& item) {
        return item.first == self_ || item.second.known_entries == own;
      });
  return present_have_same_view &&
         std::ranges::all_of(lost_, [](const auto& item) {
           return !item.second.may_be_running || item.second.had_same_view;
         });
}

void HolderRanking::ForgetLostBefore(WallTime when) {
  std::erase_if(
      lost_, [when](const auto& item) { return item.second.lost_at < when; });
  std::erase_if(known_since_, [this](const auto& item) {
    return !IsPresent(item.first) && !lost_.contains(item.first);
  });
}

HolderRanking::Names HolderRanking::PresentAndMaybeRunning() const {
  return PresentAndLost(
      [](const LostEntry& loss) { return loss.may_be_running; });
}

HolderRanking::Names HolderRanking::PresentAndLost(
    const LostFilter& filter) const {
  Names names;
  names.reserve(present_.size() + lost_.size());
  for (const auto& [name, present] : present_) {
    names.push_back(name);
  }
  for (const auto& [name, loss] : lost_) {
    if (!IsPresent(name) && filter(loss)) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace lavenderkeel
