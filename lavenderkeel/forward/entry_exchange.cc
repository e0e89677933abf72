#include "lavenderkeel/forward/entry_exchange.h"

#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"
#include "lavenderkeel/crash/crash_wire.h"
#include "lavenderkeel/forward/internal/forward_wire.h"
#include "lavenderkeel/membership/greeting.h"
#include "lavenderkeel/notice/notice_wire.h"

namespace lavenderkeel {

using internal::FromWire;
using internal::GroupReportsFromWire;
using internal::RelayedFromWire;
using internal::ToWire;

namespace {

/// Returns whether a condition has held for longer than a duration.
/// @param since time at which the condition began to hold; kept from call to
///     call
bool HoldsFor(Duration longer_than,
              bool holds,
              std::optional<TimePoint>& since,
              TimePoint now) {
  if (!holds) {
    since.reset();
    return false;
  }
  if (!since.has_value()) {
    since = now;
  }
  return now - *since > longer_than;
}

DemandRelay::Totals ToRelayTotals(const DemandTotals& demand) {
  DemandRelay::Totals totals;
  totals.reserve(demand.size());
  for (const TeamRankDemand& total : demand) {
    totals.emplace_back(std::pair(total.team, total.rank), total.units);
  }
  return totals;
}

}  // namespace

EntryExchange::EntryExchange(const Options& options,
                             MemberTable& members,
                             Outbox& outbox,
                             ForwardController& controller,
                             SlotScheduler& slot_scheduler,
                             SlotRouter& slot_router,
                             const ServerLog& servers,
                             CrashGuard& crashes,
                             RolloutExchange& rollouts,
                             RegistryExchange& registry,
                             const LostEntries& lost_entries,
                             ServerNotices& notices,
                             const Clock& clock)
    : options_(options),
      members_(members),
      outbox_(outbox),
      controller_(controller),
      slot_scheduler_(slot_scheduler),
      slot_router_(slot_router),
      servers_(servers),
      crashes_(crashes),
      rollouts_(rollouts),
      registry_(registry),
      lost_entries_(lost_entries),
      notices_(notices),
      clock_(clock),
      entry_directory_(options.entry_directory, members.self()) {
  OnEntryDirectoryChange();
}

void EntryExchange::OnLinkUp(LinkId link, const InstanceInfo& peer) {
  // Sent over each new connection: messages on a former connection may be lost.
  for (CrashNews& news :
       ToMessages(crashes_.All(), /*complete=*/true, clock_.Now())) {
    outbox_.Send(link, std::move(news));
  }
  // Both ends open a connection; the list is sent over the first.
  if (entry_directory_.OnConnected(peer, clock_.Now())) {
    SendList(link, peer.id.instance, entry_directory_.AvailableOthers(),
             /*complete=*/true);
    OnEntryDirectoryChange();
  }
}

void EntryExchange::OnPeerUp(const Member& member) {
  slot_router_.OnReconnected(member.info.id.ToString());
  // The former connection may have lost reports, so all usage is sent.
  status_round_ = 0;
  SendStatusSoon();
}

void EntryExchange::OnPeerLost(const PeerId& peer) {
  coordinator_status_.erase(peer);
  reported_at_.erase(peer);
  feed_receivers_.erase(peer);
  rollouts_.OnPeerLost(peer);
  registry_.OnPeerLost(peer);
  entry_directory_.OnUnavailable(peer);
  OnEntryDirectoryChange();
}

void EntryExchange::OnPeerLeaving(const PeerId& peer) {
  entry_directory_.OnUnavailable(peer);
  OnEntryDirectoryChange();
}

void EntryExchange::OnEntryDirectoryChange() {
  slot_router_.set_hosts_schedulers(entry_directory_.self_coordinates());
  slot_router_.set_min_host_processor_share(
      entry_directory_.min_coordinator_share());
  members_.OnInstanceList(entry_directory_.Others());
  members_.set_wanted_entries(
      entry_directory_.self_coordinates()
          ? std::nullopt
          : std::optional(entry_directory_.coordinators()));
}

void EntryExchange::OnStatus(const Member& member,
                             const ForwardStatus& status) {
  const PeerId& peer = member.info.id;
  const std::string name = peer.ToString();
  reported_at_[peer] = clock_.Now();
  const ForwardReport report = FromWire(status);
  controller_.OnPeerReport(name, report);
  slot_scheduler_.OnReport(name, report.in_flight);
  rollouts_.OnStatus(peer, status);
  registry_.OnStatus(peer, members_.AnyLinkTo(peer), status);
  const bool is_relay = RelaysUsageOf(peer.instance);
  relay_.OnTotals(peer, report.team_totals, is_relay);
  demand_relay_.OnTotals(peer, ToRelayTotals(report.demand), is_relay);
  // A coordinator sends its notices to all entries itself.
  notices_.OnReports(NoticesFromWire(status, clock_.Now()),
                     entry_directory_.self_coordinates() &&
                         !entry_directory_.IsCoordinator(peer.instance));
  if (status.feed_wanted) {
    UpdateFeedReceiver(peer, status.server_change);
  } else {
    feed_receivers_.erase(peer);
  }
  if (status.entries_known == 0) {
    return;
  }
  coordinator_status_[peer] = {.counts = {.known = status.entries_known,
                                          .reporting = status.entries_heard,
                                          .current = status.entries_heard,
                                          .sharing = status.entries_known},
                               .server_change = status.server_change,
                               .table_version = status.table_version,
                               .store_lost = status.store_lost,
                               .data_centre = member.info.data_centre,
                               .at = clock_.Now()};
  controller_.OnRelayedTotals(name, RelayedFromWire(status));
  controller_.OnRelayedDemand(name, internal::RelayedDemandFromWire(status));
  if (!member.info.leaving) {
    const std::vector<SlotGroupReport> group_reports =
        GroupReportsFromWire(status);
    slot_router_.OnReport(name, group_reports);
    controller_.OnSlotGroupReports(name, group_reports);
  }
}

void EntryExchange::UpdateFeedReceiver(const PeerId& peer,
                                       uint64_t reported_change) {
  FeedReceiver& receiver = feed_receivers_[peer];
  const bool in_transit =
      reported_change < receiver.last_change &&
      members_.AnyLinkTo(peer) == receiver.link &&
      clock_.Now() - receiver.sent_at < options_.feed_resend_after;
  if (!in_transit) {
    receiver.last_change = reported_change;
  }
  if (receiver.last_change < servers_.revision()) {
    SendFeed(peer, receiver);
  }
}

void EntryExchange::OnKnownEntries(const KnownEntries& known) {
  std::vector<InstanceInfo> listed;
  listed.reserve(known.entries.size());
  for (const auto& entry : known.entries) {
    if (entry != nullptr) {
      listed.push_back(FromHello(*entry));
    }
  }
  if (entry_directory_.OnListed(listed, known.complete, clock_.Now())) {
    OnEntryDirectoryChange();
  }
}

void EntryExchange::Tick(const OwnState& own_state) {
  const TimePoint now = clock_.Now();
  ChooseFeedSource(own_state);
  SendFeeds();
  rollouts_.ChooseDecider(members_.self().id,
                          entry_directory_.self_coordinates(),
                          [this](const PeerId& peer) { return IsUp(peer); });
  SendNewEntries();
  SendCrashReports();
  if (now >= status_due_ || notices_.has_changes()) {
    status_due_ = now + options_.status_period;
    SendStatus(own_state);
  }
  if (now >= list_due_) {
    list_due_ = now + options_.list_period;
    SendCompleteList();
  }
}

void EntryExchange::ChooseFeedSource(const OwnState& own_state) {
  const TimePoint now = clock_.Now();
  feed_source_.reset();
  if (entry_directory_.self_coordinates()) {
    return;
  }
  uint64_t latest = own_state.server_change;
  bool all_lost = true;
  for (const auto& [peer, latest_status] : coordinator_status_) {
    if (IsUp(peer)) {
      latest = std::max(latest, latest_status.server_change);
      all_lost = all_lost && latest_status.store_lost;
    }
  }
  const bool lagging =
      HoldsFor(options_.max_feed_lag, latest != own_state.server_change,
               lagging_since_, now);
  // In order of preference: has the latest change, if this entry lags; gets
  // answers from the store; is in this data centre, since lists are long;
  // rendezvous weight, which spreads the entries over the coordinators.
  const uint64_t key = HashBytes(members_.self().id.instance);
  std::optional<std::tuple<bool, bool, bool, uint64_t>> best;
  for (const auto& [peer, latest_status] : coordinator_status_) {
    const std::tuple rank(
        !lagging || latest_status.server_change == latest,
        !latest_status.store_lost,
        latest_status.data_centre == members_.self().data_centre,
        RendezvousWeight(key, peer.instance));
    if (IsUp(peer) && (!best.has_value() || rank > *best)) {
      best = rank;
      feed_source_ = peer;
    }
  }
  all_lost_store_ =
      HoldsFor(options_.store_fallback_after,
               all_lost && feed_source_.has_value(), store_lost_since_, now);
}

const EntryExchange::CoordinatorStatus* EntryExchange::FeedSourceStatus()
    const {
  const auto latest_status = feed_source_.has_value()
                                 ? coordinator_status_.find(*feed_source_)
                                 : coordinator_status_.end();
  return latest_status == coordinator_status_.end() ? nullptr
                                                    : &latest_status->second;
}

bool EntryExchange::feed_source_lost_store() const {
  const CoordinatorStatus* source_status = FeedSourceStatus();
  return source_status != nullptr && source_status->store_lost;
}

std::optional<PeerId> EntryExchange::FeedSourceWithConfig(
    uint64_t version) const {
  const CoordinatorStatus* source_status = FeedSourceStatus();
  return source_status != nullptr && source_status->table_version >= version
             ? feed_source_
             : std::nullopt;
}

void EntryExchange::SendFeed(const PeerId& peer, FeedReceiver& receiver) {
  const std::optional<LinkId> link = members_.AnyLinkTo(peer);
  if (!link.has_value()) {
    return;
  }
  outbox_.Send(*link, ToWire(servers_.ChangesSince(receiver.last_change)));
  receiver = {.last_change = servers_.revision(),
              .link = *link,
              .sent_at = clock_.Now()};
}

void EntryExchange::SendFeeds() {
  for (auto& [peer, receiver] : feed_receivers_) {
    if (receiver.last_change < servers_.revision()) {
      SendFeed(peer, receiver);
    }
  }
}

bool EntryExchange::IsUp(const PeerId& coordinator) const {
  const auto latest_status = coordinator_status_.find(coordinator);
  return latest_status != coordinator_status_.end() &&
         clock_.Now() - latest_status->second.at <=
             options_.coordinator_timeout;
}

bool EntryExchange::RelaysUsageOf(const std::string& instance) const {
  if (!entry_directory_.self_coordinates() ||
      entry_directory_.IsCoordinator(instance)) {
    return false;
  }
  // Whether no reporting coordinator has a higher weight, without building a
  // list of them.
  const uint64_t key = HashBytes(instance);
  const uint64_t own_weight =
      RendezvousWeight(key, members_.self().id.instance);
  return std::ranges::none_of(coordinator_status_, [&](const auto& item) {
    return IsUp(item.first) &&
           RendezvousWeight(key, item.first.instance) > own_weight;
  });
}

EntryExchange::Counts EntryExchange::CountMembers() const {
  const TimePoint now = clock_.Now();
  Counts counts;
  for (const Member* member : members_.Members(Role::kEntry)) {
    if (member->info.leaving) {
      continue;
    }
    ++counts.known;
    if (!member->live()) {
      continue;
    }
    ++counts.reporting;
    const auto reported_at = reported_at_.find(member->info.id);
    counts.current +=
        reported_at != reported_at_.end() &&
                now - reported_at->second <= options_.max_usage_age
            ? 1
            : 0;
  }
  counts.sharing =
      std::max(counts.known, counts.reporting + lost_entries_.CountAt(now));
  return counts;
}

EntryExchange::Counts EntryExchange::Count() const {
  if (entry_directory_.self_coordinates()) {
    return CountMembers();
  }
  // The coordinator with the most reporting entries relays their usage here.
  std::optional<Counts> most;
  for (const auto& [peer, latest_status] : coordinator_status_) {
    if (IsUp(peer) && (!most.has_value() ||
                       latest_status.counts.reporting > most->reporting)) {
      most = latest_status.counts;
    }
  }
  const size_t lost = lost_entries_.CountAt(clock_.Now());
  return most.value_or(
      Counts{.known = entry_directory_.size(),
             .sharing = std::max(entry_directory_.size(), 1 + lost)});
}

void EntryExchange::SendStatus(const OwnState& own_state) {
  const bool include_unchanged = status_round_ == 0;
  status_round_ = (status_round_ + 1) % options_.full_status_every;
  ForwardReport report = controller_.Report();
  report.demand = controller_.TakeDemand();
  slot_scheduler_.OnReport(members_.self().id.ToString(), report.in_flight);
  const std::vector<SlotGroupReport> group_reports = slot_scheduler_.Reports();
  slot_router_.OnReport(members_.self().id.ToString(), group_reports);
  controller_.OnSlotGroupReports(members_.self().id.ToString(), group_reports);
  std::erase_if(report.team_totals, [&](const auto& total) {
    const bool unchanged = std::exchange(last_sent_totals_[total.first],
                                         total.second) == total.second;
    return unchanged && !include_unchanged;
  });
  const bool coordinates = entry_directory_.self_coordinates();
  ForwardStatus to_coordinator = ToWire(report, group_reports);
  to_coordinator.server_change = own_state.server_change;
  to_coordinator.store_lost = own_state.store_lost;
  PutNotices(NoticesToReport(include_unchanged), clock_.Now(), to_coordinator);
  rollouts_.PutCounts(members_.self().id, include_unchanged, to_coordinator);
  registry_.PutStatus(coordinates, to_coordinator);
  if (coordinates) {
    rollouts_.PutPlans(own_state.rollout_change, to_coordinator);
  }
  const Counts counts = Count();
  if (coordinates) {
    to_coordinator.entries_known = static_cast<uint32_t>(counts.sharing);
    to_coordinator.entries_heard = static_cast<uint32_t>(counts.current);
  }
  // An entry without a slot scheduler needs no counts of what runs at the
  // servers.
  ForwardStatus to_other = to_coordinator;
  to_other.servers.clear();
  to_other.in_flight.clear();
  to_other.rollout_counts.clear();
  const std::vector<std::pair<uint64_t, int>> demand_changes =
      demand_relay_.TakeChanges(options_.max_relayed_demand);
  for (const Member* member : members_.Members(Role::kEntry)) {
    if (!member->outbound.has_value()) {
      continue;
    }
    if (entry_directory_.IsCoordinator(member->info.id.instance)) {
      to_coordinator.feed_wanted = feed_source_ == member->info.id;
      outbox_.Send(*member->outbound, to_coordinator);
    } else if (coordinates) {
      ForwardStatus status = to_other;
      internal::PutRelayed(relay_.TotalsFor(member->info.id, include_unchanged),
                           status);
      internal::PutRelayedDemand(
          RelayedDemandFor(member->info.id, demand_changes), status);
      outbox_.Send(*member->outbound, std::move(status));
    }
  }
  relay_.ClearChanges();
}

DemandTotals EntryExchange::RelayedDemandFor(
    const PeerId& entry,
    const std::vector<std::pair<uint64_t, int>>& changes) const {
  DemandTotals totals;
  totals.reserve(changes.size());
  for (const auto& [team, rank] : changes) {
    totals.push_back({.team = team,
                      .rank = rank,
                      .units = demand_relay_.TotalFor(entry, {team, rank})});
  }
  return totals;
}

std::vector<ServerNotice> EntryExchange::NoticesToReport(bool all) {
  std::vector<ServerNotice> changes = notices_.TakeChanges();
  return all ? notices_.Shared(!entry_directory_.self_coordinates()) : changes;
}

void EntryExchange::SendNewEntries() {
  const std::vector<InstanceInfo> new_entries =
      entry_directory_.TakeNewEntries();
  if (new_entries.empty()) {
    return;
  }
  for (const Member* member : members_.Members(Role::kEntry)) {
    if (member->outbound.has_value()) {
      SendList(*member->outbound, member->info.id.instance, new_entries,
               /*complete=*/false);
    }
  }
}

void EntryExchange::OnCrashNews(const Member& member, const CrashNews& news) {
  // A coordinator sends its crash reports to all entries itself.
  const bool pass_on = entry_directory_.self_coordinates() &&
                       !entry_directory_.IsCoordinator(member.info.id.instance);
  crashes_.OnReports(
      news, {.pass_on = pass_on,
             .is_older = StartedBefore(member.info.id, members_.self().id)});
}

void EntryExchange::SendCrashReports() {
  const std::vector<CrashReport> reports = crashes_.TakeNewReports();
  if (!reports.empty()) {
    for (CrashNews& news :
         ToMessages(reports, /*complete=*/false, clock_.Now())) {
      members_.SendToAll(Role::kEntry, std::move(news));
    }
  }
}

void EntryExchange::SendCompleteList() {
  // Round robin in order of the names: each entry gets the list of some
  // coordinator about once a second.
  const std::vector<const Member*> all = members_.Members(Role::kEntry);
  const Member* next = nullptr;
  for (const Member* member : all) {
    if (!member->outbound.has_value()) {
      continue;
    }
    const bool after = member->info.id.instance > last_list_receiver_;
    const bool next_is_after =
        next != nullptr && next->info.id.instance > last_list_receiver_;
    if (next == nullptr || (after && !next_is_after)) {
      next = member;
    }
  }
  if (next == nullptr || !entry_directory_.self_coordinates()) {
    return;
  }
  last_list_receiver_ = next->info.id.instance;
  std::vector<InstanceInfo> live;
  for (const Member* member : all) {
    if (member->live()) {
      live.push_back(member->info);
    }
  }
  SendList(*next->outbound, last_list_receiver_, live, /*complete=*/true);
}

void EntryExchange::SendList(LinkId link,
                             const std::string& to,
                             const std::vector<InstanceInfo>& entries,
                             bool complete) {
  KnownEntries known;
  known.complete = complete;
  for (const InstanceInfo& info : entries) {
    if (info.id.instance != to && !info.leaving) {
      known.entries.push_back(std::make_unique<Hello>(ToHello(info)));
    }
  }
  outbox_.Send(link, std::move(known));
}

}  // namespace lavenderkeel
