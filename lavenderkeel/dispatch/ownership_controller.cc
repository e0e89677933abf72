#include "lavenderkeel/dispatch/ownership_controller.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

using State = EntryRequest::State;

Claim OwnershipController::OwnClaim(const EntryRequest& request) const {
  return {.owner = context_.members.self().id,
          .body_hash = request.body_hash,
          .agents = request.eligible};
}

Claim OwnershipController::ConfirmedClaim(const EntryRequest& request) const {
  // Failure: a holder that has just started can't vouch and keeps what was
  // taken over as doubtful. Symptom: the former owner, cut off but alive, asks
  // it before it sends the key to further agents, takes its own claim for the
  // first one and starts the key again.
  lavenderkeel::Claim claim = OwnClaim(request);
  claim.confirmed = true;
  // The agents that were asked; see ClaimTable::Request.
  claim.agents.insert(claim.agents.end(), request.held.agents.begin(),
                      request.held.agents.end());
  return claim;
}

void OwnershipController::Claim(EntryRequest& request) {
  request.reclaiming = false;
  StartClaim(request);
}

void OwnershipController::Reclaim(EntryRequest& request) {
  request.reclaiming = true;
  request.formerly_eligible = request.eligible;
  StartClaim(request);
}

void OwnershipController::StartClaim(EntryRequest& request) {
  request.state = State::kClaiming;
  ChooseEligible(request);
  context_.claimer.Start(
      request.key, OwnClaim(request), PeerId(), /*lookup=*/false,
      [this](const RequestKey& key, const ClaimVerdict& verdict) {
        OnClaimed(key, verdict);
      });
}

void OwnershipController::ChooseEligible(EntryRequest& request) const {
  request.eligible.clear();
  for (const Candidate& candidate :
       context_.router.Choose(request.route(), context_.options.eligible)) {
    request.eligible.push_back(candidate.agent);
  }
}

void OwnershipController::Look(EntryRequest& request) {
  request.state = State::kClaiming;
  context_.claimer.Start(
      request.key, OwnClaim(request), PeerId(), /*lookup=*/true,
      [this](const RequestKey& key, const ClaimVerdict& verdict) {
        EntryRequest* looked = context_.requests.FindIn(key, State::kClaiming);
        if (looked == nullptr) {
          return;
        }
        if (verdict.kind == ClaimVerdict::Kind::kHeld) {
          OnHeld(*looked, verdict.claim);
        } else {
          context_.conclude(*looked, ResultCode::kNotFound);
        }
      });
}

void OwnershipController::OnClaimed(const RequestKey& key,
                                    const ClaimVerdict& verdict) {
  EntryRequest* request = context_.requests.FindIn(key, State::kClaiming);
  if (request == nullptr) {
    return;
  }
  if (verdict.kind == ClaimVerdict::Kind::kHeld) {
    OnHeld(*request, verdict.claim);
    return;
  }
  if (request->minted) {
    context_.admit(*request);
    return;
  }
  if (request->given_away) {
    // Failure: an entry that heard "not run" here asks the agents and is about
    // to take the key over; the caller sends it here once more, and the holders
    // still name us as its owner. Symptom: both start it.
    context_.Note(*request, "another entry is taking the key over");
    context_.conclude(*request, ResultCode::kCannotVouch);
    return;
  }
  if (request->reclaiming) {
    OnReclaimed(*request, verdict);
    return;
  }
  if (!verdict.vouched) {
    // Failure: every entry that could know of an earlier try is gone. Symptom
    // of going on: a second appointment letter. So it is reported unknown.
    context_.Note(*request, "no holder can vouch that the key is unused");
    context_.conclude(*request, ResultCode::kCannotVouch);
    return;
  }
  if (verdict.coverage == HolderCoverage::kFull) {
    context_.admit(*request);
    return;
  }
  // Failure: the other holder is not dead but cut off from us, and an entry on
  // its side has the same key. Symptom: both sides run it. Asking the agents
  // proves nothing: those on the other side may be out of sight here, and one
  // that crashed has forgotten what it ran.
  if (verdict.coverage == HolderCoverage::kNone || !verdict.witnessed) {
    context_.Note(*request, "a holder is silent and may have the key");
    context_.conclude(*request, ResultCode::kCannotVouch);
    return;
  }
  AskPlatform(*request);
}

