#include "lavenderkeel/dispatch/ownership_controller.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

using State = EntryRequest::State;

Claim OwnershipController::MakeOwnClaim(const EntryRequest& request) const {
  return {.owner = context_.members.self().id,
          .body_hash = request.body_hash,
          .agents = request.eligible};
}

Claim OwnershipController::MakeConfirmedClaim(
    const EntryRequest& request) const {
  // A newly started holder can't vouch and would store the take-over as an
  // unconfirmed claim. The former owner, partitioned but running, reclaims the
  // key there before it sends it to further agents; it would treat its own
  // claim as the earlier one and run the key again.
  lavenderkeel::Claim claim = MakeOwnClaim(request);
  claim.confirmed = true;
  // Includes the agents queried for the key; see ClaimTable::Request.
  claim.agents.insert(claim.agents.end(), request.existing_claim.agents.begin(),
                      request.existing_claim.agents.end());
  return claim;
}

void OwnershipController::Claim(EntryRequest& request) {
  request.reclaiming = false;
  StartClaim(request);
}

void OwnershipController::Reclaim(EntryRequest& request) {
  request.reclaiming = true;
  request.previously_eligible = request.eligible;
  StartClaim(request);
}

void OwnershipController::StartClaim(EntryRequest& request) {
  request.state = State::kClaiming;
  ChooseEligible(request);
  context_.claimer.Start(
      request.key, MakeOwnClaim(request), PeerId(), /*lookup=*/false,
      [this](const RequestKey& key, const ClaimResult& claim_result) {
        OnClaimed(key, claim_result);
      });
}

void OwnershipController::ChooseEligible(EntryRequest& request) const {
  request.eligible.clear();
  for (const Candidate& candidate :
       context_.router.Choose(request.route(), context_.options.eligible)) {
    request.eligible.push_back(candidate.agent);
  }
}

void OwnershipController::LookUpOwner(EntryRequest& request) {
  request.state = State::kClaiming;
  context_.claimer.Start(
      request.key, MakeOwnClaim(request), PeerId(), /*lookup=*/true,
      [this](const RequestKey& key, const ClaimResult& claim_result) {
        EntryRequest* pending = context_.requests.FindIn(key, State::kClaiming);
        if (pending == nullptr) {
          return;
        }
        if (claim_result.kind == ClaimResult::Kind::kHeld) {
          OnHeld(*pending, claim_result.claim);
        } else {
          context_.conclude(*pending, CodeOfUnclaimed(claim_result));
        }
      });
}

ResultCode OwnershipController::CodeOfUnclaimed(
    const ClaimResult& claim_result) {
  const bool is_known =
      claim_result.vouched && claim_result.coverage == HolderCoverage::kFull;
  return is_known ? ResultCode::kNotFound : ResultCode::kCannotVouch;
}

void OwnershipController::OnClaimed(const RequestKey& key,
                                    const ClaimResult& claim_result) {
  EntryRequest* request = context_.requests.FindIn(key, State::kClaiming);
  if (request == nullptr) {
    return;
  }
  if (claim_result.kind == ClaimResult::Kind::kHeld) {
    OnHeld(*request, claim_result.claim);
    return;
  }
  if (request->minted) {
    context_.admit(*request);
    return;
  }
  if (request->is_being_taken_over) {
    // An entry that received "not run" from this one is taking the key over,
    // while the holders still name this entry as the owner. If the caller
    // retries here, both entries would run it.
    context_.Note(*request, "another entry is taking the key over");
    context_.conclude(*request, ResultCode::kCannotVouch);
    return;
  }
  if (request->reclaiming) {
    OnReclaimed(*request, claim_result);
    return;
  }
  if (!claim_result.vouched) {
    // No remaining entry could know of an earlier attempt. Running the request
    // could repeat work that must run once, so the outcome is reported unknown.
    context_.Note(*request, "no holder can vouch that the key is unused");
    context_.conclude(*request, ResultCode::kCannotVouch);
    return;
  }
  if (claim_result.coverage == HolderCoverage::kFull) {
    context_.admit(*request);
    return;
  }
  // The missing holder may be partitioned rather than stopped, and an entry on
  // its side may have the same key, so that both sides would run it. Querying
  // the agents proves nothing: agents on the other side may be unknown here,
  // and a restarted agent has lost the record of what it ran.
  if (claim_result.coverage == HolderCoverage::kNone ||
      !claim_result.vouched_for_lost_holders) {
    context_.Note(*request, "an unreachable holder may have the key");
    context_.conclude(*request, ResultCode::kCannotVouch);
    return;
  }
  RequestPlatformDecision(*request);
}

