#include "lavenderkeel/dispatch/dispatch_controller.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "lavenderkeel/crash/suspect_runs.h"

namespace lavenderkeel {

using State = EntryRequest::State;

namespace {

/// Returns what the result of a run at an agent, which alone sends requests to
/// its server, shows.
RunEvidence EvidenceOf(ResultCode result) {
  switch (result) {
    case ResultCode::kAnswered:
      return RunEvidence::kAnswered;
    case ResultCode::kServerUnreachable:
      return RunEvidence::kNotSent;
    case ResultCode::kServerPushback:
      return RunEvidence::kRejected;
    case ResultCode::kPreempted:
      return RunEvidence::kGivenUp;
    default:
      return Describe(result).outcome == Outcome::kNotRun
                 ? RunEvidence::kNotStarted
                 : RunEvidence::kFailedAtAgent;
  }
}

std::string DescribeEvidence(const CrashAssessment& assessment) {
  return SuspectName(assessment.suspect) + " is " +
         CrashSuspicionName(assessment.suspicion) + ", lost with " +
         std::to_string(assessment.lost) + " servers, " +
         std::to_string(assessment.in_turn) + " of them in turn";
}

}  // namespace

DispatchController::DispatchController(EntryContext& context)
    : context_(context),
      placer_(context),
      retries_(context.options.retries),
      started_at_(context.clock.Now()) {}

void DispatchController::Admit(EntryRequest& request) {
  context_.crashes.OnRequestArrived(request.traits);
  if (const std::optional<ResultCode> refusal = CheckAdmission(request)) {
    context_.conclude(request, *refusal);
    return;
  }
  if (!EnsureQueueCapacity(request)) {
    context_.conclude(request, ResultCode::kOverloaded);
    return;
  }
  if (const auto refusal = CountAgainstTeamLimits(request)) {
    context_.conclude(request, refusal->code);
    return;
  }
  retries_.OnRequest(context_.clock.Now());
  CountWaiting(request);
  Enqueue(request);
}

void DispatchController::CountWaiting(const EntryRequest& request) {
  const size_t tier = request.properties.tier;
  waiting_by_tier_.resize(std::max(waiting_by_tier_.size(), tier + 1));
  ++waiting_by_tier_[tier];
  ++waiting_;
}

void DispatchController::UncountWaiting(const EntryRequest& request) {
  --waiting_by_tier_[request.properties.tier];
  --waiting_;
}

std::optional<ResultCode> DispatchController::CheckAdmission(
    const EntryRequest& request) {
  const auto& config = context_.config.current();
  // Requests that arrived before the shutdown began are still completed.
  if (context_.leaving && request.arrived >= context_.leaving_since) {
    return ResultCode::kLeaving;
  }
  if (config->IsClosed(request.properties.tier_name)) {
    return ResultCode::kTierClosed;
  }
  const TimePoint now = context_.clock.Now();
  if (request.deadline.has_value() && *request.deadline <= now) {
    return ResultCode::kDeadlinePassed;
  }
  const std::vector<Candidate> best =
      context_.router.Choose(request.route(), 1);
  if (best.empty()) {
    // A newly started entry connects to its agents shortly; until then requests
    // are queued as if waiting for a slot.
    return context_.has_seen_agent ? std::optional(ResultCode::kNoServer)
                                   : std::nullopt;
  }
  context_.has_seen_agent = true;
  if (DoAllServersRest(request)) {
    return ResultCode::kServerPushback;
  }
  // Refuses a request that would miss its deadline before any prefill is spent
  // on it. Deadline-bound work is admitted if it can preempt a lower tier.
  const bool misses_deadline =
      request.deadline.has_value() &&
      now + best.front().first_token > *request.deadline;
  const bool may_preempt = request.properties.deadline_bound &&
                           context_.router.IsLowerTierRunning(request.route());
  if (misses_deadline && !may_preempt) {
    return ResultCode::kDeadlineUnreachable;
  }
  return std::nullopt;
}

bool DispatchController::EnsureQueueCapacity(const EntryRequest& request) {
  const uint32_t tier_limit =
      context_.config.current()->LimitsOf(request.properties.tier_name).waiting;
  if (tier_limit > 0 && !request.properties.deadline_bound &&
      waiting(request.properties.tier) >= tier_limit) {
    return false;
  }
  if (waiting_ < context_.options.max_waiting) {
    return true;
  }
  // Evicts a request of the lowest tier. Otherwise a queue full of lower-tier
  // requests would cause the refusal of deadline-bound work.
  const auto lower = [&request](const EntryRequest& other) {
    return other.is_waiting() &&
           other.properties.tier > request.properties.tier;
  };
  const std::vector<RequestKey> keys = context_.requests.Select(lower);
  if (keys.empty()) {
    return false;
  }
  const RequestKey lowest =
      *std::ranges::max_element(keys, {}, [this](const RequestKey& key) {
        return context_.requests.Find(key)->properties.tier;
      });
  context_.conclude(*context_.requests.Find(lowest), ResultCode::kOverloaded);
  return true;
}

std::optional<TeamUsage::Refusal> DispatchController::CountAgainstTeamLimits(
    EntryRequest& request) {
  if (request.counted_admitted) {
    return std::nullopt;
  }
  const Team* team = context_.config.current()->FindTeamByKeyHash(
      request.properties.team_key_sha256);
  if (team == nullptr) {
    return TeamUsage::Refusal{.code = ResultCode::kUnknownTeam,
                              .retry_after = Duration::zero()};
  }
  const auto refusal =
      usage_.Admit(*team, request.payload.prompt_tokens, context_.clock.Now());
  request.counted_admitted = !refusal.has_value();
  return refusal;
}

CrashDecision DispatchController::DecideOnCrashes(
    const EntryRequest& request) const {
  return context_.crashes.Decide(request.traits, [&](const Suspect& suspect) {
    const auto runs = [&](const EntryRequest& other) {
      return other.key != request.key &&
             (other.is_at_agent() || other.state == State::kWaiting) &&
             HasSuspect(other.traits, suspect);
    };
    return !context_.requests.Select(runs).empty();
  });
}

bool DispatchController::MayRunAt(const EntryRequest& request,
                                  const PeerId& agent) const {
  const CrashSuspicion suspicion = context_.crashes.SuspicionOf(request.traits);
  if (suspicion == CrashSuspicion::kClear) {
    return true;
  }
  constexpr uint64_t kAgent = 0;
  SuspectRuns suspects;
  const auto runs_there = [&](const EntryRequest& other) {
    return other.key != request.key && other.is_at_agent() &&
           other.agent == agent;
  };
  for (const RequestKey& key : context_.requests.Select(runs_there)) {
    const RequestTraits& other = context_.requests.Find(key)->traits;
    suspects.Add(kAgent, context_.crashes.SuspicionOf(other));
  }
  return suspects.Admits(kAgent, suspicion);
}

bool DispatchController::HoldBackIfSuspect(EntryRequest& request) {
  const CrashDecision decision = DecideOnCrashes(request);
  if (decision.kind == CrashDecision::Kind::kRun) {
    request.is_suspect = false;
    return false;
  }
  request.state = State::kHeldBack;
  const CrashAssessment& assessment = decision.assessment;
  if (decision.kind == CrashDecision::Kind::kRefuse) {
    context_.Note(request, "refused: " + DescribeEvidence(assessment));
    context_.log.Info(
        "crash_refused",
        {{"key", request.key.ToString()},
         {"fingerprint", request.traits.fingerprint},
         {"suspect", SuspectName(assessment.suspect)},
         {"lost", assessment.lost},
         {"in_turn", assessment.in_turn},
         {"attempts", request.attempts},
         {"retry_after_ms", ToMilliseconds(decision.retry_after)}});
    context_.conclude(request, request.runs.may_have_run()
                                   ? ResultCode::kServerCrashed
                                   : ResultCode::kCrashesServers);
    return true;
  }
  if (!std::exchange(request.is_suspect, true)) {
    context_.Note(request,
                  assessment.lost == 0
                      ? "held back until the evidence of crashes is known"
                      : "held back: " + DescribeEvidence(assessment));
  }
  SetWaitingTimer(request);
  return true;
}

void DispatchController::Enqueue(EntryRequest& request) {
  request.was_queued = true;
  if (HoldBackIfSuspect(request)) {
    return;
  }
  if (DoAllServersRest(request)) {
    request.state = State::kHeldBack;
    context_.conclude(request, ResultCode::kServerPushback);
    return;
  }
  const Team* team = context_.config.current()->FindTeamByKeyHash(
      request.properties.team_key_sha256);
  if (!request.counted_running && team != nullptr && !usage_.TryRun(*team)) {
    request.state = State::kHeldBack;
    context_.Note(request,
                  "held back: the team is at its limit of running requests");
    SetWaitingTimer(request);
    return;
  }
  request.counted_running = true;
  request.state = State::kWaiting;
  placer_.Place(request, context_.options.candidates);
  SetWaitingTimer(request);
}

bool DispatchController::DoAllServersRest(const EntryRequest& request) const {
  const Duration rest = context_.router.ShortestRest(request.route());
  const Duration wait = request.deadline.has_value()
                            ? std::min(context_.options.server_lost_timeout,
                                       *request.deadline - context_.clock.Now())
                            : context_.options.server_lost_timeout;
  return rest > Duration::zero() && rest > wait;
}

void DispatchController::SetWaitingTimer(EntryRequest& request) {
  TimePoint when = context_.clock.Now() + (request.is_suspect
                                               ? context_.options.suspect_period
                                               : context_.options.widen_after);
  if (request.deadline.has_value()) {
    when = std::min(when, *request.deadline);
  }
  context_.requests.SetTimer(request, when);
}

void DispatchController::OnTimer(EntryRequest& request) {
  const TimePoint now = context_.clock.Now();
  if (request.is_waiting()) {
    if (request.deadline.has_value() && now >= *request.deadline) {
      context_.conclude(request, ResultCode::kDeadlinePassed);
      return;
    }
    if (request.is_suspect) {
      Enqueue(request);
    } else if (request.state == State::kWaiting) {
      AddReservations(request);
    }
    if (request.is_waiting() && !request.is_suspect &&
        DoAllServersRest(request)) {
      context_.conclude(request, ResultCode::kServerPushback);
      return;
    }
    if (HasServerWaitExpired(request)) {
      context_.conclude(request, ResultCode::kNoServer);
      return;
    }
    if (request.is_waiting()) {
      SetWaitingTimer(request);
    }
    return;
  }
  const bool timeout_expired =
      request.unreachable_since.has_value() &&
      now - *request.unreachable_since >= context_.options.server_lost_timeout;
  if ((request.is_at_agent() || request.state == State::kFollowing) &&
      timeout_expired) {
    context_.conclude(request, ResultCode::kServerLost);
  }
}

bool DispatchController::HasServerWaitExpired(EntryRequest& request) {
  if (!request.is_waiting() ||
      context_.router.HasUsableAgent(request.route())) {
    request.unreachable_since.reset();
    return false;
  }
  const TimePoint now = context_.clock.Now();
  if (!request.unreachable_since.has_value()) {
    request.unreachable_since = now;
  }
  return now - *request.unreachable_since >=
         context_.options.server_lost_timeout;
}

void DispatchController::AddReservations(EntryRequest& request) {
  const size_t before = request.reserved_agents.size();
  placer_.Place(request, 1);
  const bool widened = request.reserved_agents.size() > before;
  if (widened || request.properties.repeatable) {
    return;
  }
  // All agents named in the claim have a reservation. Further agents must be
  // added to the claim first, since an entry that takes the key over queries
  // only the agents named there.
  const std::vector<Candidate> all =
      context_.router.Choose(request.route(), SIZE_MAX);
  const bool has_unclaimed_agent =
      std::ranges::any_of(all, [&](const Candidate& candidate) {
        return std::ranges::find(request.eligible, candidate.agent) ==
               request.eligible.end();
      });
  if (has_unclaimed_agent) {
    placer_.Withdraw(request, PeerId());
    UncountWaiting(request);
    reclaim(request);
  }
}

void DispatchController::OnSlotOffer(LinkId link, const SlotOffer& offer) {
  EntryRequest* request = context_.requests.Find(FromWire(offer.key));
  const Member* agent = context_.members.FindByLink(link);
  const bool is_wanted = request != nullptr && agent != nullptr &&
                         request->state == State::kWaiting &&
                         request->reserved_agents.contains(agent->info.id);
  if (!is_wanted) {
    lavenderkeel::Withdraw withdraw;
    withdraw.key = offer.key;
    context_.outbox.Send(link, withdraw);
    return;
  }
  // Crash reports received since the request was queued may hold it back.
  if (DecideOnCrashes(*request).kind != CrashDecision::Kind::kRun) {
    placer_.Withdraw(*request, PeerId());
    Enqueue(*request);
    return;
  }
  if (!MayRunAt(*request, agent->info.id)) {
    context_.log.Info("offer_declined", {{"key", request->key.ToString()},
                                         {"agent", agent->info.id.instance},
                                         {"reason", "suspects_run_apart"}});
    placer_.Withdraw(*request, PeerId());
    request->state = State::kHeldBack;
    request->is_suspect = true;
    SetWaitingTimer(*request);
    return;
  }
  // Leaves kWaiting before the Go is sent, so that a simultaneous offer of
  // another agent is declined. A second Go would run the request twice.
  request->state = State::kSent;
  request->agent = agent->info.id;
  request->sent_at = context_.clock.Now();
  request->is_crash_trial = context_.crashes.OnSent(request->traits);
  ++request->attempts;
  request->runs.OnSent();
  UncountWaiting(*request);
  context_.requests.ClearTimer(*request);
  placer_.Withdraw(*request, agent->info.id);
  const std::vector<SubscriptionId> readers =
      context_.caller_subscriptions.SubscriptionsOf(request->key);
  Go go;
  go.key = offer.key;
  go.service = request->payload.service;
  go.method = request->payload.method;
  go.path = request->payload.path;
  go.head = request->payload.head;
  go.body.assign(request->payload.body.begin(), request->payload.body.end());
  if (!readers.empty()) {
    go.subscription = readers.front();
    context_.caller_subscriptions.SetSource(readers.front(), link);
  }
  context_.outbox.Send(link, std::move(go));
  context_.Note(*request, "sent to " + agent->info.id.ToString());
  context_.metrics.Observe(
      "wait_seconds{tier=\"" + request->properties.tier_name + "\"}",
      ToSeconds(context_.clock.Now() - request->arrived));
  context_.log.Info(
      "dispatch",
      {{"key", request->key.ToString()},
       {"tier", request->properties.tier_name},
       {"team", request->properties.team},
       {"chosen", agent->info.id.instance},
       {"reason", "first_slot"},
       {"waited_ms", ToMilliseconds(context_.clock.Now() - request->arrived)}});
}

void DispatchController::OnStarted(EntryRequest& request, const PeerId& agent) {
  if (request.state != State::kSent || request.agent != agent) {
    return;
  }
  request.state = State::kRunning;
  const std::optional<LinkId> link = context_.members.LinkTo(agent);
  if (link.has_value()) {
    AttachSubscriptions(request, *link);
  }
  context_.NotifyWatchers(request);
}

void DispatchController::AttachSubscriptions(EntryRequest& request,
                                             LinkId link) {
  for (const SubscriptionId id :
       context_.caller_subscriptions.SubscriptionsOf(request.key)) {
    const CallerSubscriptions::Subscription* subscription =
        context_.caller_subscriptions.Find(id);
    if (subscription->link == link) {
      continue;
    }
    context_.caller_subscriptions.SetSource(id, link);
    Attach attach;
    attach.key = ToWire(request.key);
    attach.subscription = id;
    attach.offset = subscription->offset;
    context_.outbox.Send(link, attach);
  }
}

void DispatchController::Follow(EntryRequest& request) {
  const std::optional<LinkId> link = context_.members.LinkTo(request.agent);
  if (link.has_value()) {
    AttachSubscriptions(request, *link);
    return;
  }
  const Member* member = context_.members.Find(request.agent.instance);
  if (member != nullptr &&
      member->info.id.incarnation > request.agent.incarnation) {
    // A restarted agent has lost the answers of its predecessor.
    context_.conclude(request, ResultCode::kAnswerGone);
    return;
  }
  context_.members.AddWantedAgent(request.agent.instance);
  request.unreachable_since = context_.clock.Now();
  context_.requests.SetTimer(
      request, context_.clock.Now() + context_.options.server_lost_timeout);
}

void DispatchController::OnRejected(EntryRequest& request,
                                    const PeerId& agent,
                                    ResultCode code) {
  if (request.state == State::kWaiting) {
    request.reserved_agents.erase(agent);
    if (code == ResultCode::kTierClosed ||
        (code == ResultCode::kServerPushback && DoAllServersRest(request))) {
      context_.conclude(request, code);
    } else if (request.reserved_agents.empty()) {
      placer_.Place(request, context_.options.candidates);
    }
    return;
  }
  if (request.state != State::kSent || request.agent != agent) {
    return;
  }
  EndAttempt(request, RunEvidence::kNotStarted);
  context_.Note(request, "Go refused by " + agent.ToString() + ": " +
                             std::string(Describe(code).name));
  context_.log.Info("go_refused", {{"key", request.key.ToString()},
                                   {"agent", agent.ToString()},
                                   {"result", Describe(code).name},
                                   {"attempts", request.attempts}});
  // If the key was also sent as non-repeatable work, another entry may have
  // sealed it at the agents. Unlimited retries would then loop between offer
  // and refusal at network speed.
  const bool may_retry = code != ResultCode::kSealed ||
                         (request.properties.repeatable &&
                          request.attempts < context_.options.max_attempts);
  if (may_retry) {
    Requeue(request);
    return;
  }
  if (request.properties.repeatable) {
    context_.conclude(request, ResultCode::kOwnerSilent);
    return;
  }
  // Another entry presumed this one lost and took the key over. The holders
  // return the new owner; after a second refusal the owner is unknown.
  ++request.seal_refusals;
  context_.caller_subscriptions.Restart(request.key);
  if (request.seal_refusals > 1) {
    context_.conclude(request, ResultCode::kOwnerSilent);
  } else {
    reclaim(request);
  }
}

void DispatchController::OnGoNotReceived(EntryRequest& request) {
  // The agent refuses a late copy only if the key was sealed there.
  EndAttempt(request, request.properties.repeatable
                          ? RunEvidence::kFailedAtAgent
                          : RunEvidence::kNotStarted);
  context_.Note(request, "the agent did not receive the Go");
  Requeue(request);
}

void DispatchController::Requeue(EntryRequest& request) {
  EndCrashTrial(request);
  context_.caller_subscriptions.Restart(request.key);
  request.agent = {};
  request.unreachable_since.reset();
  CountWaiting(request);
  Enqueue(request);
}

ExtraShare DispatchController::extra_retries() const {
  return {.retries = context_.options.extra_retries,
          .since = context_.has_predecessor ? std::optional(started_at_)
                                            : std::nullopt};
}

RetryRefusal DispatchController::CheckRetry(const EntryRequest& request) {
  if (!request.properties.repeatable) {
    return RetryRefusal::kNotRepeatable;
  }
  if (context_.caller_subscriptions.HasDelivered(request.key)) {
    return RetryRefusal::kPartDelivered;
  }
  if (request.attempts >= context_.options.max_attempts) {
    return RetryRefusal::kMaxAttempts;
  }
  const TimePoint now = context_.clock.Now();
  return retries_.TrySend(now, extra_retries()).has_value()
             ? RetryRefusal::kNone
             : RetryRefusal::kBound;
}

bool DispatchController::MayRunAgain(EntryRequest& request) {
  const RetryUsage usage =
      retries_.UsageAt(context_.clock.Now(), extra_retries());
  const RetryRefusal refusal = CheckRetry(request);
  const bool allowed = refusal == RetryRefusal::kNone;
  const std::string reason = RetryRefusalName(refusal);
  context_.log.Info(allowed ? "retry" : "no_retry",
                    {{"key", request.key.ToString()},
                     {"reason", reason},
                     {"attempts", request.attempts},
                     {"used", usage.retries},
                     {"bound", usage.bound},
                     {"requests", usage.requests},
                     {"extra", usage.extra},
                     {"extra_left", usage.extra_left}});
  context_.metrics.Add(allowed ? std::string("retries")
                               : "retries_refused{reason=\"" + reason + "\"}");
  if (!allowed) {
    std::ostringstream note;
    note << "not run again: " << reason
         << " (retries of this entry: " << usage.retries << " of "
         << usage.bound << " by requests, " << usage.extra_left << " of "
         << usage.extra << " extra left)";
    context_.Note(request, note.str());
  }
  return allowed;
}

void DispatchController::EndAttempt(EntryRequest& request,
                                    RunEvidence evidence,
                                    ResultCode result) {
  request.runs.OnEnded(evidence);
  if (!ProvesNotRun(evidence)) {
    request.result_in_doubt = result;
  }
}

void DispatchController::EndCrashTrial(EntryRequest& request) {
  if (std::exchange(request.is_crash_trial, false)) {
    context_.crashes.OnTrialEnded(request.traits);
  }
}

void DispatchController::ReportToCrashGuard(EntryRequest& request,
                                            ResultCode code,
                                            uint64_t server_life) {
  const uint64_t place = HashBytes(request.agent.instance);
  if (code == ResultCode::kServerCrashed) {
    // Agents of former versions don't tell the lives of their servers apart;
    // each run is taken for the loss of another server then.
    const uint64_t life =
        server_life != 0 ? server_life
                         : HashBytes(request.key.ToString()) + request.attempts;
    const uint64_t server =
        HashBytes(std::to_string(life), HashBytes(request.agent.ToString()));
    context_.crashes.OnServerLost({.request = request.traits,
                                   .server = server,
                                   .place = place,
                                   .sent = request.sent_at});
  } else if (code == ResultCode::kAnswered) {
    context_.crashes.OnServerSurvived(
        {.request = request.traits, .place = place, .sent = request.sent_at});
  }
  EndCrashTrial(request);
}

void DispatchController::OnRunEnded(EntryRequest& request,
                                    ResultCode code,
                                    uint64_t server_life) {
  ReportToCrashGuard(request, code, server_life);
  EndAttempt(request, EvidenceOf(code), code);
  if (code == ResultCode::kServerUnreachable) {
    request.agents_without_server.insert(request.agent);
  }
  const Outcome outcome = Describe(code).outcome;
  if (outcome == Outcome::kAnswered) {
    context_.conclude(request, code);
    return;
  }
  // A preempted run was ended by the system itself, and counts as no retry.
  const bool has_free_retry =
      (outcome == Outcome::kNotRun || code == ResultCode::kPreempted) &&
      code != ResultCode::kCancelledWaiting &&
      !context_.caller_subscriptions.HasDelivered(request.key) &&
      request.attempts < context_.options.max_attempts;
  if (has_free_retry ||
      (outcome == Outcome::kUnknown && code != ResultCode::kPreempted &&
       code != ResultCode::kCancelledRunning && MayRunAgain(request))) {
    context_.Note(request, "retry after " + std::string(Describe(code).name));
    Requeue(request);
    return;
  }
  context_.conclude(request, code);
}

void DispatchController::OnAgentUp(const PeerId& agent) {
  const LinkId link = *context_.members.LinkTo(agent);
  const auto involves_agent = [&agent](const EntryRequest& request) {
    return request.reserved_agents.contains(agent) || request.agent == agent;
  };
  for (const RequestKey& key : context_.requests.Select(involves_agent)) {
    EntryRequest& request = *context_.requests.Find(key);
    if (request.state == State::kWaiting) {
      placer_.Send(request, link);
      continue;
    }
    request.unreachable_since.reset();
    if (request.is_at_agent()) {
      // The Go or the answer may have been lost with the previous link. Sealing
      // makes the agent refuse a late copy of the Go. Repeatable work is not
      // sealed: it is not claimed, so other entries may hold the same key, and
      // the agent would refuse it to them permanently, which leaves their
      // callers without an outcome.
      Attach attach;
      attach.key = ToWire(request.key);
      attach.seal = !request.properties.repeatable;
      context_.outbox.Send(link, attach);
    }
    if (request.state != State::kSent) {
      AttachSubscriptions(request, link);
    }
  }
}

void DispatchController::OnAgentLost(const PeerId& agent) {
  const bool replaced = context_.members.Find(agent) == nullptr;
  const auto involves_agent = [&agent](const EntryRequest& request) {
    return request.reserved_agents.contains(agent) || request.agent == agent;
  };
  for (const RequestKey& key : context_.requests.Select(involves_agent)) {
    EntryRequest& request = *context_.requests.Find(key);
    request.reserved_agents.erase(agent);
    if (request.state == State::kWaiting && request.reserved_agents.empty()) {
      placer_.Place(request, context_.options.candidates);
      continue;
    }
    if (request.state == State::kDone &&
        !context_.caller_subscriptions.SubscriptionsOf(key).empty()) {
      // The request succeeded, but a caller has not received the whole answer.
      request.state = State::kFollowing;
    }
    const bool reads_there =
        request.is_at_agent() || request.state == State::kFollowing;
    if (!reads_there || request.agent != agent) {
      continue;
    }
    if (request.is_at_agent() && MayRunAgain(request)) {
      EndAttempt(request, RunEvidence::kFailedAtAgent);
      context_.Note(request, "agent lost, retry at another agent");
      Requeue(request);
    } else if (replaced) {
      context_.conclude(request, ResultCode::kServerLost);
    } else {
      // The agent may be frozen and reconnect with the complete answer.
      request.unreachable_since = context_.clock.Now();
      context_.requests.SetTimer(
          request, context_.clock.Now() + context_.options.server_lost_timeout);
    }
  }
}

void DispatchController::OnConfigActivated() {
  const auto& config = context_.config.current();
  const auto closed = [&config](const EntryRequest& request) {
    return request.is_waiting() &&
           config->IsClosed(request.properties.tier_name);
  };
  for (const RequestKey& key : context_.requests.Select(closed)) {
    context_.conclude(*context_.requests.Find(key), ResultCode::kTierClosed);
  }
}

void DispatchController::Release(EntryRequest& request) {
  EndCrashTrial(request);
  if (request.is_waiting()) {
    UncountWaiting(request);
    // Excludes this request from the search for a held-back one to enqueue
    // next.
    request.state = State::kDone;
  }
  placer_.Withdraw(request, PeerId());
  const std::string team = request.properties.team;
  if (std::exchange(request.counted_running, false)) {
    usage_.EndRun(team);
    ReleaseHeldBack(team);
  }
  if (std::exchange(request.counted_admitted, false)) {
    usage_.Release(team);
  }
}

void DispatchController::ReleaseHeldBack(const std::string& team) {
  const auto held_back = [&team](const EntryRequest& request) {
    return request.state == State::kHeldBack && !request.is_suspect &&
           request.properties.team == team;
  };
  std::vector<RequestKey> keys = context_.requests.Select(held_back);
  const auto arrived_later = [this](const RequestKey& a, const RequestKey& b) {
    return context_.requests.Find(a)->arrived >
           context_.requests.Find(b)->arrived;
  };
  std::ranges::make_heap(keys, arrived_later);
  while (!keys.empty()) {
    std::ranges::pop_heap(keys, arrived_later);
    EntryRequest& request = *context_.requests.Find(keys.back());
    keys.pop_back();
    if (!held_back(request)) {
      continue;
    }
    Enqueue(request);
    // One that was refused instead leaves the place to the next.
    if (request.counted_running || held_back(request)) {
      return;
    }
  }
}

Duration DispatchController::RetryAfter(const EntryRequest& request,
                                        ResultCode code) const {
  constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
  constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);
  if (Describe(code).http_status != 503 && Describe(code).http_status != 429) {
    return Duration::zero();
  }
  if (code == ResultCode::kCrashesServers) {
    return DecideOnCrashes(request).retry_after;
  }
  if (code == ResultCode::kServerPushback) {
    // Not cut: before the first rest ends, a retry is refused again.
    return std::max(kMinRetryAfter,
                    context_.router.ShortestRest(request.route()));
  }
  const std::vector<Candidate> best =
      context_.router.Choose(request.route(), 1);
  const Duration wait =
      best.empty() ? kMinRetryAfter : best.front().first_token;
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace lavenderkeel
