#include "lavenderkeel/dispatch/entry_node.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

namespace {

constexpr std::string_view kAdminPath = "/admin/v1/";

}  // namespace

EntryNode::EntryNode(Options options,
                     InstanceInfo self,
                     const Clock& clock,
                     uint64_t random_seed,
                     const EventLog& log,
                     Metrics& metrics)
    : options_(std::move(options)),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      random_(random_seed),
      platform_(outbox_),
      members_(options_.members,
               std::move(self),
               clock,
               random_,
               outbox_,
               [this] {
                 Heartbeat heartbeat;
                 heartbeat.config_version = config_.version();
                 heartbeat.leaving = has_announced_leaving_;
                 heartbeat.known_entries = ranking_.KnownEntriesHash();
                 return heartbeat;
               }),
      ranking_({.clock_skew = options_.claims.clock_skew,
                .settle_time = 2 * options_.members.heartbeat_timeout}),
      claims_(
          options_.claims,
          clock,
          [this](const RequestKey& key) {
            // Before the entry has joined, it disclaims older keys on each
            // tick only. A process frozen between two ticks must not vouch for
            // keys sent meanwhile.
            return joined_ &&
                   ranking_.KnowsEveryClaim(members_.self().id.instance, key);
          },
          [this](const RequestKey& key) { return ranking_.Coverage(key); }),
      claimer_(claims_,
               ranking_,
               members_,
               outbox_,
               {.may_claim = [this] { return MayClaim(); },
                .on_claim = [this] { members_.set_no_claims(false); }}),
      key_arbiter_(options_.key_arbiter,
                   members_.self().id,
                   clock,
                   random_,
                   log,
                   platform_),
      config_(log),
      config_distributor_(options_.config_distributor,
                          config_,
                          members_,
                          clock,
                          random_,
                          platform_,
                          outbox_),
      registration_(options_.registration,
                    members_.self(),
                    clock,
                    random_,
                    platform_,
                    [this](const InstanceList& list) { OnInstances(list); }),
      router_(
          members_,
          random_,
          [this](const Member& agent) {
            return config_.current() &&
                   config_.current()->IsDrained(agent.info.id.instance);
          },
          options_.estimate ? options_.estimate : Router::EstimateFirstToken),
      caller_subscriptions_(outbox_),
      crashes_(options_.crashes,
               clock,
               log,
               metrics,
               [this](uint64_t suspect_hash) { return RankFor(suspect_hash); }),
      context_{.options = options_.dispatch,
               .clock = clock,
               .random = random_,
               .log = log,
               .metrics = metrics,
               .outbox = outbox_,
               .members = members_,
               .router = router_,
               .config = config_,
               .claimer = claimer_,
               .key_arbiter = key_arbiter_,
               .requests = request_table_,
               .caller_subscriptions = caller_subscriptions_,
               .crashes = crashes_,
               .admit = nullptr,
               .follow = nullptr,
               .conclude = nullptr,
               .has_unconfirmed_loss =
                   [this] { return ranking_.HasUnconfirmedLoss(); }},
      requests_(context_),
      caller_api_(context_, requests_),
      operator_api_(context_,
                    requests_,
                    config_distributor_,
                    platform_,
                    options_.operator_key_sha256),
      freeze_detector_(options_.members.heartbeat_timeout) {
  members_.set_no_claims(true);
  ranking_.SetSelf(members_.self().id, clock_.WallNow());
  members_.signal_up().connect(
      [this](const Member& member) { OnPeerUp(member); });
  members_.signal_lost().connect(
      [this](const PeerId& peer, Role role) { OnPeerLost(peer, role); });
  members_.signal_leaving().connect(
      [this](const PeerId& peer, Role role) { OnPeerLeaving(peer, role); });
  // An entry that is known from others but can't be connected to is treated as
  // a lost holder that may still be running. Otherwise two entries that restart
  // while partitioned from each other would each vouch as the only holder, and
  // a key sent to both would run twice.
  members_.signal_never_connected().connect([this](const PeerId& peer) {
    log_.Warn("peer_unmet", {{"peer", peer.ToString()}});
    ranking_.SetLost(peer, clock_.WallNow());
  });
  config_.signal_activated().connect([this] { OnConfigActivated(); });
}

void EntryNode::Start(const std::string& address) {
  members_.set_address(address);
  started_ = clock_.Now();
  for (const std::string& seed : options_.seeds) {
    members_.AddSeed(seed);
  }
  crashes_.Join();
  registration_.Start();
  config_distributor_.Start();
}

