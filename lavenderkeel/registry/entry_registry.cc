#include "lavenderkeel/registry/entry_registry.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

using State = RegisteredEntry::State;

EntryRegistry::EntryRegistry(const Options& options,
                             std::string self,
                             const Clock& clock,
                             const EventLog& log,
                             Write write)
    : options_(options),
      self_(std::move(self)),
      clock_(clock),
      log_(log),
      write_(std::move(write)),
      started_at_(clock.Now()),
      basis_known_from_(started_at_ + options.window) {}

void EntryRegistry::OnList(const std::vector<RegisteredEntry>& entries) {
  if (!listed_ && std::ranges::find(entries, self_, &RegisteredEntry::name) ==
                      entries.end()) {
    has_predecessor_ = false;
    basis_known_from_ = started_at_;
  }
  OnPeerList(entries);
}

void EntryRegistry::OnPeerList(const std::vector<RegisteredEntry>& entries) {
  const auto is_listed = [&entries](const std::string& name) {
    return std::ranges::find(entries, name, &RegisteredEntry::name) !=
           entries.end();
  };
  listed_ = true;
  log_.Info("registry_read", {{"entries", entries.size()},
                              {"registered", is_listed(self_) ? 1 : 0},
                              {"has_predecessor", has_predecessor_ ? 1 : 0}});
  std::vector<std::string> removed;
  for (const auto& [name, peer] : entries_) {
    if (!is_listed(name)) {
      removed.push_back(name);
    }
  }
  std::ranges::for_each(removed,
                        [this](const std::string& name) { OnRemoved(name); });
  for (const RegisteredEntry& entry : entries) {
    OnChange(entry);
  }
}

void EntryRegistry::OnChange(const RegisteredEntry& entry) {
  const TimePoint now = clock_.Now();
  const auto [position, inserted] = entries_.try_emplace(entry.name);
  Peer& peer = position->second;
  const bool objects =
      peer.entry.state == State::kExpiring && entry.state != State::kExpiring;
  if (inserted || objects) {
    peer.heard_at = now;
  }
  if (inserted || peer.entry.state != entry.state) {
    peer.state_since = now;
    log_.Write(LogLevel::kDebug, "entry_registered",
               {{"entry", entry.name},
                {"state", RegistrationStateName(entry.state)},
                {"revision", entry.revision},
                {"entries", entries_.size()}});
  }
  peer.entry = entry;
  if (entry.name == self_ && entry.state == State::kSettled) {
    settled_ = true;
  }
  UpdateSettled();
}

void EntryRegistry::OnRemoved(const std::string& name) {
  if (entries_.erase(name) == 0) {
    return;
  }
  log_.Info("entry_removed", {{"entry", name}, {"entries", entries_.size()}});
  if (name == self_) {
    settled_ = false;
  }
}

void EntryRegistry::OnRead(uint64_t last_change, TimePoint requested_at) {
  requested_at_ = std::max(requested_at_.value_or(requested_at), requested_at);
  if (last_change <= last_change_) {
    return;
  }
  if (std::exchange(was_usable_, false)) {
    former_bases_.push_back({.change = last_change_,
                             .counts_until = clock_.Now() + options_.window});
  }
  last_change_ = last_change;
  UpdateSettled();
}

void EntryRegistry::OnPeerBasis(const std::string& name, uint64_t change) {
  if (std::exchange(peer_bases_[name], change) != change) {
    UpdateSettled();
  }
}

void EntryRegistry::OnHeard(const std::string& name) {
  if (const auto found = entries_.find(name); found != entries_.end()) {
    found->second.heard_at = clock_.Now();
  }
}

void EntryRegistry::OnCountedByAll(uint64_t change) {
  if (change > counted_by_all_) {
    counted_by_all_ = change;
    UpdateSettled();
  }
}

uint64_t EntryRegistry::Basis() const {
  if (!listed_ || clock_.Now() < basis_known_from_) {
    return 0;
  }
  return former_bases_.empty() ? last_change_ : former_bases_.front().change;
}

uint64_t EntryRegistry::CountedByAll() const {
  uint64_t change = Basis();
  for (const auto& [name, peer] : entries_) {
    if (name == self_) {
      continue;
    }
    const auto found = peer_bases_.find(name);
    change = std::min(change, found == peer_bases_.end() ? 0 : found->second);
  }
  return change;
}

void EntryRegistry::UpdateSettled() {
  const auto self = entries_.find(self_);
  const bool joins = clock_.Now() < started_at_ + options_.join_time;
  if (!settled_ && !joins && self != entries_.end()) {
    settled_ = std::max(counted_by_all_, CountedByAll()) >=
               self->second.entry.revision;
  }
}

std::vector<RegisteredEntry> EntryRegistry::Entries() const {
  std::vector<RegisteredEntry> entries;
  entries.reserve(entries_.size());
  for (const auto& [name, peer] : entries_) {
    entries.push_back(peer.entry);
  }
  return entries;
}

ShareState EntryRegistry::Share() const {
  const TimePoint now = clock_.Now();
  ShareState share = {.status = ShareStatus::kUsable,
                      .entries = entries_.size(),
                      .has_predecessor = has_predecessor_};
  if (!listed_) {
    share.status = ShareStatus::kUnread;
  } else if (!settled_) {
    share.status = ShareStatus::kUnsettled;
  } else if (!requested_at_.has_value() ||
             now - *requested_at_ >= options_.lease) {
    share.status = ShareStatus::kExpired;
  }
  return share;
}

void EntryRegistry::Tick(bool may_remove) {
  UpdateSettled();
  was_usable_ |= Share().status == ShareStatus::kUsable;
  while (!former_bases_.empty() &&
         clock_.Now() >= former_bases_.front().counts_until) {
    former_bases_.pop_front();
  }
  if (!listed_ || clock_.Now() < write_due_) {
    return;
  }
  WriteAboutSelf();
  if (!may_remove) {
    return;
  }
  for (const auto& [name, peer] : entries_) {
    if (name != self_) {
      WriteAbout(peer);
    }
  }
}

void EntryRegistry::WriteAboutSelf() {
  const auto self = entries_.find(self_);
  if (self == entries_.end()) {
    WriteOnce({.kind = RegistryWrite::Kind::kCreate, .entry = {.name = self_}});
    return;
  }
  RegisteredEntry entry = self->second.entry;
  const State wanted = settled_ ? State::kSettled : State::kNew;
  if (std::exchange(entry.state, wanted) != wanted) {
    WriteOnce({.kind = RegistryWrite::Kind::kSetState, .entry = entry});
  }
}

void EntryRegistry::WriteAbout(const Peer& peer) {
  const TimePoint now = clock_.Now();
  if (now - peer.heard_at < options_.forget_after) {
    return;
  }
  if (peer.entry.state != State::kExpiring) {
    RegisteredEntry entry = peer.entry;
    entry.state = State::kExpiring;
    WriteOnce({.kind = RegistryWrite::Kind::kSetState, .entry = entry});
  } else if (now - peer.state_since >= options_.lease + options_.window) {
    WriteOnce({.kind = RegistryWrite::Kind::kRemove, .entry = peer.entry});
  }
}

void EntryRegistry::WriteOnce(const RegistryWrite& write) {
  if (clock_.Now() >= write_due_) {
    write_due_ = clock_.Now() + options_.write_interval;
    write_(write);
  }
}

}  // namespace lavenderkeel
