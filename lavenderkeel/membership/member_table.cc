#include "lavenderkeel/membership/member_table.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

MemberTable::MemberTable(Options options,
                         InstanceInfo self,
                         const Clock& clock,
                         std::mt19937_64& random,
                         Outbox& outbox,
                         MakeHeartbeat make_heartbeat)
    : options_(options),
      self_(std::move(self)),
      clock_(clock),
      random_(random),
      outbox_(outbox),
      make_heartbeat_(std::move(make_heartbeat)) {}

bool MemberTable::OnLinkUp(LinkId link,
                           const InstanceInfo& peer,
                           const std::string& dialed) {
  const bool outbound = !dialed.empty();
  const auto known = members_.find(peer.id.instance);
  const bool is_self = peer.id.instance == self_.id.instance;
  // A frozen predecessor may resume and dial again under the same name; its
  // state must not be taken for that of the current incarnation. Incarnations
  // grow, so the lower number is refused.
  const bool is_former =
      known != members_.end() &&
      peer.id.incarnation < known->second.info.id.incarnation;
  if (is_self) {
    targets_.erase(dialed);
  }
  if (is_self || is_former) {
    outbox_.Push(CloseLink{.link = link});
    return false;
  }
  Member& member = AddOrReplaceMember(peer);
  std::optional<LinkId>& link_slot =
      outbound ? member.outbound : member.inbound;
  if (link_slot.has_value()) {
    Close(*link_slot);
  }
  const TimePoint now = clock_.Now();
  links_[link] = {.instance = peer.id.instance,
                  .outbound = outbound,
                  .last_received = now,
                  .last_sent = now};
  link_slot = link;
  // Sent at once, since the peer knows neither the load nor the configuration
  // version of this process before the first heartbeat.
  outbox_.Send(link, make_heartbeat_());
  if (!outbound) {
    return true;
  }
  member.disconnected_since.reset();
  member.lost = false;
  member.was_connected = true;
  DialTarget& target = targets_[dialed];
  target.dialing = false;
  target.instance = peer.id.instance;
  target.backoff.Reset();
  signal_up_.emit(member);
  return true;
}

Member& MemberTable::AddOrReplaceMember(const InstanceInfo& peer) {
  const auto found = members_.find(peer.id.instance);
  if (found != members_.end() && found->second.info.id != peer.id) {
    const PeerId replaced = found->second.info.id;
    const bool was_lost = found->second.lost;
    const Role role = found->second.info.role;
    if (found->second.outbound.has_value()) {
      Close(*found->second.outbound);
    }
    if (found->second.inbound.has_value()) {
      Close(*found->second.inbound);
    }
    members_.erase(peer.id.instance);
    if (!was_lost) {
      signal_lost_.emit(replaced, role);
    }
  }
  Member& member = members_[peer.id.instance];
  const bool leaving = member.info.leaving;
  member.info = peer;
  member.info.leaving = leaving;
  if (!member.outbound.has_value() && !member.disconnected_since.has_value()) {
    member.disconnected_since = clock_.Now();
  }
  if (!peer.address.empty()) {
    UpdateDialTarget(peer);
  }
  return member;
}

void MemberTable::OnLinkDown(LinkId link) {
  DropLink(link);
}

void MemberTable::Close(LinkId link) {
  outbox_.Push(CloseLink{.link = link});
  DropLink(link);
}

void MemberTable::DropLink(LinkId link) {
  const auto found = links_.find(link);
  if (found == links_.end()) {
    return;
  }
  const std::string instance = found->second.instance;
  const bool outbound = found->second.outbound;
  signal_link_dropped_.emit(link);
  links_.erase(link);
  const auto member = members_.find(instance);
  if (member == members_.end()) {
    return;
  }
  if (outbound && member->second.outbound == link) {
    member->second.outbound.reset();
    member->second.disconnected_since = clock_.Now();
  }
  if (!outbound && member->second.inbound == link) {
    member->second.inbound.reset();
  }
}

