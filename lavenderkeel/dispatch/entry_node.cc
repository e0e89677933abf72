#include "lavenderkeel/dispatch/entry_node.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

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
                 heartbeat.leaving = announced_;
                 heartbeat.known_entries = ranking_.KnownEntries();
                 return heartbeat;
               }),
      ranking_({.clock_skew = options_.claims.clock_skew,
                .settle_time = 2 * options_.members.heartbeat_timeout}),
      claims_(
          options_.claims,
          clock,
          [this](const RequestKey& key) {
            // Until it has joined it says so only from tick to tick; a
            // process that stands still between two of them must not vouch
            // for what was sent meanwhile.
            return joined_ &&
                   ranking_.MetEveryClaim(members_.self().id.instance, key);
          },
          [this](const RequestKey& key) { return ranking_.Coverage(key); }),
      claimer_(claims_,
               ranking_,
               members_,
               outbox_,
               {.may_claim = [this] { return MayClaim(); },
                .on_claim = [this] { members_.set_no_claims(false); }}),
      key_register_(options_.key_register,
                    members_.self().id,
                    clock,
                    random_,
                    log,
                    platform_),
      config_(log),
      spread_(options_.spread,
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
                    [this](const std::vector<InstanceInfo>& instances) {
                      members_.OnInstanceList(instances);
                    }),
      router_(
          members_,
          random_,
          [this](const Member& agent) {
            return config_.current() &&
                   config_.current()->IsDrained(agent.info.id.instance);
          },
          options_.estimate ? options_.estimate : Router::EstimateFirstToken),
      feed_(outbox_),
      crashes_(options_.crashes,
               clock,
               log,
               metrics,
               [this](RequestFingerprint request) { return RankFor(request); }),
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
               .key_register = key_register_,
               .requests = table_,
               .feed = feed_,
               .crashes = crashes_,
               .admit = nullptr,
               .follow = nullptr,
               .conclude = nullptr,
               .any_entry_silent = [this] { return ranking_.AnySilent(); }},
      requests_(context_),
      callers_(context_, requests_),
      operators_(context_,
                 requests_,
                 spread_,
                 platform_,
                 options_.operator_key_sha256),
      gap_(options_.members.heartbeat_timeout) {
  members_.set_no_claims(true);
  ranking_.SetSelf(members_.self().id, clock_.WallNow());
  members_.signal_up().connect(
      [this](const Member& member) { OnPeerUp(member); });
  members_.signal_lost().connect(
      [this](const PeerId& peer, Role role) { OnPeerLost(peer, role); });
  members_.signal_leaving().connect(
      [this](const PeerId& peer, Role role) { OnPeerLeaving(peer, role); });
  // Failure: two entries are cut from each other and restart, so that neither
  // ever met the other. Symptom: each takes itself for the only holder and
  // vouches, and a key that is sent to both runs twice. Whoever is told of and
  // can't be met counts as a holder that is lost and may live.
  members_.signal_unmet().connect([this](const PeerId& peer) {
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
  spread_.Start();
}

void EntryNode::CheckGap() {
  if (!gap_.Check(clock_.Now())) {
    return;
  }
  log_.Warn("gap_noticed", {{"instance", members_.self().id.instance}});
  members_.ForgiveSilence();
  context_.maybe_lost_at = clock_.Now();
  // Others went on without us and may have claimed keys elsewhere.
  claims_.CannotVouchUntilNow();
}

void EntryNode::Join() {
  if (joined_) {
    return;
  }
  // Failure: an entry that has just started knows nobody, takes itself for the
  // only holder and vouches for keys that the others claimed. Symptom: "not
  // run" for what ran. It can't vouch for keys sent before all others count it
  // in; whom there is it learns from the instance list or from another entry.
  const std::vector<const Member*> entries = members_.Members(Role::kEntry);
  const bool knows_others = registration_.has_list() || !entries.empty();
  joined_ = knows_others && members_.MetWithAllEntries();
  if (!joined_) {
    claims_.CannotVouchUntilNow();
  }
}

bool EntryNode::MayClaim() const {
  return joined_ || clock_.Now() - started_ > options_.join_patience;
}

void EntryNode::Tick() {
  CheckGap();
  Join();
  members_.Tick();
  registration_.Tick();
  claims_.Tick();
  ranking_.ForgetLostBefore(clock_.WallNow() - options_.claims.retention);
  if (ranking_.AnySilent()) {
    context_.entry_silent_at = clock_.Now();
  }
  claimer_.Tick();
  key_register_.Tick();
  spread_.Tick();
  crashes_.Tick();
  requests_.Tick();
  operators_.Tick();
  SendCrashNews();
  AdvanceLeaving();
}

bool EntryNode::OnLinkUp(LinkId link,
                         const InstanceInfo& peer,
                         const std::string& dialed) {
  CheckGap();
  const bool other_entry = dialed.empty() && peer.role == Role::kEntry &&
                           peer.region == members_.self().region;
  if (other_entry && !peer.no_claims) {
    // Failure: that entry did not know this one until now, or held it for lost,
    // and claimed keys without it; then the holders it did ask die. Symptom:
    // this one vouches for a key that was used. An entry that dials us counts
    // us among the holders from now on, so only older keys are doubtful. One
    // that has claimed none yet leaves nothing in doubt.
    log_.Info("cannot_vouch_for_older_keys", {{"peer", peer.id.ToString()}});
    claims_.CannotVouchUntilNow();
    context_.maybe_lost_at = clock_.Now();
  }
  if (!members_.OnLinkUp(link, peer, dialed)) {
    return false;
  }
  if (peer.role == Role::kEntry) {
    outbox_.Send(link, ToWire(crashes_.All(), /*complete=*/true, clock_.Now()));
  }
  return true;
}

size_t EntryNode::RankFor(RequestFingerprint request) const {
  const uint64_t own = RendezvousWeight(request, members_.self().id.instance);
  const std::vector<const Member*> entries = members_.Members(Role::kEntry);
  return static_cast<size_t>(
      std::ranges::count_if(entries, [&](const Member* entry) {
        return entry->live() &&
               RendezvousWeight(request, entry->info.id.instance) > own;
      }));
}

void EntryNode::SendCrashNews() {
  const std::vector<CrashReport> reports = crashes_.TakeNews();
  if (!reports.empty()) {
    members_.SendToAll(Role::kEntry,
                       ToWire(reports, /*complete=*/false, clock_.Now()));
  }
}

void EntryNode::OnLinkDown(LinkId link) {
  CheckGap();
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
    // A cut has two sides.
    context_.maybe_lost_at = clock_.Now();
  }
  claimer_.OnLost(peer);
  requests_.OnEntryLost(peer);
}

void EntryNode::OnPeerLeaving(const PeerId& peer, Role role) {
  log_.Info("peer_leaving", {{"peer", peer.ToString()}});
  if (role == Role::kEntry) {
    // It holds its claims until it has handed them over, and answers until
    // then; new claims go to the holders that remain.
    ranking_.SetLeft(peer.instance);
  }
}

void EntryNode::OnMessage(LinkId link, Message message) {
  CheckGap();
  const Member* peer = members_.FindByLink(link);
  if (peer == nullptr) {
    // A replaced link of the peer: what still comes on it is of the past.
    return;
  }
  members_.OnHeard(link);
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    members_.OnHeartbeat(link, *heartbeat);
    const Member* member = members_.FindByLink(link);
    if (member != nullptr && member->info.role == Role::kEntry) {
      ranking_.SetReport(member->info.id, heartbeat->known_entries);
      spread_.OnPeerVersion(link, heartbeat->config_version);
    }
  } else if (const auto* claim = std::get_if<ClaimRequest>(&message)) {
    OnClaimRequest(link, *claim);
  } else if (const auto* reply = std::get_if<ClaimReply>(&message)) {
    if (reply->call == 0) {
      hand_over_pending_ -= hand_over_pending_ > 0 ? 1 : 0;
    } else {
      claimer_.OnReply(link, *reply);
    }
  } else if (const auto* news = std::get_if<CrashNews>(&message)) {
    // Each entry tells all others of its region itself.
    crashes_.OnNews(*news, /*pass_on=*/false);
  } else if (const auto* head = std::get_if<ConfigHeadNotice>(&message)) {
    spread_.OnHead(link, *head);
  } else if (const auto* pull = std::get_if<ConfigPull>(&message)) {
    spread_.OnPull(link, *pull);
  } else if (const auto* shards = std::get_if<ConfigShards>(&message)) {
    spread_.OnShards(*shards);
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
                     : claims_.Request(key, TakeClaim(request), replaces);
  ClaimReply reply;
  reply.key = request.key;
  reply.call = request.call;
  reply.granted = answer.granted;
  reply.vouched = answer.vouched;
  reply.coverage = static_cast<uint8_t>(answer.coverage);
  if (!answer.granted) {
    PutClaim(answer.claim, reply);
  }
  outbox_.Send(link, std::move(reply));
  // Failure: entries that leave together hand each other the same claims, and
  // each passes them on to two more. Symptom: messages double with every hop
  // until memory is used up. Only what was not held here is passed on, so each
  // entry passes on each claim once.
  if (context_.leaving && answer.granted && answer.changed) {
    HandOver(key, answer.claim);
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
  CheckGap();
  const CallerId caller = request.caller;
  const auto plain = [&](int status, std::string body) {
    outbox_.Push(ReplyWhole{.caller = caller,
                            .status = status,
                            .headers = {{"Content-Type", "text/plain"}},
                            .body = std::move(body)});
  };
  if (request.path == "/healthz") {
    plain(200, "alive\n");
  } else if (request.path == "/readyz") {
    plain(Ready() ? 200 : 503, Ready() ? "ready\n" : "not ready\n");
  } else if (request.path == "/metrics") {
    metrics_.Set("claims", static_cast<double>(claims_.size()));
    metrics_.Set("config_version", static_cast<double>(config_.version()));
    metrics_.Set("requests_waiting",
                 static_cast<double>(requests_.dispatch().waiting()));
    plain(200, metrics_.ToPrometheus());
  } else if (request.path.starts_with("/admin/v1/")) {
    operators_.Handle(request);
  } else {
    callers_.Handle(std::move(request));
  }
}

void EntryNode::OnCallerDrained(CallerId caller) {
  feed_.OnDrained(caller);
}

void EntryNode::OnCallerGone(CallerId caller) {
  requests_.OnCallerGone(caller);
}

bool EntryNode::Ready() const {
  const bool drained = config_.current() && config_.current()->IsDrained(
                                                members_.self().id.instance);
  return config_.current() && !context_.leaving && !drained && joined_ &&
         clock_.WallNow() > claims_.vouches_from();
}

void EntryNode::Leave() {
  if (std::exchange(context_.leaving, true)) {
    return;
  }
  context_.left_at = clock_.Now();
  log_.Info("leaving", {{"instance", members_.self().id.instance},
                        {"active", requests_.active()}});
  members_.set_leaving();
  registration_.Leave();
  HandOverAll();
}

void EntryNode::HandOverAll() {
  // Failure: two holders of a key leave in turn, as in any rolling restart.
  // Symptom: the claim is gone and a retry runs again. A leaving holder gives
  // its claims to those that hold the keys without it, and only then says that
  // it leaves: whoever is asked in its place has them already.
  hand_over_deadline_ = clock_.Now() + options_.hand_over_timeout;
  ranking_.SetLeft(members_.self().id.instance);
  claims_.ForEach([this](const RequestKey& key, const Claim& claim) {
    HandOver(key, claim);
  });
  log_.Info("claims_handed_over",
            {{"claims", claims_.size()}, {"messages", hand_over_pending_}});
}

void EntryNode::HandOver(const RequestKey& key, const Claim& claim) {
  for (const std::string& holder : ranking_.Holders(key)) {
    const Member* member = members_.Find(holder);
    if (member == nullptr || !member->outbound.has_value()) {
      continue;
    }
    ClaimRequest request;
    request.key = ToWire(key);
    PutClaim(claim, request);
    outbox_.Send(*member->outbound, std::move(request));
    ++hand_over_pending_;
  }
}

void EntryNode::AdvanceLeaving() {
  if (context_.leaving && !announced_ && hand_over_pending_ == 0) {
    announced_ = true;
    members_.AnnounceNow();
  }
}

bool EntryNode::CanExit() const {
  // Without every confirmation the others must take this entry for lost, not
  // left: then nobody vouches on the strength of claims that never arrived.
  const bool settled = hand_over_pending_ == 0
                           ? announced_
                           : clock_.Now() >= hand_over_deadline_;
  return context_.leaving && settled && requests_.Idle() && operators_.Idle();
}

}  // namespace lavenderkeel