void EntryNode::CheckForFreeze() {
  if (!freeze_detector_.Check(clock_.Now())) {
    return;
  }
  log_.Warn("gap_noticed", {{"instance", members_.self().id.instance}});
  members_.ResetSilenceTimers();
  context_.presumed_lost_at = clock_.Now();
  // While this process was frozen, keys may have been claimed without it.
  claims_.DisclaimKeysUntilNow();
}

void EntryNode::UpdateJoined() {
  if (joined_) {
    return;
  }
  // A newly started entry has no record of other entries. As the only holder it
  // would vouch for keys that other entries have claimed, and report "not run"
  // for requests that ran. It can't vouch for keys sent before all other
  // entries include it among the holders; it gets those entries from the
  // instance list or from another entry.
  const std::vector<const Member*> entries = members_.Members(Role::kEntry);
  const bool knows_other_entries = registration_.has_list() || !entries.empty();
  joined_ = knows_other_entries && members_.HasConnectedToAllEntries();
  if (!joined_) {
    claims_.DisclaimKeysUntilNow();
  }
}

bool EntryNode::MayClaim() const {
  return joined_ || clock_.Now() - started_ > options_.join_timeout;
}

void EntryNode::Tick() {
  CheckForFreeze();
  UpdateJoined();
  members_.Tick();
  registration_.Tick();
  context_.has_predecessor = registration_.has_predecessor();
  claims_.Tick();
  ranking_.ForgetLostBefore(clock_.WallNow() - options_.claims.retention);
  if (ranking_.HasUnconfirmedLoss()) {
    context_.unconfirmed_loss_at = clock_.Now();
  }
  claimer_.Tick();
  key_arbiter_.Tick();
  config_distributor_.Tick();
  crashes_.Tick();
  requests_.Tick();
  operator_api_.Tick();
  SendCrashReports();
  AdvanceLeaving();
}

bool EntryNode::OnLinkUp(LinkId link,
                         const InstanceInfo& peer,
                         const std::string& dialed) {
  CheckForFreeze();
  const bool dialed_by_entry = dialed.empty() && peer.role == Role::kEntry &&
                               peer.region == members_.self().region;
  if (dialed_by_entry && !peer.no_claims) {
    // The peer had no record of this entry, or presumed it lost, and may have
    // claimed keys without it. If the holders that the peer queried are lost,
    // this entry would vouch for a used key. A peer that dials this entry
    // includes it among the holders from now on, so only older keys are
    // uncertain; a peer without claims makes no key uncertain.
    log_.Info("cannot_vouch_for_older_keys", {{"peer", peer.id.ToString()}});
    claims_.DisclaimKeysUntilNow();
    context_.presumed_lost_at = clock_.Now();
  }
  if (!members_.OnLinkUp(link, peer, dialed)) {
    return false;
  }
  if (peer.role == Role::kEntry) {
    for (CrashNews& news :
         ToMessages(crashes_.All(), /*complete=*/true, clock_.Now())) {
      outbox_.Send(link, std::move(news));
    }
  }
  return true;
}

void EntryNode::OnInstances(const InstanceList& list) {
  if (list.unreadable > 0) {
    metrics_.Add("instances_unreadable", list.unreadable);
    log_.Warn("instances_unreadable", {{"unreadable", list.unreadable},
                                       {"readable", list.instances.size()}});
  }
  members_.OnInstanceList(list.instances);
}

size_t EntryNode::RankFor(uint64_t key) const {
  const uint64_t own = RendezvousWeight(key, members_.self().id.instance);
  const std::vector<const Member*> entries = members_.Members(Role::kEntry);
  return static_cast<size_t>(
      std::ranges::count_if(entries, [&](const Member* entry) {
        return entry->live() &&
               RendezvousWeight(key, entry->info.id.instance) > own;
      }));
}

void EntryNode::SendCrashReports() {
  const std::vector<CrashReport> reports = crashes_.TakeNewReports();
  if (!reports.empty()) {
    for (CrashNews& news :
         ToMessages(reports, /*complete=*/false, clock_.Now())) {
      members_.SendToAll(Role::kEntry, std::move(news));
    }
  }
}

void EntryNode::OnLinkDown(LinkId link) {
  CheckForFreeze();
  members_.OnLinkDown(link);
}

void EntryNode::OnDialFailed(const std::string& address) {
  members_.OnDialFailed(address);
}

bool EntryNode::IsSameRegion(const std::string& instance) const {
  const Member* member = members_.Find(instance);
  return member != nullptr && member->info.region == members_.self().region;
}

void EntryNode::OnPeerUp(const Member& member) {
  const PeerId id = member.info.id;
  if (member.info.role == Role::kEntry) {
    if (IsSameRegion(id.instance) && !member.info.leaving) {
      ranking_.SetPresent(id, clock_.WallNow());
    }
    claimer_.OnUp(id);
    requests_.OnEntryUp(id);
  } else {
    SendPolicy(*member.outbound, id.instance);
    requests_.OnAgentUp(id);
  }
}

