#include "lavenderkeel/dispatch/dispatch_controller.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

using State = EntryRequest::State;

DispatchController::DispatchController(EntryContext& context)
    : context_(context), placer_(context), retries_(context.options.retries) {}

void DispatchController::Admit(EntryRequest& request) {
  context_.crashes.OnArrival(request.fingerprint);
  if (const std::optional<ResultCode> refusal = Refusal(request)) {
    context_.conclude(request, *refusal);
    return;
  }
  if (!MakeRoom(request)) {
    context_.conclude(request, ResultCode::kOverloaded);
    return;
  }
  if (const auto refusal = CountIn(request)) {
    context_.conclude(request, refusal->code);
    return;
  }
  CountWaiting(request);
  Wait(request);
}

void DispatchController::CountWaiting(const EntryRequest& request) {
  const size_t tier = request.terms.tier;
  waiting_by_tier_.resize(std::max(waiting_by_tier_.size(), tier + 1));
  ++waiting_by_tier_[tier];
  ++waiting_;
}

void DispatchController::UncountWaiting(const EntryRequest& request) {
  --waiting_by_tier_[request.terms.tier];
  --waiting_;
}

std::optional<ResultCode> DispatchController::Refusal(
    const EntryRequest& request) {
  const auto& config = context_.config.current();
  // What was here before the stop is finished, not refused.
  if (context_.leaving && request.arrived >= context_.left_at) {
    return ResultCode::kLeaving;
  }
  if (config->IsClosed(request.terms.tier_name)) {
    return ResultCode::kTierClosed;
  }
  const TimePoint now = context_.clock.Now();
  if (request.deadline.has_value() && *request.deadline <= now) {
    return ResultCode::kDeadlinePassed;
  }
  const std::vector<Candidate> best =
      context_.router.Choose(request.route(), 1);
  if (best.empty()) {
    // An entry that has just started meets its agents within moments; its
    // callers wait for them as for a slot.
    return context_.seen_server ? std::optional(ResultCode::kNoServer)
                                : std::nullopt;
  }
  context_.seen_server = true;
  // Told at once, before any prefill is spent on an answer that comes late.
  // Deadline-bound work first makes lower tiers give way.
  const bool late = request.deadline.has_value() &&
                    now + best.front().first_token > *request.deadline;
  const bool may_preempt = request.terms.deadline_bound &&
                           context_.router.LowerTierRuns(request.route());
  if (late && !may_preempt) {
    return ResultCode::kDeadlineUnreachable;
  }
  return std::nullopt;
}

bool DispatchController::MakeRoom(const EntryRequest& request) {
  const uint32_t tier_limit =
      context_.config.current()->LimitsOf(request.terms.tier_name).waiting;
  if (tier_limit > 0 && !request.terms.deadline_bound &&
      waiting(request.terms.tier) >= tier_limit) {
    return false;
  }
  if (waiting_ < context_.options.max_waiting) {
    return true;
  }
  // Failure: the line is full of lookups when a letter check comes. Symptom: a
  // deadline-bound refusal while lower-tier work goes on. Whoever waits in the
  // lowest tier gives up its place.
  const auto lower = [&request](const EntryRequest& other) {
    return other.waiting() && other.terms.tier > request.terms.tier;
  };
  const std::vector<RequestKey> keys = context_.requests.Select(lower);
  if (keys.empty()) {
    return false;
  }
  const RequestKey lowest =
      *std::ranges::max_element(keys, {}, [this](const RequestKey& key) {
        return context_.requests.Find(key)->terms.tier;
      });
  context_.conclude(*context_.requests.Find(lowest), ResultCode::kOverloaded);
  return true;
}