void OwnershipController::OnReclaimed(EntryRequest& request,
                                      const ClaimResult& claim_result) {
  if (claim_result.vouched && claim_result.coverage == HolderCoverage::kFull) {
    context_.admit(request);
    return;
  }
  // An entry on the side of the unreachable holder may presume this one lost,
  // seal the key at the agents of the claim and take it over. The request stays
  // with the agents of the previous claim, since at an agent that was not
  // sealed it could run a second time. If these agents have refused it or are
  // unreachable, its owner is unknown.
  request.eligible = request.previously_eligible;
  const bool any_left =
      request.seal_refusals == 0 &&
      std::ranges::any_of(request.eligible, [this](const PeerId& agent) {
        return context_.members.LinkTo(agent).has_value();
      });
  if (any_left) {
    context_.admit(request);
    return;
  }
  context_.Note(request,
                "a holder is unreachable and no agent of the claim is usable");
  context_.conclude(request, ResultCode::kCannotVouch);
}

void OwnershipController::RequestPlatformDecision(EntryRequest& request) {
  context_.Note(request, "a holder is unreachable; the platform decides");
  context_.key_arbiter.Decide(
      request.key,
      [this](const RequestKey& key, KeyArbiter::Decision decision) {
        OnPlatformDecision(key, decision);
      });
}

void OwnershipController::OnPlatformDecision(const RequestKey& key,
                                             KeyArbiter::Decision decision) {
  EntryRequest* request = context_.requests.FindIn(key, State::kClaiming);
  if (request == nullptr) {
    return;
  }
  const bool is_granted = decision == KeyArbiter::Decision::kGranted;
  request->platform_granted = is_granted;
  // The holders keep the claim blocked for take-over until a confirmed claim
  // reports the platform's grant. A refusal is sent as well: a holder that can
  // reach more entries than this one may have recorded the claim as the first.
  lavenderkeel::Claim claim = MakeOwnClaim(*request);
  claim.confirmed = is_granted;
  claim.status = is_granted ? ClaimStatus::kPlain : ClaimStatus::kRefused;
  context_.claimer.Start(key, claim, PeerId(), /*lookup=*/false,
                         [](const RequestKey&, const ClaimResult&) {});
  if (is_granted) {
    context_.admit(*request);
    return;
  }
  context_.Note(*request,
                decision == KeyArbiter::Decision::kTaken
                    ? "the platform has granted the key to another entry"
                    : "the platform has not decided");
  context_.conclude(*request, ResultCode::kCannotVouch);
}

void OwnershipController::OnHeld(EntryRequest& request,
                                 const lavenderkeel::Claim& claim) {
  if (request.observer) {
    request.body_hash = claim.body_hash;
  }
  if (claim.body_hash != request.body_hash) {
    context_.conclude(request, ResultCode::kKeyReused);
    return;
  }
  request.existing_claim = claim;
  context_.Note(request, "owned by " + claim.owner.ToString());
  const Member* owner = context_.members.Find(claim.owner);
  const bool may_answer = owner != nullptr && !owner->lost;
  if (!may_answer) {
    Recover(request);
    return;
  }
  request.state = State::kLocating;
  SendLocate(request);
}

void OwnershipController::SendLocate(const EntryRequest& request) {
  const std::optional<LinkId> link =
      context_.members.LinkTo(request.existing_claim.owner);
  if (!link.has_value()) {
    // OnEntryUp() sends the query when the link is up again; OnEntryLost()
    // recovers the request if the owner is lost.
    return;
  }
  Locate locate;
  locate.key = ToWire(request.key);
  locate.reads_only = request.observer;
  context_.outbox.Send(*link, locate);
}