void MemberTable::OnDialFailed(const std::string& address) {
  const auto found = targets_.find(address);
  if (found == targets_.end()) {
    return;
  }
  found->second.dialing = false;
  found->second.next_dial_at =
      clock_.Now() + found->second.backoff.Next(random_);
}

void MemberTable::OnMessageReceived(LinkId link) {
  const auto found = links_.find(link);
  if (found != links_.end()) {
    found->second.last_received = clock_.Now();
  }
}

void MemberTable::OnHeartbeat(LinkId link, const Heartbeat& heartbeat) {
  const auto found = links_.find(link);
  if (found == links_.end()) {
    return;
  }
  Member& member = members_.at(found->second.instance);
  member.has_heartbeat = true;
  member.config_version = heartbeat.config_version;
  member.load = heartbeat;
  if (heartbeat.leaving && !member.info.leaving) {
    member.info.leaving = true;
    signal_leaving_.emit(member.info.id, member.info.role);
  }
}

void MemberTable::OnInstanceList(const std::vector<InstanceInfo>& instances) {
  std::set<std::string> addresses;
  for (const InstanceInfo& info : instances) {
    addresses.insert(info.address);
    const Member* member = Find(info.id.instance);
    const bool known =
        member != nullptr && member->info.id.incarnation >= info.id.incarnation;
    const bool is_self = info.id.instance == self_.id.instance;
    if (!info.leaving && !known && !is_self) {
      UpdateDialTarget(info);
    }
  }
  // An address that neither a seed nor the list names any more, and that does
  // not answer, belongs to an instance that was replaced. An instance that
  // dialled this process is running, whatever the list says: if it were
  // forgotten before it is dialled back, it would count as lost for good, since
  // no other instance would report it either.
  std::erase_if(targets_, [&](const auto& item) {
    const auto& [address, target] = item;
    const Member* member = Find(target.instance);
    const bool linked = member != nullptr && (member->outbound.has_value() ||
                                              member->inbound.has_value());
    return !target.seed && !linked && !addresses.contains(address);
  });
}

void MemberTable::AddSeed(const std::string& address) {
  targets_[address].seed = true;
  targets_[address].known_since = clock_.Now();
}

void MemberTable::UpdateDialTarget(const InstanceInfo& info) {
  // A restarted instance has a new address; the old one must not be dialled
  // for it any more.
  std::erase_if(targets_, [&](const auto& item) {
    return item.second.instance == info.id.instance &&
           item.first != info.address && !item.second.seed;
  });
  const auto [position, inserted] = targets_.try_emplace(info.address);
  DialTarget& target = position->second;
  if (inserted) {
    target.known_since = clock_.Now();
  }
  target.instance = info.id.instance;
  target.incarnation = info.id.incarnation;
  target.role = info.role;
  target.data_centre = info.data_centre;
  target.region = info.region;
}

void MemberTable::Tick() {
  const TimePoint now = clock_.Now();
  std::vector<LinkId> unresponsive;
  // Built only when one is due: ticks are many times as frequent.
  std::optional<Heartbeat> heartbeat;
  for (auto& [link, state] : links_) {
    // Something between the two ends may lose track of the connection without
    // an error; requests on it would hang for good while new connections work.
    // Heartbeats go both ways, so either side notices within the timeout and
    // drops the link, and its requests are attached again.
    if (now - state.last_received > options_.heartbeat_timeout) {
      unresponsive.push_back(link);
    } else if (now - state.last_sent >= HeartbeatPeriodFor(state)) {
      if (!heartbeat.has_value()) {
        heartbeat = make_heartbeat_();
      }
      SendHeartbeat(link, state, *heartbeat);
    }
  }
  for (const LinkId link : unresponsive) {
    Close(link);
  }
  DetectLost(now);
  DetectNeverConnected(now);
  ForgetUnconnectedMembers(now);
  DialDueTargets(now);
}