std::optional<TeamUsage::Refusal> DispatchController::CountIn(
    EntryRequest& request) {
  if (request.counted_admitted) {
    return std::nullopt;
  }
  const Team* team = context_.config.current()->FindTeamByKeyHash(
      request.terms.team_key_sha256);
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
  return context_.crashes.Decide(request.fingerprint, [&] {
    const auto runs = [&request](const EntryRequest& other) {
      return other.key != request.key &&
             other.fingerprint == request.fingerprint &&
             (other.at_agent() || other.state == State::kWaiting);
    };
    return !context_.requests.Select(runs).empty();
  });
}

bool DispatchController::KeptAsSuspect(EntryRequest& request) {
  const CrashDecision decision = DecideOnCrashes(request);
  if (decision.kind == CrashDecision::Kind::kRun) {
    request.held_as_suspect = false;
    return false;
  }
  request.state = State::kHeldBack;
  if (decision.kind == CrashDecision::Kind::kRefuse) {
    context_.log.Info(
        "crash_refused",
        {{"key", request.key.ToString()},
         {"fingerprint", request.fingerprint},
         {"lost", decision.assessment.lost},
         {"in_turn", decision.assessment.in_turn},
         {"attempts", request.attempts},
         {"retry_after_ms", ToMilliseconds(decision.retry_after)}});
    // What was sent once may have run.
    context_.conclude(request, request.attempts > 0
                                   ? ResultCode::kServerCrashed
                                   : ResultCode::kCrashesServers);
    return true;
  }
  if (!std::exchange(request.held_as_suspect, true)) {
    context_.Note(request, "held back for what an equal request shows");
  }
  SetWaitingTimer(request);
  return true;
}

void DispatchController::Wait(EntryRequest& request) {
  request.waited = true;
  if (KeptAsSuspect(request)) {
    return;
  }
  const Team* team = context_.config.current()->FindTeamByKeyHash(
      request.terms.team_key_sha256);
  if (!request.counted_running && team != nullptr && !usage_.TryRun(*team)) {
    request.state = State::kHeldBack;
    context_.Note(request, "held back: the team runs as many as it may");
    SetWaitingTimer(request);
    return;
  }
  request.counted_running = true;
  request.state = State::kWaiting;
  placer_.Place(request, context_.options.candidates);
  SetWaitingTimer(request);
}

void DispatchController::SetWaitingTimer(EntryRequest& request) {
  TimePoint when = context_.clock.Now() + (request.held_as_suspect
                                               ? context_.options.suspect_period
                                               : context_.options.widen_after);
  if (request.deadline.has_value()) {
    when = std::min(when, *request.deadline);
  }
  context_.requests.SetTimer(request, when);
}

void DispatchController::OnTimer(EntryRequest& request) {
  const TimePoint now = context_.clock.Now();
  if (request.waiting()) {
    if (request.deadline.has_value() && now >= *request.deadline) {
      context_.conclude(request, ResultCode::kDeadlinePassed);
      return;
    }
    if (request.held_as_suspect) {
      Wait(request);
    } else if (request.state == State::kWaiting) {
      Widen(request);
    }
    if (NoServerForLong(request)) {
      context_.conclude(request, ResultCode::kNoServer);
      return;
    }
    if (request.waiting()) {
      SetWaitingTimer(request);
    }
    return;
  }
  const bool given_up =
      request.silent_since.has_value() &&
      now - *request.silent_since >= context_.options.server_patience;
  if ((request.at_agent() || request.state == State::kFollowing) && given_up) {
    context_.conclude(request, ResultCode::kServerLost);
  }
}

bool DispatchController::NoServerForLong(EntryRequest& request) {
  if (!request.waiting() || context_.router.AnyUsable(request.route())) {
    request.silent_since.reset();
    return false;
  }
  const TimePoint now = context_.clock.Now();
  if (!request.silent_since.has_value()) {
    request.silent_since = now;
  }
  return now - *request.silent_since >= context_.options.server_patience;
}

