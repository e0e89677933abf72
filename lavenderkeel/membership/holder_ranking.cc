#include "lavenderkeel/membership/holder_ranking.h"

#include <algorithm>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

std::vector<std::string> Top(const RequestKey& key,
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
  counted_since_.try_emplace(peer.instance, now);
  Present& present = present_[peer.instance];
  if (present.incarnation != peer.incarnation) {
    present = {.incarnation = peer.incarnation, .known_entries = {}};
  }
  const auto lost = lost_.find(peer.instance);
  if (lost == lost_.end()) {
    return;
  }
  if (lost->second.incarnation == peer.incarnation) {
    lost_.erase(lost);
  } else if (lost->second.may_live) {
    lost->second.may_live = false;
    lost->second.until = now;
  }
}

void HolderRanking::SetLost(const PeerId& peer, WallTime now) {
  counted_since_.try_emplace(peer.instance, now);
  const auto present = present_.find(peer.instance);
  const bool agreed = present != present_.end() &&
                      present->second.incarnation == peer.incarnation &&
                      present->second.known_entries == KnownEntries();
  if (present != present_.end()) {
    present_.erase(present);
  }
  lost_.insert_or_assign(
      peer.instance,
      Loss{.incarnation = peer.incarnation, .when = now, .agreed = agreed});
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

uint64_t HolderRanking::KnownEntries() const {
  Names names = PresentAndMayLive();
  std::ranges::sort(names);
  uint64_t hash = 0;
  for (const std::string& name : names) {
    hash = HashBytes(name, hash);
  }
  return hash;
}

HolderRanking::Names HolderRanking::Holders(const RequestKey& key) const {
  return Top(key, With([](const Loss&) { return false; }));
}

bool HolderRanking::MetEveryClaim(const std::string& instance,
                                  const RequestKey& key) const {
  // Whoever was lost before the key was first sent has granted no claim on it.
  const WallTime since = key.first_sent() - options_.clock_skew;
  const Names top =
      Top(key, With([since](const Loss& loss) { return loss.when >= since; }));
  return Contains(top, instance);
}

HolderCoverage HolderRanking::Coverage(const RequestKey& key) const {
  size_t silent = 0;
  bool was_silent = false;
  for (const auto& [name, loss] : lost_) {
    if (loss.may_live) {
      silent += MayHold(name, loss, key) ? 1 : 0;
      continue;
    }
    // Failure: an entry that was cut off has the platform give it a key, runs
    // it and dies; its successor is met here. Symptom: nobody that can be asked
    // has a claim on the key, and it runs again. Keys from before the successor
    // are decided by the platform as well.
    const bool before = key.first_sent() <= loss.until + options_.clock_skew;
    was_silent |= before && MayHold(name, loss, key);
  }
  if (silent > 1 || (silent == 1 && !AllAgree())) {
    return HolderCoverage::kNone;
  }
  return silent == 1 || was_silent ? HolderCoverage::kPlatformDecides
                                   : HolderCoverage::kFull;
}

bool HolderRanking::AnySilent() const {
  return std::ranges::any_of(
      lost_, [](const auto& item) { return item.second.may_live; });
}

bool HolderRanking::MayHold(const std::string& instance,
                            const Loss& loss,
                            const RequestKey& key) const {
  return std::ranges::any_of(TopsFor(loss, key), [&instance](const Names& top) {
    return Contains(top, instance);
  });
}

std::vector<HolderRanking::Names> HolderRanking::TopsFor(
    const Loss& loss,
    const RequestKey& key) const {
  // Failure: an entry that joins after the loss takes the place of the lost one
  // among the holders, here but not in the lost one's view. Symptom: the key is
  // started on both sides of a cut. Both views count.
  return {Top(key, WithMayLiveAnd(loss)), Top(key, KnownTo(loss))};
}

bool HolderRanking::RanksBesideLost(const std::string& instance,
                                    const RequestKey& key) const {
  for (const auto& [lost, loss] : lost_) {
    for (const Names& top : TopsFor(loss, key)) {
      if (Contains(top, lost) && !Contains(top, instance)) {
        return false;
      }
    }
  }
  return true;
}

HolderRanking::Names HolderRanking::KnownTo(const Loss& loss) const {
  // With the same view at the end it knew all that were counted here then;
  // else those that all had time to count.
  const WallTime latest =
      loss.agreed ? loss.when : loss.when - options_.settle_time;
  Names names = WithMayLiveAnd(loss);
  std::erase_if(names, [&](const std::string& name) {
    return !lost_.contains(name) && counted_since_.at(name) > latest;
  });
  return names;
}

HolderRanking::Names HolderRanking::WithMayLiveAnd(const Loss& loss) const {
  return With(
      [&loss](const Loss& other) { return other.may_live || &other == &loss; });
}

bool HolderRanking::AllAgree() const {
  const uint64_t own = KnownEntries();
  const bool present_agree =
      std::ranges::all_of(present_, [&](const auto& item) {
        return item.first == self_ || item.second.known_entries == own;
      });
  return present_agree && std::ranges::all_of(lost_, [](const auto& item) {
           return !item.second.may_live || item.second.agreed;
         });
}

void HolderRanking::ForgetLostBefore(WallTime when) {
  std::erase_if(lost_,
                [when](const auto& item) { return item.second.when < when; });
  std::erase_if(counted_since_, [this](const auto& item) {
    return !IsPresent(item.first) && !lost_.contains(item.first);
  });
}

HolderRanking::Names HolderRanking::PresentAndMayLive() const {
  return With([](const Loss& loss) { return loss.may_live; });
}

HolderRanking::Names HolderRanking::With(const Counts& counts) const {
  Names names;
  names.reserve(present_.size() + lost_.size());
  for (const auto& [name, present] : present_) {
    names.push_back(name);
  }
  for (const auto& [name, loss] : lost_) {
    if (!IsPresent(name) && counts(loss)) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace lavenderkeel