void OwnershipController::OnLocate(LinkId link, const Locate& locate) {
  EntryRequest* request = context_.requests.Find(FromWire(locate.key));
  if (request == nullptr || request->observer) {
    Located located;
    located.key = locate.key;
    located.subscription = locate.subscription;
    located.code = static_cast<uint32_t>(ResultCode::kNotFound);
    context_.outbox.Send(link, std::move(located));
    return;
  }
  const Member* requester = context_.members.FindByLink(link);
  if (request->state == State::kLocating && requester != nullptr &&
      request->existing_claim.owner == requester->info.id) {
    // Each entry treats the other's unconfirmed claim as the earlier one. Both
    // would wait forever, and neither can vouch that the key is unused.
    context_.conclude(*request, ResultCode::kCannotVouch);
  }
  const bool known = request->state == State::kDone ||
                     request->state == State::kRunning ||
                     request->state == State::kFollowing;
  if (!known) {
    request->watchers.push_back(
        {.link = link, .subscription = locate.subscription});
    return;
  }
  if (request->state == State::kDone) {
    request->result = context_.DowngradeIfUncertain(*request, request->result);
  }
  context_.SendLocated(link, *request, locate.subscription);
  const bool not_run = request->state == State::kDone &&
                       Describe(request->result).outcome == Outcome::kNotRun;
  if (not_run && !locate.reads_only) {
    request->is_being_taken_over = true;
  }
}

void OwnershipController::OnLocated(LinkId link, const Located& located) {
  EntryRequest* request = context_.requests.Find(FromWire(located.key));
  const Member* peer = context_.members.FindByLink(link);
  const bool expected = request != nullptr && peer != nullptr &&
                        request->state == State::kLocating &&
                        request->existing_claim.owner == peer->info.id;
  if (!expected) {
    return;
  }
  const ResultCodeInfo& info = Describe(static_cast<ResultCode>(located.code));
  if (info.outcome == Outcome::kNotRun) {
    // The owner has dropped the request or never ran it, so the agents are
    // queried.
    Recover(*request);
    return;
  }
  if (located.agent.empty()) {
    context_.conclude(*request, info.code);
    return;
  }
  request->agent = {.instance = located.agent,
                    .incarnation = located.agent_incarnation};
  context_.Note(*request, "runs at " + request->agent.ToString());
  request->state = State::kFollowing;
  context_.follow(*request);
}

void OwnershipController::Recover(EntryRequest& request) {
  context_.Note(request,
                "querying " +
                    std::to_string(request.existing_claim.agents.size()) +
                    " agents of the former owner");
  context_.log.Info("request_recovering",
                    {{"key", request.key.ToString()},
                     {"former_owner", request.existing_claim.owner.ToString()},
                     {"agents", request.existing_claim.agents.size()}});
  request.state = State::kSealing;
  request.is_seal_incomplete = false;
  // A later ballot supersedes an earlier one. Where clocks disagree, one of two
  // concurrent recoveries ends with an unknown outcome.
  request.seal_ballot = static_cast<uint64_t>(
      context_.clock.WallNow().time_since_epoch().count());
  const std::vector<PeerId>& agents = request.existing_claim.agents;
  request.seal_pending = {agents.begin(), agents.end()};
  context_.requests.SetTimer(
      request, context_.clock.Now() + context_.options.seal_timeout);
  for (const PeerId& agent : agents) {
    QueryAgent(request, agent);
  }
  CheckSealCompleted(request);
}

void OwnershipController::QueryAgent(EntryRequest& request,
                                     const PeerId& agent) {
  const Member* member = context_.members.Find(agent.instance);
  if (member != nullptr && member->info.id.incarnation > agent.incarnation) {
    // The restarted agent has lost the record of what it ran.
    request.seal_pending.erase(agent);
    request.is_seal_incomplete = true;
    return;
  }
  const std::optional<LinkId> link = context_.members.LinkTo(agent);
  if (!link.has_value()) {
    context_.members.AddWantedAgent(agent.instance);
    return;
  }
  Attach attach;
  attach.key = ToWire(request.key);
  attach.seal = !request.observer;
  attach.ballot = request.seal_ballot;
  context_.outbox.Send(*link, attach);
}

void OwnershipController::OnNotHere(EntryRequest& request,
                                    const PeerId& agent) {
  if (request.state != State::kSealing) {
    return;
  }
  request.seal_pending.erase(agent);
  CheckSealCompleted(request);
}

void OwnershipController::OnSealedByOther(EntryRequest& request) {
  if (request.state == State::kSealing) {
    context_.Note(request, "another entry has sealed the key at the agents");
    context_.conclude(request, ResultCode::kCannotVouch);
  }
}