void DispatchController::Widen(EntryRequest& request) {
  const size_t before = request.reserved.size();
  placer_.Place(request, 1);
  const bool widened = request.reserved.size() > before;
  if (widened || request.terms.repeatable) {
    return;
  }
  // All agents that the claim names have a reservation. Others may be used
  // only once the holders know of them: after our death they must be asked.
  const std::vector<Candidate> all =
      context_.router.Choose(request.route(), SIZE_MAX);
  const bool others = std::ranges::any_of(all, [&](const Candidate& candidate) {
    return std::ranges::find(request.eligible, candidate.agent) ==
           request.eligible.end();
  });
  if (others) {
    placer_.Withdraw(request, PeerId());
    UncountWaiting(request);
    reclaim(request);
  }
}

void DispatchController::OnSlotOffer(LinkId link, const SlotOffer& offer) {
  EntryRequest* request = context_.requests.Find(FromWire(offer.key));
  const Member* agent = context_.members.FindByLink(link);
  const bool wanted = request != nullptr && agent != nullptr &&
                      request->state == State::kWaiting &&
                      request->reserved.contains(agent->info.id);
  if (!wanted) {
    lavenderkeel::Withdraw withdraw;
    withdraw.key = offer.key;
    context_.outbox.Send(link, withdraw);
    return;
  }
  // What was learned since it came into line may keep it.
  if (DecideOnCrashes(*request).kind != CrashDecision::Kind::kRun) {
    placer_.Withdraw(*request, PeerId());
    Wait(*request);
    return;
  }
  // Failure: two agents offer a slot at the same time. Symptom: a second run.
  // The state leaves kWaiting with the first go, so later offers are declined.
  request->state = State::kSent;
  request->agent = agent->info.id;
  request->sent_at = context_.clock.Now();
  context_.crashes.OnSent(request->fingerprint);
  ++request->attempts;
  UncountWaiting(*request);
  context_.requests.ClearTimer(*request);
  placer_.Withdraw(*request, agent->info.id);
  const std::vector<SubscriptionId> readers = context_.feed.Of(request->key);
  Go go;
  go.key = offer.key;
  go.service = request->payload.service;
  go.method = request->payload.method;
  go.path = request->payload.path;
  go.head = request->payload.head;
  go.body.assign(request->payload.body.begin(), request->payload.body.end());
  if (!readers.empty()) {
    go.subscription = readers.front();
    context_.feed.Source(readers.front(), link);
  }
  context_.outbox.Send(link, std::move(go));
  context_.Note(*request, "sent to " + agent->info.id.ToString());
  context_.metrics.Observe(
      "wait_seconds{tier=\"" + request->terms.tier_name + "\"}",
      ToSeconds(context_.clock.Now() - request->arrived));
  context_.log.Info(
      "dispatch",
      {{"key", request->key.ToString()},
       {"tier", request->terms.tier_name},
       {"team", request->terms.team},
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
    AttachAll(request, *link);
  }
  context_.NotifyWatchers(request);
}

void DispatchController::AttachAll(EntryRequest& request, LinkId link) {
  for (const SubscriptionId id : context_.feed.Of(request.key)) {
    const CallerFeed::Subscription* subscription = context_.feed.Find(id);
    if (subscription->link == link) {
      continue;
    }
    context_.feed.Source(id, link);
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
    AttachAll(request, *link);
    return;
  }
  const Member* member = context_.members.Find(request.agent.instance);
  if (member != nullptr &&
      member->info.id.incarnation > request.agent.incarnation) {
    // Its successor has none of its answers.
    context_.conclude(request, ResultCode::kAnswerGone);
    return;
  }
  context_.members.AlsoWant(request.agent.instance);
  request.silent_since = context_.clock.Now();
  context_.requests.SetTimer(
      request, context_.clock.Now() + context_.options.server_patience);
}

void DispatchController::OnRejected(EntryRequest& request,
                                    const PeerId& agent,
                                    ResultCode code) {
  if (request.state == State::kWaiting) {
    request.reserved.erase(agent);
    if (code == ResultCode::kTierClosed) {
      context_.conclude(request, code);
    } else if (request.reserved.empty()) {
      placer_.Place(request, context_.options.candidates);
    }
    return;
  }
  if (request.state != State::kSent || request.agent != agent) {
    return;
  }
  context_.Note(request, "refused by " + agent.ToString() + ": " +
                             std::string(Describe(code).name));
  context_.log.Info("go_refused", {{"key", request.key.ToString()},
                                   {"agent", agent.ToString()},
                                   {"result", Describe(code).name},
                                   {"attempts", request.attempts}});
  // Failure: the key was sent as work that may not be repeated as well, and
  // another entry has the agents refuse it here. Symptom: offers and refusals
  // follow each other as fast as the network carries them, without an end.
  const bool may_try_again = code != ResultCode::kSealed ||
                             (request.terms.repeatable &&
                              request.attempts < context_.options.max_attempts);
  if (may_try_again) {
    Requeue(request);
    return;
  }
  if (request.terms.repeatable) {
    context_.conclude(request, ResultCode::kOwnerSilent);
    return;
  }
  // Another entry took the key over, believing us dead. The holders say whom
  // to follow; refused twice, nobody can say who runs it.
  ++request.sealed_away;
  context_.feed.Restart(request.key);
  if (request.sealed_away > 1) {
    context_.conclude(request, ResultCode::kOwnerSilent);
  } else {
    reclaim(request);
  }
}

void DispatchController::OnNeverArrived(EntryRequest& request) {
  context_.Note(request, "the go never arrived");
  Requeue(request);
}

void DispatchController::Requeue(EntryRequest& request) {
  context_.feed.Restart(request.key);
  request.agent = {};
  request.silent_since.reset();
  CountWaiting(request);
  Wait(request);
}

bool DispatchController::MayRunAgain(const EntryRequest& request) {
  return request.terms.repeatable && !context_.feed.Delivered(request.key) &&
         request.attempts < context_.options.max_attempts &&
         retries_.TryRetry();
}

void DispatchController::NoteRunEnd(const EntryRequest& request,
                                    ResultCode code) {
  if (code == ResultCode::kServerCrashed) {
    // Each run that ends so ended with a server of its own.
    const uint64_t server =
        HashBytes(request.agent.ToString(), HashBytes(request.key.ToString())) +
        request.attempts;
    context_.crashes.OnServerLost(request.fingerprint, server, request.sent_at);
  } else if (code == ResultCode::kAnswered) {
    context_.crashes.OnSurvived(request.fingerprint);
  }
}

void DispatchController::OnRunEnded(EntryRequest& request, ResultCode code) {
  NoteRunEnd(request, code);
  if (code == ResultCode::kServerUnreachable) {
    request.without_server.insert(request.agent);
  }
  const Outcome outcome = Describe(code).outcome;
  if (outcome == Outcome::kAnswered) {
    retries_.OnSuccess();
    context_.conclude(request, code);
    return;
  }
  const bool never_ran = outcome == Outcome::kNotRun &&
                         code != ResultCode::kCancelledWaiting &&
                         !context_.feed.Delivered(request.key) &&
                         request.attempts < context_.options.max_attempts;
  if (never_ran ||
      (outcome == Outcome::kUnknown && code != ResultCode::kCancelledRunning &&
       MayRunAgain(request))) {
    context_.Note(request, "again after " + std::string(Describe(code).name));
    Requeue(request);
    return;
  }
  context_.conclude(request, code);
}

void DispatchController::OnAgentUp(const PeerId& agent) {
  const LinkId link = *context_.members.LinkTo(agent);
  const auto concerns = [&agent](const EntryRequest& request) {
    return request.reserved.contains(agent) || request.agent == agent;
  };
  for (const RequestKey& key : context_.requests.Select(concerns)) {
    EntryRequest& request = *context_.requests.Find(key);
    if (request.state == State::kWaiting) {
      placer_.Send(request, link);
      continue;
    }
    request.silent_since.reset();
    if (request.at_agent()) {
      // The answer may have been lost with the old link, and so may the go;
      // sealing makes a late copy of it harmless. Work that may be repeated is
      // not sealed. Failure: nobody claims it, so other entries have the same
      // key, and the agent would refuse it to them for good. Symptom: a caller
      // there never gets an outcome.
      Attach control;
      control.key = ToWire(request.key);
      control.seal = !request.terms.repeatable;
      context_.outbox.Send(link, control);
    }
    if (request.state != State::kSent) {
      AttachAll(request, link);
    }
  }
}

void DispatchController::OnAgentLost(const PeerId& agent) {
  const bool replaced = context_.members.Find(agent) == nullptr;
  const auto concerns = [&agent](const EntryRequest& request) {
    return request.reserved.contains(agent) || request.agent == agent;
  };
  for (const RequestKey& key : context_.requests.Select(concerns)) {
    EntryRequest& request = *context_.requests.Find(key);
    request.reserved.erase(agent);
    if (request.state == State::kWaiting && request.reserved.empty()) {
      placer_.Place(request, context_.options.candidates);
      continue;
    }
    if (request.state == State::kDone && !context_.feed.Of(key).empty()) {
      // It ended well, but a caller has not got all of it yet.
      request.state = State::kFollowing;
    }
    const bool reads_there =
        request.at_agent() || request.state == State::kFollowing;
    if (!reads_there || request.agent != agent) {
      continue;
    }
    if (request.at_agent() && MayRunAgain(request)) {
      context_.Note(request, "agent lost, again elsewhere");
      Requeue(request);
    } else if (replaced) {
      context_.conclude(request, ResultCode::kServerLost);
    } else {
      // Silent, perhaps frozen: it may come back with the whole answer.
      request.silent_since = context_.clock.Now();
      context_.requests.SetTimer(
          request, context_.clock.Now() + context_.options.server_patience);
    }
  }
}

void DispatchController::OnConfigActivated() {
  const auto& config = context_.config.current();
  const auto closed = [&config](const EntryRequest& request) {
    return request.waiting() && config->IsClosed(request.terms.tier_name);
  };
  for (const RequestKey& key : context_.requests.Select(closed)) {
    context_.conclude(*context_.requests.Find(key), ResultCode::kTierClosed);
  }
}

void DispatchController::Release(EntryRequest& request) {
  if (request.waiting()) {
    UncountWaiting(request);
    // It must not be taken for one that waits for the place that it frees.
    request.state = State::kDone;
  }
  placer_.Withdraw(request, PeerId());
  const std::string team = request.terms.team;
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
    return request.state == State::kHeldBack && !request.held_as_suspect &&
           request.terms.team == team;
  };
  const std::vector<RequestKey> keys = context_.requests.Select(held_back);
  if (keys.empty()) {
    return;
  }
  const RequestKey first =
      *std::ranges::min_element(keys, {}, [this](const RequestKey& key) {
        return context_.requests.Find(key)->arrived;
      });
  Wait(*context_.requests.Find(first));
}

Duration DispatchController::RetryAfter(const EntryRequest& request,
                                        ResultCode code) const {
  constexpr Duration kLeast = std::chrono::seconds(1);
  constexpr Duration kMost = std::chrono::seconds(60);
  if (Describe(code).http_status != 503 && Describe(code).http_status != 429) {
    return Duration::zero();
  }
  if (code == ResultCode::kCrashesServers) {
    return DecideOnCrashes(request).retry_after;
  }
  const std::vector<Candidate> best =
      context_.router.Choose(request.route(), 1);
  const Duration wait = best.empty() ? kLeast : best.front().first_token;
  return std::clamp(wait, kLeast, kMost);
}

}  // namespace lavenderkeel