void MemberTable::ForgetUnconnectedMembers(TimePoint now) {
  std::erase_if(members_, [&](const auto& item) {
    const Member& member = item.second;
    const bool linked =
        member.inbound.has_value() || member.outbound.has_value();
    const bool unreachable = member.lost || !member.was_connected;
    return unreachable && !linked &&
           now - *member.disconnected_since > options_.forget_after;
  });
}

Duration MemberTable::HeartbeatPeriodFor(const Link& state) const {
  const Member& peer = members_.at(state.instance);
  const bool between_entries =
      self_.role == Role::kEntry && peer.info.role == Role::kEntry;
  return between_entries ? options_.entry_heartbeat_period
                         : options_.heartbeat_period;
}

void MemberTable::SendHeartbeat(LinkId link,
                                Link& state,
                                const Heartbeat& heartbeat) {
  state.last_sent = clock_.Now();
  outbox_.Send(link, heartbeat);
}

void MemberTable::DetectLost(TimePoint now) {
  std::vector<std::pair<PeerId, Role>> lost;
  for (auto& [instance, member] : members_) {
    // An entry that this process does not dial may be linked only by its own
    // dial, so a missing outbound link is no loss.
    const bool expected = member.was_connected ||
                          member.info.role != Role::kEntry ||
                          IsWantedEntry(instance);
    const bool overdue =
        expected && member.disconnected_since.has_value() &&
        now - *member.disconnected_since > options_.heartbeat_timeout;
    if (overdue && !member.lost) {
      member.lost = true;
      lost.emplace_back(member.info.id, member.info.role);
    }
  }
  for (const auto& [peer, role] : lost) {
    signal_lost_.emit(peer, role);
  }
}

void MemberTable::DetectNeverConnected(TimePoint now) {
  std::vector<PeerId> reported_never_connected;
  for (auto& [address, target] : targets_) {
    const bool expected = target.role == Role::kEntry &&
                          target.region == self_.region &&
                          IsWantedEntry(target.instance);
    if (expected && !target.reported_never_connected &&
        Find(target.instance) == nullptr && HadTimeToConnect(target, now)) {
      target.reported_never_connected = true;
      reported_never_connected.push_back(
          {.instance = target.instance, .incarnation = target.incarnation});
    }
  }
  for (const PeerId& peer : reported_never_connected) {
    signal_never_connected_.emit(peer);
  }
}

void MemberTable::DialDueTargets(TimePoint now) {
  if (std::ranges::none_of(targets_, [now](const auto& item) {
        return !item.second.dialing && item.second.next_dial_at <= now;
      })) {
    return;
  }
  std::set<std::string> wanted = WantedAgents();
  wanted.merge(WantedEntries());
  for (auto& [address, target] : targets_) {
    if (target.dialing || target.next_dial_at > now ||
        !ShouldDial(target, wanted)) {
      continue;
    }
    target.dialing = true;
    outbox_.Push(Dial{.address = address});
  }
}

bool MemberTable::ShouldDial(const DialTarget& target,
                             const std::set<std::string>& wanted) const {
  if (self_.role == Role::kAgent) {
    // An agent dials only to make itself known; the entries then dial it.
    const bool known = std::ranges::any_of(members_, [](const auto& item) {
      return item.second.inbound.has_value();
    });
    return target.seed && !known;
  }
  const Member* member = Find(target.instance);
  if (member != nullptr && member->outbound.has_value()) {
    return false;
  }
  return !target.role.has_value() || wanted.contains(target.instance) ||
         extra_wanted_agents_.contains(target.instance);
}

