#include "lavenderkeel/dispatch/request_controller.h"

#include <utility>

namespace lavenderkeel {

using State = EntryRequest::State;

RequestController::RequestController(EntryContext& context)
    : context_(context), ownership_(context), dispatch_(context) {
  context_.admit = [this](EntryRequest& request) { dispatch_.Admit(request); };
  context_.follow = [this](EntryRequest& request) {
    dispatch_.Follow(request);
  };
  context_.conclude = [this](EntryRequest& request, ResultCode code) {
    Conclude(request, code);
  };
  dispatch_.reclaim = [this](EntryRequest& request) {
    ownership_.Reclaim(request);
  };
}

void RequestController::Submit(Submission submission) {
  EntryRequest* known = context_.requests.Find(submission.key);
  if (known != nullptr && !known->observer &&
      known->body_hash != submission.body_hash) {
    context_.outbox.Push(CallerSubscriptions::ErrorReply(
        submission.caller, ResultCode::kKeyReused,
        std::string(Describe(ResultCode::kKeyReused).message),
        submission.public_key, Duration::zero()));
    return;
  }
  context_.caller_subscriptions.Open(submission.caller, submission.key,
                                     submission.public_key, submission.stream);
  if (known != nullptr) {
    JoinExisting(*known, &submission);
    return;
  }
  EntryRequest& request = context_.requests.Add(submission.key);
  FillFrom(request, submission);
  StartProcessing(request);
}

void RequestController::FillFrom(EntryRequest& request,
                                 Submission& submission) {
  request.public_key = submission.public_key;
  request.minted = submission.minted;
  request.observer = false;
  request.properties = std::move(submission.properties);
  request.body_hash = submission.body_hash;
  request.payload = std::move(submission.payload);
  request.traits =
      MakeTraits(HashBytes(request.properties.team, request.body_hash),
                 request.payload.prompt_parts);
  request.arrived = context_.clock.Now();
  request.deadline.reset();
  if (submission.deadline.has_value()) {
    request.deadline = request.arrived + *submission.deadline;
  }
}

void RequestController::StartProcessing(EntryRequest& request) {
  request.attempts = 0;
  request.runs = {};
  request.result_in_doubt = ResultCode::kServerLost;
  request.agents_without_server.clear();
  request.is_suspect = false;
  request.was_queued = false;
  request.platform_granted = false;
  request.seal_refusals = 0;
  request.unreachable_since.reset();
  if (request.properties.repeatable) {
    // Repeatable work needs no claim.
    dispatch_.Admit(request);
  } else {
    ownership_.Claim(request);
  }
}

void RequestController::ReadAnswer(CallerId caller,
                                   const RequestKey& key,
                                   const std::string& public_key,
                                   const std::string& team) {
  context_.caller_subscriptions.Open(caller, key, public_key, /*stream=*/false);
  if (EntryRequest* known = context_.requests.Find(key)) {
    JoinExisting(*known, nullptr);
    return;
  }
  EntryRequest& request = context_.requests.Add(key);
  request.public_key = public_key;
  request.observer = true;
  request.properties.team = team;
  request.arrived = context_.clock.Now();
  ownership_.LookUpOwner(request);
}

void RequestController::JoinExisting(EntryRequest& request,
                                     Submission* submission) {
  if (submission != nullptr && request.observer) {
    FillFrom(request, *submission);
  }
  switch (request.state) {
    case State::kRunning:
    case State::kFollowing:
      dispatch_.Follow(request);
      return;
    case State::kDone:
      break;
    default:
      return;
  }
  const Outcome outcome = Describe(request.result).outcome;
  if (outcome == Outcome::kNotRun && context_.MayHaveBeenTakenOver(request)) {
    Conclude(request, request.result);
    return;
  }
  if (request.is_being_taken_over && submission == nullptr) {
    // Only a submission claims the key again and so finds its owner.
    for (const SubscriptionId id :
         context_.caller_subscriptions.SubscriptionsOf(request.key)) {
      context_.caller_subscriptions.Fail(id, ResultCode::kCannotVouch,
                                         /*retry_after=*/Duration::zero());
    }
    return;
  }
  const bool may_run_again =
      outcome == Outcome::kNotRun ||
      (outcome == Outcome::kUnknown && request.properties.repeatable);
  if (may_run_again && submission != nullptr) {
    FillFrom(request, *submission);
    StartProcessing(request);
    return;
  }
  if (outcome == Outcome::kNotRun || request.agent.empty()) {
    Conclude(request, request.result);
    return;
  }
  // The request was answered, or its outcome is unknown and the agent may still
  // have the answer.
  request.state = State::kFollowing;
  dispatch_.Follow(request);
}

bool RequestController::MustConfirmWithHolders(const EntryRequest& request,
                                               ResultCode code) const {
  return EntryContext::MeansNotRun(code) && request.was_queued &&
         request.has_callers_key() &&
         (context_.unconfirmed_loss_at >= request.arrived ||
          context_.has_unconfirmed_loss());
}

void RequestController::ConfirmWithHolders(EntryRequest& request,
                                           ResultCode code) {
  context_.Note(request, "asking the holders for the current owner");
  dispatch_.Release(request);
  request.state = State::kClaiming;
  context_.claimer.Start(
      request.key, Claim(), context_.members.self().id, /*lookup=*/true,
      [this, code](const RequestKey& key, const ClaimResult& claim_result) {
        EntryRequest* pending = context_.requests.FindIn(key, State::kClaiming);
        if (pending == nullptr) {
          return;
        }
        const HolderCoverage needed = pending->platform_granted
                                          ? HolderCoverage::kPlatformDecides
                                          : HolderCoverage::kFull;
        const bool is_granted =
            claim_result.kind == ClaimResult::Kind::kGranted &&
            claim_result.coverage <= needed;
        Finish(*pending, is_granted ? code : ResultCode::kCannotVouch);
      });
}

void RequestController::Conclude(EntryRequest& request, ResultCode code) {
  // An entry that is partitioned from this one alone may presume it lost, find
  // its claim at a holder that both reach, and take the key over and run it
  // while the request waits here; "not run" would then be false. If an entry
  // was unreachable since the request arrived, even if it has restarted since,
  // the holders are queried first, since the other entry had to query them too.
  if (MustConfirmWithHolders(request, code)) {
    ConfirmWithHolders(request, code);
  } else {
    Finish(request, code);
  }
}

void RequestController::Finish(EntryRequest& request, ResultCode code) {
  if (const ResultCode certain = context_.DowngradeIfUncertain(request, code);
      certain != code) {
    context_.Note(request,
                  std::string(Describe(code).name) + ", but it may have run");
    code = certain;
  }
  const ResultCodeInfo& info = Describe(code);
  dispatch_.Release(request);
  request.state = State::kDone;
  request.result = code;
  request.unreachable_since.reset();
  request.seal_pending.clear();
  context_.Note(request, "outcome: " + std::string(info.name));
  context_.log.Info(
      "request_done",
      {{"key", request.key.ToString()},
       {"team", request.properties.team},
       {"tier", request.properties.tier_name},
       {"outcome", OutcomeName(info.outcome)},
       {"code", static_cast<uint32_t>(code)},
       {"result", info.name},
       {"evidence", request.runs.ToString()},
       {"fingerprint", request.traits.fingerprint},
       {"parts", JoinPromptParts(request.traits.parts)},
       {"took_ms", ToMilliseconds(context_.clock.Now() - request.arrived)}});
  context_.metrics.Add("requests_total{tier=\"" + request.properties.tier_name +
                       "\",result=\"" + std::string(info.name) + "\"}");
  // Notifies callers immediately, so that they can retry at another entry
  // without waiting for a timeout.
  if (info.outcome != Outcome::kAnswered) {
    const Duration retry_after = dispatch_.RetryAfter(request, code);
    for (const SubscriptionId id :
         context_.caller_subscriptions.SubscriptionsOf(request.key)) {
      context_.caller_subscriptions.Fail(id, code, retry_after);
    }
  }
  context_.NotifyWatchers(request);
  const bool nothing_to_keep =
      request.observer || code == ResultCode::kKeyReused ||
      (request.properties.repeatable && info.outcome == Outcome::kNotRun);
  request.payload = Payload();
  // A request refused for its body must not block the valid one with its key.
  request.observer |= code == ResultCode::kKeyReused;
  // Erased no earlier than the next Tick, since the caller of Finish may still
  // use the reference.
  const TimePoint now = context_.clock.Now();
  context_.requests.SetTimer(
      request, nothing_to_keep ? now : now + context_.options.keep_ended);
}

bool RequestController::Cancel(const RequestKey& key, bool by_caller) {
  EntryRequest* request = context_.requests.Find(key);
  const bool known = request != nullptr &&
                     !(request->state == State::kDone && request->observer);
  if (!known) {
    return false;
  }
  if (request->is_at_agent() || request->state == State::kFollowing) {
    CancelAt(request->agent, key, by_caller);
  } else if (request->state == State::kLocating) {
    CancelAt(request->existing_claim.owner, key, by_caller);
  } else if (request->is_waiting()) {
    Conclude(*request, ResultCode::kCancelledWaiting);
  }
  return true;
}

void RequestController::CancelAt(const PeerId& peer,
                                 const RequestKey& key,
                                 bool by_caller) {
  const std::optional<LinkId> link = context_.members.LinkTo(peer);
  if (!link.has_value()) {
    return;
  }
  lavenderkeel::Cancel cancel;
  cancel.key = ToWire(key);
  cancel.by_caller = by_caller;
  context_.outbox.Send(*link, cancel);
}

void RequestController::CancelForCaller(
    const RequestKey& key,
    const std::function<void(const std::optional<ResultCode>& failure)>& done) {
  if (Cancel(key, /*by_caller=*/true)) {
    done(std::nullopt);
    return;
  }
  context_.claimer.Start(
      key, Claim(), PeerId(), /*lookup=*/true,
      [this, done](const RequestKey& held_key,
                   const ClaimResult& claim_result) {
        if (claim_result.kind != ClaimResult::Kind::kHeld) {
          done(OwnershipController::CodeOfUnclaimed(claim_result));
          return;
        }
        CancelAt(claim_result.claim.owner, held_key, /*by_caller=*/true);
        for (const PeerId& agent : claim_result.claim.agents) {
          CancelAt(agent, held_key, /*by_caller=*/true);
        }
        done(std::nullopt);
      });
}

void RequestController::OnCallerGone(CallerId caller) {
  const std::optional<RequestKey> key =
      context_.caller_subscriptions.OnCallerGone(caller);
  EntryRequest* request =
      key.has_value() ? context_.requests.Find(*key) : nullptr;
  if (request == nullptr ||
      !context_.caller_subscriptions.SubscriptionsOf(*key).empty()) {
    return;
  }
  // A caller of non-repeatable work may reconnect for its answer; repeatable
  // work without a caller is cancelled.
  if (request->properties.repeatable && !request->observer) {
    Cancel(*key, /*by_caller=*/false);
  }
}

EntryRequest* RequestController::FindForPeer(LinkId link,
                                             const fbs::Key& key,
                                             PeerId& peer) {
  const Member* member = context_.members.FindByLink(link);
  if (member == nullptr) {
    return nullptr;
  }
  peer = member->info.id;
  return context_.requests.Find(FromWire(key));
}

void RequestController::OnMessage(LinkId link, const Message& message) {
  PeerId peer;
  if (const auto* offer = std::get_if<SlotOffer>(&message)) {
    dispatch_.OnSlotOffer(link, *offer);
  } else if (const auto* started = std::get_if<Started>(&message)) {
    if (EntryRequest* request = FindForPeer(link, started->key, peer)) {
      if (request->state == State::kSealing) {
        ownership_.OnFound(*request, peer);
      } else {
        dispatch_.OnStarted(*request, peer);
      }
    }
  } else if (const auto* rejected = std::get_if<Rejected>(&message)) {
    if (EntryRequest* request = FindForPeer(link, rejected->key, peer)) {
      const ResultCode code =
          Describe(static_cast<ResultCode>(rejected->code)).code;
      if (request->state == State::kSealing) {
        ownership_.OnSealedByOther(*request);
      } else {
        dispatch_.OnRejected(*request, peer, code);
      }
    }
  } else if (const auto* not_here = std::get_if<NotHere>(&message)) {
    OnNotHere(link, *not_here);
  } else if (const auto* chunk = std::get_if<Chunk>(&message)) {
    context_.caller_subscriptions.OnChunk(link, *chunk);
  } else if (const auto* finish = std::get_if<Finished>(&message)) {
    OnFinish(link, *finish);
  } else if (const auto* locate = std::get_if<Locate>(&message)) {
    ownership_.OnLocate(link, *locate);
  } else if (const auto* located = std::get_if<Located>(&message)) {
    ownership_.OnLocated(link, *located);
  } else if (const auto* cancel = std::get_if<lavenderkeel::Cancel>(&message)) {
    Cancel(FromWire(cancel->key), cancel->by_caller);
  }
}

void RequestController::OnNotHere(LinkId link, const NotHere& reply) {
  PeerId peer;
  EntryRequest* request = FindForPeer(link, reply.key, peer);
  if (request == nullptr) {
    return;
  }
  if (request->state == State::kSealing) {
    ownership_.OnNotHere(*request, peer);
  } else if (request->is_at_agent() && request->agent == peer &&
             reply.subscription == 0) {
    dispatch_.OnGoNotReceived(*request);
  } else if (reply.subscription != 0 && !request->is_at_agent()) {
    context_.caller_subscriptions.Fail(
        reply.subscription, ResultCode::kAnswerGone, Duration::zero());
    if (request->state == State::kFollowing) {
      Conclude(*request, ResultCode::kAnswerGone);
    }
  }
}

void RequestController::OnFinish(LinkId link, const Finished& finish) {
  PeerId peer;
  EntryRequest* request = FindForPeer(link, finish.key, peer);
  const auto code = Describe(static_cast<ResultCode>(finish.code)).code;
  if (finish.subscription != 0) {
    context_.caller_subscriptions.OnFinish(finish);
    const bool follows = request == nullptr ||
                         request->state == State::kFollowing ||
                         request->state == State::kDone;
    if (follows && code != ResultCode::kAnswered) {
      context_.caller_subscriptions.Fail(finish.subscription, code,
                                         Duration::zero());
    }
    if (request != nullptr && request->state == State::kFollowing &&
        request->agent == peer &&
        context_.caller_subscriptions.SubscriptionsOf(request->key).empty()) {
      Conclude(*request, code);
    }
    return;
  }
  if (request == nullptr) {
    return;
  }
  if (request->state == State::kSealing) {
    // The request ran at the agent, but its answer is no longer stored there:
    // otherwise Started would have arrived first.
    request->agent = peer;
    Conclude(*request, code);
  } else if (request->is_at_agent() && request->agent == peer) {
    dispatch_.OnRunEnded(*request, code, finish.server_life);
  }
}

void RequestController::OnAgentUp(const PeerId& agent) {
  ownership_.OnAgentUp(agent);
  dispatch_.OnAgentUp(agent);
}

void RequestController::OnAgentLost(const PeerId& agent) {
  dispatch_.OnAgentLost(agent);
}

void RequestController::OnEntryUp(const PeerId& entry) {
  ownership_.OnEntryUp(entry);
}

void RequestController::OnEntryLost(const PeerId& entry) {
  ownership_.OnEntryLost(entry);
}

void RequestController::Tick() {
  for (const RequestKey& key :
       context_.requests.TakeDue(context_.clock.Now())) {
    EntryRequest* request = context_.requests.Find(key);
    if (request == nullptr) {
      continue;
    }
    if (request->state == State::kDone) {
      if (context_.caller_subscriptions.SubscriptionsOf(key).empty()) {
        context_.requests.Erase(key);
      } else {
        context_.requests.SetTimer(
            *request, context_.clock.Now() + context_.options.keep_ended);
      }
    } else if (request->state == State::kSealing) {
      ownership_.OnSealTimer(*request);
    } else {
      dispatch_.OnTimer(*request);
    }
  }
}

size_t RequestController::active() const {
  return context_.requests
      .Select([](const EntryRequest& request) {
        return request.state != State::kDone;
      })
      .size();
}

bool RequestController::IsIdle() const {
  return active() == 0 && context_.caller_subscriptions.size() == 0;
}

const EntryRequest* RequestController::Explain(
    const std::string& public_key) const {
  const std::vector<RequestKey> keys =
      context_.requests.Select([&public_key](const EntryRequest& request) {
        return request.public_key == public_key;
      });
  return keys.empty() ? nullptr : context_.requests.Find(keys.front());
}

}  // namespace lavenderkeel