void EntryNode::OnPeerLost(const PeerId& peer, Role role) {
  log_.Warn("peer_lost", {{"peer", peer.ToString()},
                          {"role", role == Role::kEntry ? "entry" : "agent"}});
  if (role == Role::kAgent) {
    requests_.OnAgentLost(peer);
    return;
  }
  const Member* member = members_.Find(peer.instance);
  const bool left = member != nullptr && member->info.leaving;
  if (!left) {
    ranking_.SetLost(peer, clock_.WallNow());
    // In a partition the peer presumes this entry lost as well.
    context_.presumed_lost_at = clock_.Now();
  }
  claimer_.OnLost(peer);
  requests_.OnEntryLost(peer);
}

void EntryNode::OnPeerLeaving(const PeerId& peer, Role role) {
  log_.Info("peer_leaving", {{"peer", peer.ToString()}});
  if (role == Role::kEntry) {
    // A leaving entry keeps its claims and replies about them until they are
    // handed over; new claims go to the remaining holders.
    ranking_.SetLeft(peer.instance);
  }
}

void EntryNode::OnMessage(LinkId link, Message message) {
  CheckForFreeze();
  const Member* peer = members_.FindByLink(link);
  if (peer == nullptr) {
    // Messages on a replaced link of the peer are outdated.
    return;
  }
  members_.OnMessageReceived(link);
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    members_.OnHeartbeat(link, *heartbeat);
    const Member* member = members_.FindByLink(link);
    if (member != nullptr && member->info.role == Role::kEntry) {
      ranking_.SetReport(member->info.id, heartbeat->known_entries);
      config_distributor_.OnPeerVersion(link, heartbeat->config_version);
    }
  } else if (const auto* claim = std::get_if<ClaimRequest>(&message)) {
    OnClaimRequest(link, *claim);
  } else if (const auto* reply = std::get_if<ClaimReply>(&message)) {
    if (reply->call == 0) {
      pending_hand_overs_ -= pending_hand_overs_ > 0 ? 1 : 0;
    } else {
      claimer_.OnReply(link, *reply);
    }
  } else if (const auto* reports = std::get_if<CrashNews>(&message)) {
    // Each entry sends its reports to all other entries of the region itself.
    crashes_.OnReports(*reports, {});
  } else if (const auto* head = std::get_if<ConfigHeadNotice>(&message)) {
    config_distributor_.OnHead(link, *head);
  } else if (const auto* pull = std::get_if<ConfigPull>(&message)) {
    config_distributor_.OnPull(link, *pull);
  } else if (const auto* shards = std::get_if<ConfigShards>(&message)) {
    config_distributor_.OnShards(*shards);
  } else {
    requests_.OnMessage(link, message);
  }
}

void EntryNode::OnClaimRequest(LinkId link, const ClaimRequest& request) {
  const RequestKey key = FromWire(request.key);
  const PeerId replaces{.instance = request.replaces_instance,
                        .incarnation = request.replaces_incarnation};
  const ClaimTable::Answer answer =
      request.lookup ? claims_.Lookup(key)
                     : claims_.Request(key, ReadClaim(request), replaces);
  ClaimReply reply;
  reply.key = request.key;
  reply.call = request.call;
  reply.granted = answer.granted;
  reply.vouched = answer.vouched;
  reply.coverage = static_cast<uint8_t>(answer.coverage);
  if (!answer.granted) {
    WriteClaim(answer.claim, reply);
  }
  outbox_.Send(link, std::move(reply));
  // Passes on only claims that were not held here, so that each entry passes on
  // each claim once. Entries that leave together hand each other the same
  // claims and pass each one on to two more; without this check the messages
  // double with every hop until memory is exhausted.
  if (context_.leaving && answer.granted && answer.changed) {
    HandOverClaim(key, answer.claim);
  }
}

void EntryNode::OnConfigActivated() {
  for (const Member* agent : members_.Members(Role::kAgent)) {
    if (agent->outbound.has_value()) {
      SendPolicy(*agent->outbound, agent->info.id.instance);
    }
  }
  requests_.OnConfigActivated();
}

void EntryNode::SendPolicy(LinkId link, const std::string& instance) {
  const auto& config = config_.current();
  if (!config) {
    return;
  }
  AgentPolicy policy;
  policy.version = config->version();
  policy.preset = config->head().preset;
  policy.drained = config->IsDrained(instance);
  for (const Tier& tier : config->base().tiers) {
    if (config->IsClosed(tier.name)) {
      policy.closed_tiers.push_back(tier.rank);
    }
    const TierLimits limits = config->LimitsOf(tier.name);
    if (limits.running > 0) {
      policy.limited_tiers.push_back(tier.rank);
      policy.limits.push_back(limits.running);
    }
  }
  outbox_.Send(link, std::move(policy));
}

