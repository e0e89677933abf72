#include "lavenderkeel/forward/entry_roster.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

EntryRoster::EntryRoster(Options options, InstanceInfo self)
    : options_(options), self_(std::move(self)) {
  Choose();
}

bool EntryRoster::Note(const InstanceInfo& info, TimePoint now) {
  if (info.id.instance == self_.id.instance || info.role != Role::kEntry) {
    return false;
  }
  const auto [position, inserted] = entries_.try_emplace(info.id.instance);
  Known& known = position->second;
  // Of several incarnations that are told of, the latest lives.
  if (!inserted && info.id.incarnation < known.info.id.incarnation) {
    return false;
  }
  const bool is_new =
      inserted || info.id.incarnation > known.info.id.incarnation;
  known.told = now;
  if (is_new) {
    known.info = info;
    known.met = false;
    known.gone = false;
  }
  return is_new;
}

bool EntryRoster::OnMet(const InstanceInfo& info, TimePoint now) {
  const bool is_new = Note(info, now);
  if (is_new) {
    news_.push_back(info);
  }
  const auto found = entries_.find(info.id.instance);
  if (found == entries_.end() || found->second.info.id != info.id) {
    return false;
  }
  Known& known = found->second;
  const bool back = known.gone && !info.leaving;
  if (back) {
    known.gone = false;
  }
  if (is_new || back) {
    Choose();
  }
  return !std::exchange(known.met, true) || back;
}

bool EntryRoster::OnTold(const std::vector<InstanceInfo>& told,
                         bool complete,
                         TimePoint now) {
  bool changed = false;
  for (const InstanceInfo& info : told) {
    changed |= Note(info, now);
  }
  if (complete) {
    changed |= std::erase_if(entries_, [&](const auto& item) {
                 return now - item.second.told > options_.forget_after;
               }) > 0;
  }
  if (changed) {
    Choose();
  }
  return changed;
}

void EntryRoster::OnGone(const PeerId& peer) {
  const auto found = entries_.find(peer.instance);
  if (found != entries_.end() && found->second.info.id == peer &&
      !std::exchange(found->second.gone, true)) {
    Choose();
  }
}

std::vector<InstanceInfo> EntryRoster::TakeNews() {
  return std::exchange(news_, {});
}

std::vector<InstanceInfo> EntryRoster::List(bool with_gone) const {
  std::vector<InstanceInfo> others;
  others.reserve(entries_.size());
  for (const auto& [instance, known] : entries_) {
    if (with_gone || !known.gone) {
      others.push_back(known.info);
    }
  }
  return others;
}

size_t EntryRoster::RankFor(uint64_t key) const {
  const uint64_t own = RendezvousWeight(key, self_.id.instance);
  return static_cast<size_t>(
      std::ranges::count_if(entries_, [&](const auto& item) {
        return !item.second.gone && RendezvousWeight(key, item.first) > own;
      }));
}

void EntryRoster::Choose() {
  std::vector<InstanceInfo> candidates = OthersThere();
  candidates.push_back(self_);
  coordinators_ = ChooseCoordinators(candidates, options_.coordinators);
  std::erase_if(candidates, [this](const InstanceInfo& info) {
    return !IsCoordinator(info.id.instance);
  });
  weakest_coordinator_ =
      std::ranges::min(candidates, {}, &InstanceInfo::processor_share)
          .processor_share;
}

}  // namespace lavenderkeel
