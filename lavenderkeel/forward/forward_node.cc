#include "lavenderkeel/forward/forward_node.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "lavenderkeel/forward/internal/forward_wire.h"
#include "lavenderkeel/pace/pace_log.h"

namespace lavenderkeel {

using internal::FromWire;
using internal::ToWire;

namespace {

/// The name under which entries request the configuration from each other.
constexpr char kRoutesDocument[] = "routes";

/// A tick that is this late means that the process was suspended. A loaded
/// machine delays ticks by some hundred milliseconds.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(900);

SlotRouter::Options WithSelf(SlotRouter::Options options, std::string self) {
  options.self = std::move(self);
  return options;
}

ServerNotices::Options WithSelf(ServerNotices::Options options,
                                std::string self) {
  options.self = std::move(self);
  return options;
}

/// An object that can't be decoded is passed on without its content, which may
/// be as large as the store allows.
StoredObject WithoutContent(const StoredObject& object) {
  return {.name = object.name, .revision = object.revision};
}

ObjectWatch::Options WithKind(ObjectWatch::Options options, std::string kind) {
  options.object_kind = std::move(kind);
  return options;
}

/// What a former process used counts as long as a retry does.
RegistryExchange::Options RegistryOptions(const ForwardNode::Options& node) {
  RegistryExchange::Options options = node.registry;
  const RetryBound::Options& retries = node.controller.retries.bound;
  options.registry.window = retries.MaxAge();
  return options;
}

/// Returns the options of the watch on the servers. Servers change in groups (a
/// start, a release), and a server that leaves accepts requests for two more
/// seconds, so this watch gathers changes for longer.
ObjectWatch::Options ServerWatchOptions(ObjectWatch::Options options,
                                        std::string kind) {
  options.batch_delay *= 2;
  return WithKind(std::move(options), std::move(kind));
}

}  // namespace

ForwardNode::ForwardNode(Options options,
                         InstanceInfo self,
                         ForwardSource source,
                         ForwardCodec codec,
                         ForwardPort& port,
                         const Clock& clock,
                         uint64_t random_seed,
                         const EventLog& log,
                         Metrics& metrics)
    : options_(std::move(options)),
      source_(std::move(source)),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      random_(random_seed),
      members_(options_.members,
               std::move(self),
               clock,
               random_,
               outbox_,
               [this] {
                 Heartbeat heartbeat;
                 heartbeat.leaving = leaving_;
                 return heartbeat;
               }),
      self_name_(members_.self().id.ToString()),
      notices_(WithSelf(options_.notices, self_name_), clock, log),
      share_log_(log, metrics),
      slot_scheduler_(
          {.placement = options_.placement,
           .paces = {.on_event = PaceLog(log, metrics)},
           .fair_shares = options_.fair_shares,
           .reports_ranks = options_.controller.early_refusal,
           .on_share_decision =
               [this](const ShareDecision& decision) {
                 share_log_.OnDecision(decision);
               }},
          directory_,
          notices_,
          clock,
          [this](const std::string& requester, const SlotGrant& grant) {
            DeliverGrant(requester, grant);
          }),
      slot_router_(WithSelf(options_.slots, self_name_),
                   directory_,
                   clock,
                   log,
                   {.request_slot =
                        [this](const std::string& scheduler,
                               const SlotRequest& slot_request) {
                          DeliverSlotRequest(scheduler, slot_request);
                        },
                    .release_slot =
                        [this](const std::string& scheduler,
                               AttemptId attempt,
                               const SlotResult& result) {
                          DeliverSlotResult(scheduler, attempt, result);
                        }}),
      crashes_(options_.crashes,
               clock,
               log,
               metrics,
               [this](uint64_t suspect_hash) {
                 return exchange_.entry_directory().RankFor(suspect_hash);
               }),
      crash_archive_(
          options_.crash_archive,
          source_.crash_archive,
          [this](ObjectWatch& watch, uint64_t call, const ObjectRead& read) {
            Read(watch, call, read);
          },
          crashes_,
          clock,
          random_,
          log,
          metrics),
      version_selector_({.bounds = options_.exposure}, directory_, clock, log),
      rollouts_({.progress = {.bounds = options_.exposure}},
                version_selector_.versions(),
                clock,
                log,
                source_.write_rollout),
      rollout_exchange_(rollouts_, version_selector_),
      registry_(
          RegistryOptions(options_),
          source_.registry,
          members_.self().id.instance,
          [this](ObjectWatch& watch, uint64_t call, const ObjectRead& read) {
            Read(watch, call, read);
          },
          outbox_,
          clock,
          random_,
          log),
      controller_(options_.controller,
                  std::move(codec),
                  port,
                  directory_,
                  slot_router_,
                  crashes_,
                  version_selector_,
                  notices_,
                  clock,
                  log,
                  metrics),
      retry_lending_({}, controller_, members_, registry_, outbox_, clock),
      exchange_(options_.exchange,
                members_,
                outbox_,
                controller_,
                slot_scheduler_,
                slot_router_,
                server_log_,
                crashes_,
                rollout_exchange_,
                registry_,
                lost_entries_,
                notices_,
                clock),
      config_watch_(WithKind(options_.watch, source_.config_kind),
                    ConfigHooks(),
                    clock,
                    random_,
                    log),
      server_watch_(ServerWatchOptions(options_.watch, source_.server_kind),
                    ServerHooks(),
                    clock,
                    random_,
                    log),
      rollout_watch_(WithKind(options_.watch, source_.rollout_kind),
                     RolloutHooks(),
                     clock,
                     random_,
                     log),
      freeze_detector_(kMaxTickGap) {
  members_.signal_lost().connect([this](const PeerId& peer, Role) {
    log_.Warn("peer_lost", {{"peer", peer.ToString()}});
    peers_without_store_.erase(peer);
    lost_entries_.OnLost(peer, clock_.Now());
    peers_.erase(peer.ToString());
    slot_router_.OnSchedulerUnavailable(peer.ToString());
    slot_scheduler_.ForgetEntry(peer.ToString());
    controller_.OnPeerLost(peer.ToString());
    exchange_.OnPeerLost(peer);
    UpdatePeerCounts();
  });
  members_.signal_leaving().connect([this](const PeerId& peer, Role) {
    lost_entries_.OnLeaving(peer);
    slot_router_.OnSchedulerUnavailable(peer.ToString());
    exchange_.OnPeerLeaving(peer);
  });
  members_.signal_up().connect([this](const Member& member) {
    log_.Info("peer_up", {{"peer", member.info.id.ToString()}});
    lost_entries_.OnConnected(member.info.id);
    if (StartedBefore(member.info.id, members_.self().id)) {
      controller_.OnOlderPeer();
    }
    exchange_.OnPeerUp(member);
  });
  for (const std::string& seed : options_.seeds) {
    members_.AddSeed(seed);
  }
  controller_.retries().set_share(registry_.Share());
}

void ForwardNode::Start() {
  crashes_.Join(
      {.peers = !options_.seeds.empty(), .store = crash_archive_.enabled()});
  crash_archive_.Start();
  config_watch_.Start();
  server_watch_.Start();
  registry_.Start();
  if (options_.exposure.enabled) {
    rollout_watch_.set_wait(options_.max_watch_wait);
    rollout_watch_.Start();
  }
}

ObjectWatch::Hooks ForwardNode::RolloutHooks() {
  return {.read =
              [this](uint64_t call, const ObjectRead& read) {
                Read(rollout_watch_, call, read);
              },
          .on_list =
              [this](const std::vector<StoredObject>& objects) {
                std::vector<RolloutOrder> orders;
                std::vector<RolloutController::UnreadableOrder> unreadable;
                for (const StoredObject& object : objects) {
                  if (std::optional<RolloutOrder> order = ReadRollout(object)) {
                    orders.push_back(*std::move(order));
                  } else {
                    unreadable.push_back(
                        {.name = object.name, .revision = object.revision});
                  }
                }
                rollouts_.OnList(orders, unreadable);
              },
          .on_change =
              [this](const StoredObject& object) {
                if (object.removed) {
                  rollouts_.OnRemoved(object.name);
                } else if (const std::optional<RolloutOrder> order =
                               ReadRollout(object)) {
                  rollouts_.OnOrder(*order);
                } else {
                  rollouts_.OnUnreadable(
                      {.name = object.name, .revision = object.revision});
                }
                exchange_.SendStatusSoon();
              },
          .on_outage = [] {},
          .on_recovery = [] {}};
}

std::optional<RolloutOrder> ForwardNode::ReadRollout(
    const StoredObject& object) {
  auto order = Catch([&] { return source_.decode_rollout(object); });
  const std::optional<Failure> fault =
      order ? order.value->fault : std::optional(order.failure);
  if (fault.has_value()) {
    CountUnreadable(source_.rollout_kind);
    log_.Warn("rollout_unreadable",
              {{"rollout", object.name},
               {"recorded", order ? 1 : 0},
               {"code", static_cast<uint32_t>(fault->code)},
               {"faults", fault->message}});
  }
  return std::move(order.value);
}

void ForwardNode::StepRollouts() {
  if (!options_.exposure.enabled) {
    return;
  }
  const EntryExchange::Counts counts = exchange_.Count();
  version_selector_.set_entries(counts.sharing);
  constexpr size_t kHalf = 2;
  rollouts_.Tick({.decides = rollout_exchange_.decider() == members_.self().id,
                  .reachable_entries = counts.reporting,
                  .majority = counts.reporting * kHalf > counts.known,
                  .store_lost = rollout_watch_.lost(),
                  .servers_listed = servers_listed_});
}

ObjectWatch::Hooks ForwardNode::ConfigHooks() {
  return {.read =
              [this](uint64_t call, const ObjectRead& read) {
                Read(config_watch_, call, read);
              },
          .on_list =
              [this](const std::vector<StoredObject>& objects) {
                for (const StoredObject& object : objects) {
                  if (object.name == source_.config_object) {
                    OnConfig(object.content, "store");
                  }
                }
              },
          .on_change =
              [this](const StoredObject& object) {
                if (object.name == source_.config_object && !object.removed) {
                  OnConfig(object.content, "store");
                }
              },
          .on_outage = [] {},
          .on_recovery = [] {}};
}

ObjectWatch::Hooks ForwardNode::ServerHooks() {
  return {.read =
              [this](uint64_t call, const ObjectRead& read) {
                Read(server_watch_, call, read);
              },
          .on_list =
              [this](const std::vector<StoredObject>& objects) {
                OnServerList(objects);
              },
          .on_change =
              [this](const StoredObject& object) {
                OnServer(object);
                slot_scheduler_.GrantFreeSlots();
              },
          .on_outage = [this] { directory_.OnOutage(); },
          .on_recovery = [this] { directory_.OnRecovery(clock_.Now()); }};
}

void ForwardNode::Read(ObjectWatch& watch,
                       uint64_t call,
                       const ObjectRead& read) {
  source_.read(read, [this, &watch, call,
                      kind = read.object_kind](const ObjectReadResult& result) {
    if (result.unreadable > 0) {
      CountUnreadable(kind, result.unreadable);
    }
    watch.OnResult(call, result);
  });
}

void ForwardNode::CountUnreadable(const std::string& kind, size_t objects) {
  metrics_.Add("objects_unreadable{kind=\"" + kind + "\"}", objects);
}

void ForwardNode::OnConfig(const std::string& content, const char* from) {
  auto decoded = Catch([&] { return source_.decode_table(content); });
  if (!decoded) {
    CountUnreadable(source_.config_kind);
    log_.Write(LogLevel::kError, "config_unreadable",
               {{"from", from},
                {"code", static_cast<uint32_t>(decoded.failure.code)},
                {"faults", decoded.failure.message}});
    return;
  }
  if (controller_.table() != nullptr &&
      decoded.value->version <= controller_.table_version()) {
    return;
  }
  log_.Info("config_read",
            {{"from", from}, {"version", decoded.value->version}});
  controller_.OnRouteTable(
      std::make_shared<const RouteTable>(*std::move(decoded.value)));
  config_content_ = content;
  newer_config_peer_.reset();
  exchange_.SendStatusSoon();
}

std::optional<BackendServer> ForwardNode::ReadServer(
    const StoredObject& object) {
  auto server = Catch([&] { return source_.decode_server(object); });
  if (!server) {
    CountUnreadable(source_.server_kind);
    log_.Warn("server_unreadable",
              {{"server", object.name}, {"faults", server.failure.message}});
  }
  return std::move(server.value);
}

void ForwardNode::OnServer(const StoredObject& object) {
  if (object.removed) {
    server_log_.OnChange(object, clock_.Now());
    log_.Info("server_removed",
              {{"server", object.name}, {"revision", object.revision}});
    directory_.Remove(object.name, clock_.Now());
    return;
  }
  const std::optional<BackendServer> server = ReadServer(object);
  server_log_.OnChange(server.has_value() ? object : WithoutContent(object),
                       clock_.Now());
  if (!server.has_value()) {
    // Regardless of who wrote it, the object names no server that can be used.
    directory_.Discard(object.name);
    return;
  }
  log_.Info("server_listed", {{"server", object.name},
                              {"revision", object.revision},
                              {"service", server->service},
                              {"address", server->address},
                              {"born", server->start_time_ms},
                              {"version", server->version},
                              {"slots", server->slots},
                              {"draining", server->draining}});
  directory_.Apply(*server);
}

void ForwardNode::OnServerList(const std::vector<StoredObject>& objects) {
  std::vector<BackendServer> servers;
  std::vector<StoredObject> logged;
  for (const StoredObject& object : objects) {
    if (std::optional<BackendServer> server = ReadServer(object)) {
      servers.push_back(*std::move(server));
      logged.push_back(object);
    } else {
      directory_.Discard(object.name);
      logged.push_back(WithoutContent(object));
    }
  }
  log_.Info("servers_listed", {{"servers", servers.size()},
                               {"revision", server_watch_.revision()}});
  servers_listed_ = true;
  server_log_.OnList(logged);
  directory_.ApplyList(servers, clock_.Now());
  slot_scheduler_.GrantFreeSlots();
}

void ForwardNode::OnServerFeed(const ServerFeed& feed) {
  const ObjectDelta delta = FromWire(feed);
  if (delta.revision <= server_log_.revision()) {
    return;
  }
  server_watch_.OnPeerUpdate(delta.revision);
  if (delta.complete) {
    OnServerList(delta.objects);
    return;
  }
  for (const StoredObject& object : delta.objects) {
    OnServer(object);
  }
  slot_scheduler_.GrantFreeSlots();
}

void ForwardNode::UpdateStoreReads() {
  const bool is_fed = exchange_.is_fed();
  if (std::exchange(is_fed_, is_fed) != is_fed) {
    log_.Info(is_fed ? "store_through_coordinators" : "store_by_itself",
              {{"server_change", server_log_.revision()},
               {"config_version", controller_.table_version()}});
  }
  config_watch_.SetPaused(is_fed && controller_.table() != nullptr);
  server_watch_.SetPaused(is_fed);
  rollout_watch_.SetPaused(is_fed && version_selector_.known());
  registry_.SetPaused(is_fed && registry_.registry().last_change() > 0);
  // Coordinators send the evidence that they read.
  crash_archive_.SetPaused(is_fed);
  const bool lost = is_fed && exchange_.feed_source_lost_store();
  if (std::exchange(feed_source_lost_store_, lost) == lost) {
    return;
  }
  if (lost) {
    directory_.OnOutage();
  } else {
    directory_.OnRecovery(clock_.Now());
  }
}

void ForwardNode::Tick() {
  if (freeze_detector_.Check(clock_.Now())) {
    OnFreeze();
  }
  members_.Tick();
  config_watch_.Tick();
  server_watch_.Tick();
  rollout_watch_.Tick();
  registry_.Tick(exchange_.entry_directory());
  CountRegisteredEntries();
  controller_.retries().set_share(registry_.Share());
  UpdatePeerCounts();
  UpdateStoreReads();
  directory_.Tick(clock_.Now());
  server_log_.Tick(clock_.Now());
  notices_.Tick([this](const std::string& server) {
    return directory_.Find(server) != nullptr;
  });
  crashes_.Tick();
  crash_archive_.Tick(
      [this](uint64_t key) { return exchange_.entry_directory().RankFor(key); },
      reaches_all_);
  StepRollouts();
  slot_router_.Tick();
  slot_scheduler_.Tick();
  controller_.Tick();
  PullNewerConfig();
  exchange_.Tick({.server_change = server_log_.revision(),
                  .store_lost = server_watch_.lost() || config_watch_.lost(),
                  .rollout_change = rollout_watch_.last_change()});
}

void ForwardNode::CountRegisteredEntries() {
  const EntryRegistry& registry = registry_.registry();
  if (std::exchange(counted_registry_change_, registry.last_change()) ==
      registry.last_change()) {
    return;
  }
  for (const RegisteredEntry& entry : registry.Entries()) {
    const Member* member = members_.Find(entry.name);
    const bool connected = member != nullptr && member->live();
    if (entry.name != members_.self().id.instance && !connected) {
      lost_entries_.OnRegistered(entry.name, clock_.Now());
    }
  }
}

void ForwardNode::OnFreeze() {
  log_.Warn("woke_up", {});
  members_.ResetSilenceTimers();
  config_watch_.Restart();
  server_watch_.Restart();
  registry_.OnFreeze();
  crash_archive_.OnFreeze();
  if (options_.exposure.enabled) {
    rollout_watch_.Restart();
  }
}

void ForwardNode::OnSuspended() {
  controller_.retries().OnSuspended();
  OnFreeze();
}

void ForwardNode::Leave() {
  if (std::exchange(leaving_, true)) {
    return;
  }
  slot_router_.set_leaving();
  members_.set_leaving();
  members_.AnnounceNow();
}

bool ForwardNode::ready() const {
  return !leaving_ && servers_listed_ && controller_.table() != nullptr &&
         version_selector_.known();
}

bool ForwardNode::OnLinkUp(LinkId link,
                           const InstanceInfo& peer,
                           const std::string& dialed) {
  if (!members_.OnLinkUp(link, peer, dialed)) {
    return false;
  }
  peers_[peer.id.ToString()] = peer.id;
  exchange_.OnLinkUp(link, peer);
  return true;
}

void ForwardNode::OnLinkDown(LinkId link) {
  members_.OnLinkDown(link);
}

void ForwardNode::OnDialFailed(const std::string& address) {
  members_.OnDialFailed(address);
}

void ForwardNode::OnMessage(LinkId link, Message message) {
  const Member* member = members_.FindByLink(link);
  if (member == nullptr) {
    return;
  }
  members_.OnMessageReceived(link);
  std::visit(
      [&](auto& body) {
        using T = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<T, Heartbeat>) {
          members_.OnHeartbeat(link, body);
        } else if constexpr (std::is_same_v<T, ForwardStatus>) {
          OnStatus(*member, body);
        } else if constexpr (std::is_same_v<T, WantSlot>) {
          OnWantSlot(*member, body);
        } else if constexpr (std::is_same_v<T, HaveSlot>) {
          OnHaveSlot(*member, body);
        } else if constexpr (std::is_same_v<T, SlotEnd>) {
          slot_scheduler_.ReleaseSlot(member->info.id.ToString(), body.attempt,
                                      FromWire(body));
        } else if constexpr (std::is_same_v<T, ServerFeed>) {
          OnServerFeed(body);
        } else if constexpr (std::is_same_v<T, CrashNews>) {
          exchange_.OnCrashNews(*member, body);
        } else if constexpr (std::is_same_v<T, WantRetries>) {
          retry_lending_.OnWantRetries(*member, link, body);
        } else if constexpr (std::is_same_v<T, HaveRetries>) {
          retry_lending_.OnHaveRetries(*member, body);
        } else if constexpr (std::is_same_v<T, RegistryFeed>) {
          registry_.OnFeed(body);
        } else if constexpr (std::is_same_v<T, KnownEntries>) {
          exchange_.OnKnownEntries(body);
        } else if constexpr (std::is_same_v<T, ConfigPull>) {
          OnConfigPull(link);
        } else if constexpr (std::is_same_v<T, ConfigShards>) {
          for (const std::string& content : body.bodies) {
            OnConfig(content, "peer");
          }
        }
      },
      message);
}