void OwnershipController::OnReclaimed(EntryRequest& request,
                                      const ClaimVerdict& verdict) {
  if (verdict.vouched && verdict.coverage == HolderCoverage::kFull) {
    context_.admit(request);
    return;
  }
  // Failure: a holder is silent, and with it whoever takes us for lost, has the
  // agents of our claim refuse the key and takes it over. Symptom: it is sent
  // to an agent that was not asked and runs twice. It stays with the agents of
  // the former claim; where those have refused it or are away, nobody here can
  // say who runs it.
  request.eligible = request.formerly_eligible;
  const bool any_left =
      request.sealed_away == 0 &&
      std::ranges::any_of(request.eligible, [this](const PeerId& agent) {
        return context_.members.LinkTo(agent).has_value();
      });
  if (any_left) {
    context_.admit(request);
    return;
  }
  context_.Note(request,
                "a holder is silent and no agent of the claim is left");
  context_.conclude(request, ResultCode::kCannotVouch);
}

void OwnershipController::AskPlatform(EntryRequest& request) {
  context_.Note(request, "a holder is silent; the platform decides");
  context_.key_register.Decide(
      request.key,
      [this](const RequestKey& key, KeyRegister::Decision decision) {
        OnDecided(key, decision);
      });
}

void OwnershipController::OnDecided(const RequestKey& key,
                                    KeyRegister::Decision decision) {
  EntryRequest* request = context_.requests.FindIn(key, State::kClaiming);
  if (request == nullptr) {
    return;
  }
  const bool ours = decision == KeyRegister::Decision::kOurs;
  request->platform_granted = ours;
  // The holders keep the claim as one that nobody may take over until they hear
  // that it was decided for us; a holder with a fuller view than ours may have
  // taken it for the first, so that a refusal is told as well.
  lavenderkeel::Claim claim = OwnClaim(*request);
  claim.confirmed = ours;
  claim.standing = ours ? ClaimStanding::kPlain : ClaimStanding::kRefused;
  context_.claimer.Start(key, claim, PeerId(), /*lookup=*/false,
                         [](const RequestKey&, const ClaimVerdict&) {});
  if (ours) {
    context_.admit(*request);
    return;
  }
  context_.Note(*request, decision == KeyRegister::Decision::kTaken
                              ? "the platform has given it to another entry"
                              : "the platform does not say");
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
  request.held = claim;
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
      context_.members.LinkTo(request.held.owner);
  if (!link.has_value()) {
    // Asked when the link is up again, or recovered when the owner is lost.
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
  const Member* asker = context_.members.FindByLink(link);
  if (request->state == State::kLocating && asker != nullptr &&
      request->held.owner == asker->info.id) {
    // Each took the other's unconfirmed claim for the earlier one. Both would
    // wait for good; neither can say whether the key is unused.
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
    request->result = context_.AsFarAsKnown(*request, request->result);
  }
  context_.SendLocated(link, *request, locate.subscription);
  const bool not_run = request->state == State::kDone &&
                       Describe(request->result).outcome == Outcome::kNotRun;
  if (not_run && !locate.reads_only) {
    request->given_away = true;
  }
}

void OwnershipController::OnLocated(LinkId link, const Located& located) {
  EntryRequest* request = context_.requests.Find(FromWire(located.key));
  const Member* peer = context_.members.FindByLink(link);
  const bool expected = request != nullptr && peer != nullptr &&
                        request->state == State::kLocating &&
                        request->held.owner == peer->info.id;
  if (!expected) {
    return;
  }
  const ResultCodeInfo& info = Describe(static_cast<ResultCode>(located.code));
  if (info.outcome == Outcome::kNotRun) {
    // Forgotten or never run there; the agents have the last word.
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
  context_.Note(request, "asking " +
                             std::to_string(request.held.agents.size()) +
                             " agents of the former owner");
  context_.log.Info("request_recovering",
                    {{"key", request.key.ToString()},
                     {"former_owner", request.held.owner.ToString()},
                     {"agents", request.held.agents.size()}});
  request.state = State::kSealing;
  request.seal_lost = false;
  // Later askers outbid earlier ones, as far as clocks agree; where they don't,
  // one of the two ends as unknown.
  request.seal_ballot = static_cast<uint64_t>(
      context_.clock.WallNow().time_since_epoch().count());
  const std::vector<PeerId>& agents = request.held.agents;
  request.seal_pending = {agents.begin(), agents.end()};
  context_.requests.SetTimer(
      request, context_.clock.Now() + context_.options.seal_patience);
  for (const PeerId& agent : agents) {
    AskAgent(request, agent);
  }
  CheckSealed(request);
}

void OwnershipController::AskAgent(EntryRequest& request, const PeerId& agent) {
  const Member* member = context_.members.Find(agent.instance);
  if (member != nullptr && member->info.id.incarnation > agent.incarnation) {
    // Its successor knows nothing of what it ran.
    request.seal_pending.erase(agent);
    request.seal_lost = true;
    return;
  }
  const std::optional<LinkId> link = context_.members.LinkTo(agent);
  if (!link.has_value()) {
    context_.members.AlsoWant(agent.instance);
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
  CheckSealed(request);
}

void OwnershipController::OnOutbid(EntryRequest& request) {
  if (request.state == State::kSealing) {
    context_.Note(request, "another entry has the agents refuse the key");
    context_.conclude(request, ResultCode::kCannotVouch);
  }
}

void OwnershipController::CheckSealed(EntryRequest& request) {
  if (!request.seal_pending.empty()) {
    return;
  }
  if (request.seal_lost || request.observer) {
    context_.conclude(request, ResultCode::kOwnerSilent);
    return;
  }
  if (!request.held.confirmed) {
    context_.conclude(request, ResultCode::kCannotVouch);
    return;
  }
  context_.Note(request, "no agent has it; it did not run");
  TakeOver(request);
}

void OwnershipController::TakeOver(EntryRequest& request) {
  request.state = State::kClaiming;
  ChooseEligible(request);
  context_.claimer.Start(
      request.key, ConfirmedClaim(request), request.held.owner,
      /*lookup=*/false,
      [this](const RequestKey& key, const ClaimVerdict& verdict) {
        EntryRequest* taken = context_.requests.FindIn(key, State::kClaiming);
        if (taken == nullptr) {
          return;
        }
        if (verdict.kind == ClaimVerdict::Kind::kHeld) {
          OnHeld(*taken, verdict.claim);
        } else if (verdict.coverage == HolderCoverage::kNone) {
          // The owner may live and have further agents where we can't ask.
          context_.conclude(*taken, ResultCode::kCannotVouch);
        } else if (verdict.contested) {
          // The former owner died before it could tell that it was refused.
          AskPlatform(*taken);
        } else {
          context_.admit(*taken);
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
  // From now on others are to ask us for it.
  request.eligible = {agent};
  context_.claimer.Start(
      request.key, ConfirmedClaim(request), request.held.owner,
      /*lookup=*/false, [](const RequestKey&, const ClaimVerdict&) {});
  context_.follow(request);
  context_.NotifyWatchers(request);
}

void OwnershipController::OnSealTimer(EntryRequest& request) {
  // Any agent that stays silent may have it.
  context_.Note(request, "an agent that may have it is silent");
  context_.conclude(request, ResultCode::kOwnerSilent);
}

void OwnershipController::OnEntryUp(const PeerId& peer) {
  const auto asks_it = [&peer](const EntryRequest& request) {
    return request.state == State::kLocating && request.held.owner == peer;
  };
  for (const RequestKey& key : context_.requests.Select(asks_it)) {
    SendLocate(*context_.requests.Find(key));
  }
}

void OwnershipController::OnEntryLost(const PeerId& peer) {
  const auto asks_it = [&peer](const EntryRequest& request) {
    return request.state == State::kLocating && request.held.owner == peer;
  };
  for (const RequestKey& key : context_.requests.Select(asks_it)) {
    Recover(*context_.requests.Find(key));
  }
}

void OwnershipController::OnAgentUp(const PeerId& peer) {
  const auto asks_it = [&peer](const EntryRequest& request) {
    return request.state == State::kSealing &&
           request.seal_pending.contains(peer);
  };
  for (const RequestKey& key : context_.requests.Select(asks_it)) {
    AskAgent(*context_.requests.Find(key), peer);
  }
  const auto asks_predecessor = [&peer](const EntryRequest& request) {
    const auto first = request.seal_pending.lower_bound(
        {.instance = peer.instance, .incarnation = 0});
    return request.state == State::kSealing &&
           first != request.seal_pending.end() &&
           first->instance == peer.instance && *first < peer;
  };
  for (const RequestKey& key : context_.requests.Select(asks_predecessor)) {
    EntryRequest& request = *context_.requests.Find(key);
    std::erase_if(request.seal_pending, [&peer](const PeerId& pending) {
      return pending.instance == peer.instance && pending < peer;
    });
    request.seal_lost = true;
    CheckSealed(request);
  }
}

}  // namespace lavenderkeel
