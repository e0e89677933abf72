#include "lavenderkeel/forward/entry_directory.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

EntryDirectory::EntryDirectory(Options options, InstanceInfo self)
    : options_(options), self_(std::move(self)) {
  UpdateCoordinators();
}

bool EntryDirectory::Update(const InstanceInfo& info, TimePoint now) {
  if (info.id.instance == self_.id.instance || info.role != Role::kEntry) {
    return false;
  }
  const auto [position, inserted] = entries_.try_emplace(info.id.instance);
  KnownEntry& known = position->second;
  // Only the latest incarnation of an instance can be alive.
  if (!inserted && info.id.incarnation < known.info.id.incarnation) {
    return false;
  }
  const bool is_new =
      inserted || info.id.incarnation > known.info.id.incarnation;
  known.last_listed = now;
  if (is_new) {
    known.info = info;
    known.connected = false;
    known.unavailable = false;
  }
  return is_new;
}

bool EntryDirectory::OnConnected(const InstanceInfo& info, TimePoint now) {
  const bool is_new = Update(info, now);
  if (is_new) {
    new_entries_.push_back(info);
  }
  const auto found = entries_.find(info.id.instance);
  if (found == entries_.end() || found->second.info.id != info.id) {
    return false;
  }
  KnownEntry& known = found->second;
  const bool returned = known.unavailable && !info.leaving;
  if (returned) {
    known.unavailable = false;
  }
  if (is_new || returned) {
    UpdateCoordinators();
  }
  return !std::exchange(known.connected, true) || returned;
}

bool EntryDirectory::OnListed(const std::vector<InstanceInfo>& listed,
                              bool complete,
                              TimePoint now) {
  bool changed = false;
  for (const InstanceInfo& info : listed) {
    changed |= Update(info, now);
  }
  if (complete) {
    changed |= std::erase_if(entries_, [&](const auto& item) {
                 return now - item.second.last_listed > options_.forget_after;
               }) > 0;
  }
  if (changed) {
    UpdateCoordinators();
  }
  return changed;
}

void EntryDirectory::OnUnavailable(const PeerId& peer) {
  const auto found = entries_.find(peer.instance);
  if (found != entries_.end() && found->second.info.id == peer &&
      !std::exchange(found->second.unavailable, true)) {
    UpdateCoordinators();
  }
}

std::vector<InstanceInfo> EntryDirectory::TakeNewEntries() {
  return std::exchange(new_entries_, {});
}

std::vector<InstanceInfo> EntryDirectory::ListOthers(
    bool include_unavailable) const {
  std::vector<InstanceInfo> others;
  others.reserve(entries_.size());
  for (const auto& [instance, known] : entries_) {
    if (include_unavailable || !known.unavailable) {
      others.push_back(known.info);
    }
  }
  return others;
}

size_t EntryDirectory::RankFor(uint64_t key) const {
  const uint64_t own_weight = RendezvousWeight(key, self_.id.instance);
  return static_cast<size_t>(
      std::ranges::count_if(entries_, [&](const auto& item) {
        return !item.second.unavailable &&
               RendezvousWeight(key, item.first) > own_weight;
      }));
}

void EntryDirectory::UpdateCoordinators() {
  std::vector<InstanceInfo> candidates = AvailableOthers();
  candidates.push_back(self_);
  coordinators_ = ChooseCoordinators(candidates, options_.coordinators);
  std::erase_if(candidates, [this](const InstanceInfo& info) {
    return !IsCoordinator(info.id.instance);
  });
  min_coordinator_share_ =
      std::ranges::min(candidates, {}, &InstanceInfo::processor_share)
          .processor_share;
}

}  // namespace lavenderkeel