std::set<std::string> MemberTable::WantedAgents() const {
  std::vector<std::string> own;
  std::vector<std::string> other;
  for (const auto& [address, target] : targets_) {
    if (target.role == Role::kAgent) {
      const bool is_near = target.data_centre == self_.data_centre;
      (is_near ? own : other).push_back(target.instance);
    }
  }
  std::set<std::string> wanted;
  const uint64_t hash = HashBytes(self_.id.instance);
  for (std::string& name :
       RendezvousTop(hash, own, options_.agents_per_entry)) {
    wanted.insert(std::move(name));
  }
  const size_t remaining = options_.agents_per_entry - wanted.size();
  for (std::string& name : RendezvousTop(hash, other, remaining)) {
    wanted.insert(std::move(name));
  }
  return wanted;
}

std::set<std::string> MemberTable::WantedEntries() const {
  std::set<std::string> wanted;
  std::map<std::string, std::vector<std::string>> other_regions;
  for (const auto& [address, target] : targets_) {
    if (target.role != Role::kEntry) {
      continue;
    }
    if (target.region == self_.region) {
      if (IsWantedEntry(target.instance)) {
        wanted.insert(target.instance);
      }
    } else {
      other_regions[target.region].push_back(target.instance);
    }
  }
  const uint64_t hash = HashBytes(self_.id.instance);
  for (const auto& [region, names] : other_regions) {
    for (std::string& name :
         RendezvousTop(hash, names, options_.entries_per_other_region)) {
      wanted.insert(std::move(name));
    }
  }
  return wanted;
}

bool MemberTable::HasConnectedToAllEntries() const {
  const TimePoint now = clock_.Now();
  return std::ranges::all_of(targets_, [&](const auto& item) {
    const DialTarget& target = item.second;
    const bool counts =
        !target.role.has_value() ||
        (target.role == Role::kEntry && target.region == self_.region);
    const Member* member = Find(target.instance);
    const bool is_connected = member != nullptr &&
                              member->inbound.has_value() &&
                              member->outbound.has_value();
    // The handshake of a pending dial may be read at any moment; what it says
    // of this process has to stay true until then.
    const bool is_unreachable =
        HadTimeToConnect(target, now) && !target.dialing;
    return !counts || is_connected || is_unreachable;
  });
}

void MemberTable::ResetSilenceTimers() {
  const TimePoint now = clock_.Now();
  for (auto& [link, state] : links_) {
    state.last_received = now;
  }
  for (auto& [instance, member] : members_) {
    if (member.disconnected_since.has_value() && !member.lost) {
      member.disconnected_since = now;
    }
  }
}

void MemberTable::SendToAll(Role role, const Message& message) {
  for (const Member* member : Members(role)) {
    if (member->outbound.has_value()) {
      outbox_.Send(*member->outbound, message);
    }
  }
}

void MemberTable::AnnounceNow() {
  const Heartbeat heartbeat = make_heartbeat_();
  for (auto& [link, state] : links_) {
    SendHeartbeat(link, state, heartbeat);
  }
}

const Member* MemberTable::Find(const std::string& instance) const {
  const auto found = members_.find(instance);
  return found == members_.end() ? nullptr : &found->second;
}

const Member* MemberTable::FindByLink(LinkId link) const {
  const auto found = links_.find(link);
  return found == links_.end() ? nullptr : Find(found->second.instance);
}

const Member* MemberTable::Find(const PeerId& peer) const {
  const Member* member = Find(peer.instance);
  return member != nullptr && member->info.id == peer ? member : nullptr;
}

std::optional<LinkId> MemberTable::LinkTo(const PeerId& peer) const {
  const Member* member = Find(peer);
  return member == nullptr ? std::nullopt : member->outbound;
}

std::optional<LinkId> MemberTable::AnyLinkTo(const PeerId& peer) const {
  const Member* member = Find(peer);
  if (member == nullptr) {
    return std::nullopt;
  }
  return member->outbound.has_value() ? member->outbound : member->inbound;
}

std::vector<const Member*> MemberTable::Members(Role role) const {
  std::vector<const Member*> result;
  for (const auto& [instance, member] : members_) {
    if (member.info.role == role) {
      result.push_back(&member);
    }
  }
  return result;
}

}  // namespace lavenderkeel