void OwnershipController::CheckSealCompleted(EntryRequest& request) {
  if (!request.seal_pending.empty()) {
    return;
  }
  if (request.is_seal_incomplete || request.observer) {
    context_.conclude(request, ResultCode::kOwnerSilent);
    return;
  }
  if (!request.existing_claim.confirmed) {
    context_.conclude(request, ResultCode::kCannotVouch);
    return;
  }
  context_.Note(request, "no agent has the request; it did not run");
  TakeOver(request);
}

void OwnershipController::TakeOver(EntryRequest& request) {
  request.state = State::kClaiming;
  ChooseEligible(request);
  context_.claimer.Start(
      request.key, MakeConfirmedClaim(request), request.existing_claim.owner,
      /*lookup=*/false,
      [this](const RequestKey& key, const ClaimResult& claim_result) {
        EntryRequest* pending = context_.requests.FindIn(key, State::kClaiming);
        if (pending == nullptr) {
          return;
        }
        if (claim_result.kind == ClaimResult::Kind::kHeld) {
          OnHeld(*pending, claim_result.claim);
        } else if (claim_result.coverage == HolderCoverage::kNone) {
          // The owner may still be running with agents that can't be queried
          // from here.
          context_.conclude(*pending, ResultCode::kCannotVouch);
        } else if (claim_result.contested) {
          // The former owner was lost before it reported its refusal.
          RequestPlatformDecision(*pending);
        } else {
          context_.admit(*pending);
        }
      });
}

void OwnershipController::OnFound(EntryRequest& request, const PeerId& agent) {
  context_.Note(request, "found at " + agent.ToString());
  request.agent = agent;
  context_.requests.ClearTimer(request);
  if (request.observer) {
    request.state = State::kFollowing;
    context_.follow(request);
    return;
  }
  request.state = State::kRunning;
  // The new claim lets other entries locate the request through this entry.
  request.eligible = {agent};
  context_.claimer.Start(
      request.key, MakeConfirmedClaim(request), request.existing_claim.owner,
      /*lookup=*/false, [](const RequestKey&, const ClaimResult&) {});
  context_.follow(request);
  context_.NotifyWatchers(request);
}

void OwnershipController::OnSealTimer(EntryRequest& request) {
  // An agent that has not replied may have the request.
  context_.Note(request, "an agent that may have the request did not reply");
  context_.conclude(request, ResultCode::kOwnerSilent);
}

void OwnershipController::OnEntryUp(const PeerId& peer) {
  const auto awaits_peer = [&peer](const EntryRequest& request) {
    return request.state == State::kLocating &&
           request.existing_claim.owner == peer;
  };
  for (const RequestKey& key : context_.requests.Select(awaits_peer)) {
    SendLocate(*context_.requests.Find(key));
  }
}

void OwnershipController::OnEntryLost(const PeerId& peer) {
  const auto awaits_peer = [&peer](const EntryRequest& request) {
    return request.state == State::kLocating &&
           request.existing_claim.owner == peer;
  };
  for (const RequestKey& key : context_.requests.Select(awaits_peer)) {
    Recover(*context_.requests.Find(key));
  }
}

void OwnershipController::OnAgentUp(const PeerId& peer) {
  const auto awaits_peer = [&peer](const EntryRequest& request) {
    return request.state == State::kSealing &&
           request.seal_pending.contains(peer);
  };
  for (const RequestKey& key : context_.requests.Select(awaits_peer)) {
    QueryAgent(*context_.requests.Find(key), peer);
  }
  const auto awaits_predecessor = [&peer](const EntryRequest& request) {
    const auto first = request.seal_pending.lower_bound(
        {.instance = peer.instance, .incarnation = 0});
    return request.state == State::kSealing &&
           first != request.seal_pending.end() &&
           first->instance == peer.instance && *first < peer;
  };
  for (const RequestKey& key : context_.requests.Select(awaits_predecessor)) {
    EntryRequest& request = *context_.requests.Find(key);
    std::erase_if(request.seal_pending, [&peer](const PeerId& pending) {
      return pending.instance == peer.instance && pending < peer;
    });
    request.is_seal_incomplete = true;
    CheckSealCompleted(request);
  }
}

}  // namespace lavenderkeel