void EntryNode::OnPlatformReply(PlatformCallId call,
                                const PlatformReply& reply) {
  platform_.OnReply(call, reply);
}

void EntryNode::OnCallerRequest(CallerRequest request) {
  CheckForFreeze();
  const CallerId caller = request.caller;
  const auto reply_plain = [&](int status, std::string body) {
    outbox_.Push(ReplyComplete{.caller = caller,
                               .status = status,
                               .headers = {{"Content-Type", "text/plain"}},
                               .body = std::move(body)});
  };
  if (request.path == "/healthz") {
    reply_plain(200, "alive\n");
  } else if (request.path == "/readyz") {
    reply_plain(IsReady() ? 200 : 503, IsReady() ? "ready\n" : "not ready\n");
  } else if (request.path == "/metrics") {
    metrics_.Set("claims", static_cast<double>(claims_.size()));
    metrics_.Set("config_version", static_cast<double>(config_.version()));
    metrics_.Set("requests_waiting",
                 static_cast<double>(requests_.dispatch().waiting()));
    reply_plain(200, metrics_.ToPrometheus());
  } else if (request.path.starts_with(kAdminPath)) {
    operator_api_.Handle(request);
  } else {
    caller_api_.Handle(std::move(request));
  }
}

CallerHeadDecision EntryNode::CheckHead(const CallerRequest& head) {
  if (!head.path.starts_with(kAdminPath)) {
    return caller_api_.CheckHead(head);
  }
  if (!operator_api_.IsAllowed(head)) {
    return {.refusal = ResultCode::kOperatorKey};
  }
  return {};
}

void EntryNode::RefuseUnread(const CallerRequest& head, ResultCode code) {
  caller_api_.RefuseUnread(head, code);
}

void EntryNode::OnCallerDrained(CallerId caller) {
  caller_subscriptions_.OnDrained(caller);
}

void EntryNode::OnCallerGone(CallerId caller) {
  requests_.OnCallerGone(caller);
}

bool EntryNode::IsReady() const {
  const bool drained = config_.current() && config_.current()->IsDrained(
                                                members_.self().id.instance);
  return config_.current() && !context_.leaving && !drained && joined_ &&
         clock_.WallNow() > claims_.vouches_from();
}

void EntryNode::Leave() {
  if (std::exchange(context_.leaving, true)) {
    return;
  }
  context_.leaving_since = clock_.Now();
  log_.Info("leaving", {{"instance", members_.self().id.instance},
                        {"active", requests_.active()}});
  members_.set_leaving();
  registration_.Leave();
  HandOverClaims();
}

void EntryNode::HandOverClaims() {
  // A leaving holder sends its claims to the holders that remain without it,
  // and only then announces that it leaves, so that the holder asked in its
  // place already has them. Otherwise two holders of a key that leave in turn,
  // as in a rolling restart, would lose the claim, and a retry would run the
  // key again.
  hand_over_deadline_ = clock_.Now() + options_.hand_over_timeout;
  ranking_.SetLeft(members_.self().id.instance);
  claims_.ForEach([this](const RequestKey& key, const Claim& claim) {
    HandOverClaim(key, claim);
  });
  log_.Info("claims_handed_over",
            {{"claims", claims_.size()}, {"messages", pending_hand_overs_}});
}

void EntryNode::HandOverClaim(const RequestKey& key, const Claim& claim) {
  for (const std::string& holder : ranking_.Holders(key)) {
    const Member* member = members_.Find(holder);
    if (member == nullptr || !member->outbound.has_value()) {
      continue;
    }
    ClaimRequest request;
    request.key = ToWire(key);
    WriteClaim(claim, request);
    outbox_.Send(*member->outbound, std::move(request));
    ++pending_hand_overs_;
  }
}

void EntryNode::AdvanceLeaving() {
  if (context_.leaving && !has_announced_leaving_ && pending_hand_overs_ == 0) {
    has_announced_leaving_ = true;
    members_.AnnounceNow();
  }
}

bool EntryNode::CanExit() const {
  // If a hand-over is unconfirmed, the other entries must treat this one as
  // lost and not as left, so that none of them vouches without having received
  // the claims.
  const bool settled = pending_hand_overs_ == 0
                           ? has_announced_leaving_
                           : clock_.Now() >= hand_over_deadline_;
  return context_.leaving && settled && requests_.IsIdle() &&
         operator_api_.IsIdle();
}

}  // namespace lavenderkeel