void ForwardNode::OnStatus(const Member& member, const ForwardStatus& status) {
  server_watch_.OnPeerRevision(status.server_change);
  rollout_watch_.OnPeerRevision(status.rollout_change);
  RecordStoreLost(member.info.id, status.store_lost);
  if (status.table_version > controller_.table_version() &&
      !newer_config_peer_.has_value()) {
    newer_config_peer_ = member.info.id;
    newer_config_version_ = status.table_version;
    newer_config_since_ = clock_.Now();
  }
  exchange_.OnStatus(member, status);
}

void ForwardNode::RecordStoreLost(const PeerId& peer, bool lost) {
  if (!lost) {
    peers_without_store_.erase(peer);
  } else if (peers_without_store_.insert(peer).second) {
    ConfirmWatches();
  }
}

void ForwardNode::ConfirmWatches() {
  config_watch_.Confirm();
  server_watch_.Confirm();
  rollout_watch_.Confirm();
}

std::optional<LinkId> ForwardNode::LinkTo(const std::string& entry) const {
  const auto found = peers_.find(entry);
  return found == peers_.end() ? std::nullopt
                               : members_.AnyLinkTo(found->second);
}

void ForwardNode::DeliverSlotRequest(const std::string& scheduler,
                                     const SlotRequest& slot_request) {
  if (scheduler == self_name_) {
    slot_scheduler_.RequestSlot(self_name_, slot_request);
    return;
  }
  // Without a link the slot request waits until the scheduler counts as
  // unresponsive.
  if (const std::optional<LinkId> link = LinkTo(scheduler)) {
    outbox_.Send(*link, ToWire(slot_request, clock_.Now()));
  }
}

void ForwardNode::DeliverSlotResult(const std::string& scheduler,
                                    AttemptId attempt,
                                    const SlotResult& result) {
  if (scheduler == self_name_) {
    slot_scheduler_.ReleaseSlot(self_name_, attempt, result);
    return;
  }
  if (const std::optional<LinkId> link = LinkTo(scheduler)) {
    outbox_.Send(*link, ToWire(attempt, result));
  }
}

void ForwardNode::DeliverGrant(const std::string& requester,
                               const SlotGrant& grant) {
  if (requester != self_name_) {
    if (const std::optional<LinkId> link = LinkTo(requester)) {
      outbox_.Send(*link, ToWire(grant));
    }
    return;
  }
  AcceptGrant(self_name_, grant);
}

void ForwardNode::AcceptGrant(const std::string& scheduler,
                              const SlotGrant& grant) {
  const bool wanted = slot_router_.OnGrant(scheduler, grant.attempt) &&
                      controller_.OnSlotGranted(scheduler, grant);
  if (!wanted) {
    DeliverSlotResult(scheduler, grant.attempt, {});
  }
}

void ForwardNode::OnWantSlot(const Member& member, const WantSlot& want) {
  slot_scheduler_.RequestSlot(member.info.id.ToString(),
                              FromWire(want, clock_.Now()));
}

void ForwardNode::OnHaveSlot(const Member& member, const HaveSlot& have) {
  AcceptGrant(member.info.id.ToString(), FromWire(have));
}

void ForwardNode::PullNewerConfig() {
  if (!newer_config_peer_.has_value() ||
      clock_.Now() - newer_config_since_ < options_.config_pull_delay) {
    return;
  }
  // The feed source if possible, so that not all ask the same peer.
  const std::optional<LinkId> link =
      members_.AnyLinkTo(exchange_.FeedSourceWithConfig(newer_config_version_)
                             .value_or(*newer_config_peer_));
  // Unless the answer arrives, the next peer that reports a newer version is
  // asked.
  newer_config_peer_.reset();
  if (link.has_value()) {
    ConfigPull pull;
    pull.names.emplace_back(kRoutesDocument);
    outbox_.Send(*link, std::move(pull));
  }
}

void ForwardNode::OnConfigPull(LinkId link) {
  if (config_content_.empty()) {
    return;
  }
  ConfigShards shards;
  shards.names.emplace_back(kRoutesDocument);
  shards.bodies.push_back(config_content_);
  outbox_.Send(link, std::move(shards));
}

void ForwardNode::UpdatePeerCounts() {
  const EntryExchange::Counts counts = exchange_.Count();
  controller_.OnPeerCount(counts.sharing, counts.current);
  slot_scheduler_.set_rate_share(controller_.rate_share());
  reaches_all_ = counts.reporting >= registry_.registry().size();
  SetWatchWait(std::min(counts.reporting,
                        exchange_.entry_directory().coordinators().size()));
}

void ForwardNode::SetWatchWait(size_t watchers) {
  // If each of hundreds of entries renews its watches every two seconds, each
  // makes one call a second, which is billed and returns no change. A change or
  // an outage that one entry sees reaches the others within a report, so
  // together the entries need to renew no more often than a few would alone: a
  // fifth of the calls of 26 entries are left.
  const double share = static_cast<double>(watchers) /
                       static_cast<double>(options_.entries_at_base_wait);
  const Duration wait = std::min(
      options_.max_watch_wait, std::chrono::duration_cast<Duration>(
                                   options_.watch.wait * std::max(1.0, share)));
  config_watch_.set_wait(wait);
  server_watch_.set_wait(wait);
  // The entries that reported changes are lost; pending calls may have waited
  // too long.
  const bool halved = watchers * 2 <= watchers_when_confirmed_;
  if (halved) {
    ConfirmWatches();
  }
  if (halved || watchers > watchers_when_confirmed_) {
    watchers_when_confirmed_ = watchers;
  }
}

}  // namespace lavenderkeel
