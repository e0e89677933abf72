#include "lavenderkeel/gate/gate_controller.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lavenderkeel {

GateController::GateController(Options options,
                               const Clock& clock,
                               const MemberTable& members,
                               const EventLog& log,
                               Metrics& metrics,
                               Outbox& outbox)
    : options_(options),
      clock_(clock),
      members_(members),
      log_(log),
      metrics_(metrics),
      outbox_(outbox),
      queue_(options.queue),
      runs_(options.runs),
      subscriptions_(runs_, outbox),
      server_(
          options.server,
          clock,
          members.self(),
          log,
          metrics,
          outbox,
          runs_,
          subscriptions_,
          [this] {
            StartReady();
            OfferSlots();
          },
          [this](ResultCode code, bool was_limited) {
            // The entries must receive the load report without slots before the
            // returned requests, which they place again.
            signal_unavailable_.emit();
            if (code == ResultCode::kServerPushback) {
              // A Go for a slot offered before the rest is rejected: accepted,
              // its request would wait here until the rest is over.
              offered_.clear();
            }
            ReturnReady(code);
            // Reservations that were made with a server that is still limited
            // stay: returned after each of many short rests, they would be
            // placed here again each time.
            if (!was_limited) {
              ReturnReservations(code);
            }
          }) {
  runs_.set_in_use(
      [this](const RequestKey& key) { return subscriptions_.HasReaders(key); });
}

std::optional<PeerId> GateController::PeerOf(LinkId link) const {
  const Member* member = members_.FindByLink(link);
  return member == nullptr ? std::nullopt : std::optional(member->info.id);
}

void GateController::Reject(LinkId link,
                            const RequestKey& key,
                            uint64_t subscription,
                            ResultCode code) {
  Rejected rejected;
  rejected.key = ToWire(key);
  rejected.subscription = subscription;
  rejected.code = static_cast<uint32_t>(code);
  outbox_.Send(link, rejected);
  metrics_.Add("rejected_total{reason=\"" + std::string(Describe(code).name) +
               "\"}");
}

void GateController::OnReserve(LinkId link, const Reserve& reserve) {
  const std::optional<PeerId> peer = PeerOf(link);
  const RequestKey key = FromWire(reserve.key);
  if (!peer.has_value()) {
    return;
  }
  const bool closed = std::ranges::find(policy_.closed_tiers, reserve.tier) !=
                      policy_.closed_tiers.end();
  if (leaving_ || policy_.drained) {
    Reject(link, key, 0, ResultCode::kLeaving);
    return;
  }
  if (closed) {
    Reject(link, key, 0, ResultCode::kTierClosed);
    return;
  }
  if (queue_.size() >= options_.max_waiting) {
    Reject(link, key, 0, ResultCode::kOverloaded);
    return;
  }
  const TimePoint now = clock_.Now();
  Reservation reservation{.key = key,
                          .entry = *peer,
                          .team = reserve.team,
                          .weight = std::max(0.001F, reserve.weight),
                          .tier = reserve.tier,
                          .deadline = std::nullopt,
                          .prompt_tokens = reserve.prompt_tokens,
                          .max_tokens = reserve.max_tokens,
                          .repeatable = reserve.repeatable,
                          .deadline_bound = reserve.deadline_bound,
                          .arrived = now};
  if (reserve.deadline_ms >= 0) {
    reservation.deadline = now + std::chrono::milliseconds(reserve.deadline_ms);
  }
  offered_.erase(reservation.id());
  queue_.Add(reservation);
  OfferSlots();
}

void GateController::OnWithdraw(LinkId link, const Withdraw& withdraw) {
  const std::optional<PeerId> peer = PeerOf(link);
  if (!peer.has_value()) {
    return;
  }
  const ReservationId id = {FromWire(withdraw.key), *peer};
  queue_.Remove(id);
  if (offered_.erase(id) > 0) {
    OfferSlots();
  }
}

void GateController::OnGo(LinkId link, Go go) {
  const std::optional<PeerId> peer = PeerOf(link);
  const RequestKey key = FromWire(go.key);
  if (!peer.has_value()) {
    return;
  }
  Run* known = runs_.Find(key);
  if (known != nullptr && known->started_here()) {
    // The key is sent twice by a retry or by a second entry. A key that has
    // started here never starts again: the sender reads the existing answer, or
    // the key would run twice.
    offered_.erase({key, *peer});
    Accept(link, go);
    OfferSlots();
    return;
  }
  if (known != nullptr && known->allowed != *peer) {
    Reject(link, key, go.subscription, ResultCode::kSealed);
    return;
  }
  const auto offered = offered_.find({key, *peer});
  const bool reserved = offered != offered_.end();
  if (!reserved || leaving_) {
    Reject(link, key, go.subscription,
           leaving_            ? ResultCode::kLeaving
           : server_.resting() ? ResultCode::kServerPushback
                               : ResultCode::kReservationGone);
    return;
  }
  Run& run = runs_.Add(key, clock_.Now());
  run.state = Run::State::kReady;
  run.allowed = *peer;
  run.reservation = offered->second.reservation;
  run.go = std::move(go);
  offered_.erase(offered);
  Accept(link, run.go);
  ready_[++last_ready_number_] = key;
  StartReady();
}

void GateController::Accept(LinkId link, const Go& go) {
  const RequestKey key = FromWire(go.key);
  Started started;
  started.key = go.key;
  outbox_.Send(link, started);
  subscriptions_.Subscribe(link, 0, key, 0);
  if (go.subscription != 0) {
    subscriptions_.Subscribe(link, go.subscription, key, 0);
  }
}

void GateController::OnAttach(LinkId link, const Attach& attach) {
  const std::optional<PeerId> peer = PeerOf(link);
  const RequestKey key = FromWire(attach.key);
  if (!peer.has_value()) {
    return;
  }
  Run* run = runs_.Find(key);
  if (run != nullptr && run->started_here()) {
    if (attach.seal) {
      run->allowed = *peer;
    }
    if (attach.subscription == 0) {
      Started started;
      started.key = attach.key;
      outbox_.Send(link, started);
    }
    subscriptions_.Subscribe(link, attach.subscription, key, attach.offset);
    return;
  }
  if (run == nullptr && runs_.MayHaveForgotten(key)) {
    Finished finish;
    finish.key = attach.key;
    finish.subscription = attach.subscription;
    finish.code = static_cast<uint32_t>(ResultCode::kAnswerGone);
    outbox_.Send(link, finish);
    return;
  }
  if (attach.seal) {
    // Two entries without a connection to each other may both query all agents
    // for the key, and each may be the last to query some of them. Without an
    // order both would get NotHere everywhere and both would start the key. The
    // higher ballot wins at every agent, so the entry with the lower one is
    // rejected by at least one agent, here or when it sends Go.
    if (run != nullptr && run->allowed != *peer &&
        std::pair(attach.ballot, *peer) <
            std::pair(run->ballot, run->allowed)) {
      Reject(link, key, attach.subscription, ResultCode::kSealed);
      return;
    }
    // The sender presumes the former owner lost. That owner may resume and send
    // Go, which would be a second run: after this reply only the sender may
    // start the key here, so that NotHere stays true.
    Run& sealed = runs_.Add(key, clock_.Now());
    sealed.allowed = *peer;
    sealed.ballot = attach.ballot;
  }
  NotHere reply;
  reply.key = attach.key;
  reply.subscription = attach.subscription;
  outbox_.Send(link, reply);
}

void GateController::OnAck(LinkId link, const Ack& ack) {
  subscriptions_.Ack(link, ack.subscription, ack.offset);
}

void GateController::OnDetach(LinkId link, const Detach& detach) {
  subscriptions_.Unsubscribe(link, detach.subscription);
}

void GateController::OnCancel(LinkId link, const Cancel& cancel) {
  const RequestKey key = FromWire(cancel.key);
  Run* run = runs_.Find(key);
  if (run == nullptr) {
    return;
  }
  if (!cancel.by_caller && subscriptions_.HasReadersBesides(link, key)) {
    // A caller at another entry waits for the same answer.
    return;
  }
  if (run->state == Run::State::kReady) {
    std::erase_if(ready_, [&](const auto& item) { return item.second == key; });
    server_.Finish(key, ResultCode::kCancelledWaiting);
  } else if (run->state == Run::State::kRunning) {
    metrics_.Add("wasted_prefill_tokens{cause=\"cancelled\"}",
                 run->reservation.prompt_tokens);
    server_.Cancel(*run);
    server_.Finish(key, ResultCode::kCancelledRunning);
  }
}

void GateController::OnPolicy(const AgentPolicy& policy) {
  if (policy.version <= policy_.version) {
    return;
  }
  policy_ = policy;
  for (const uint32_t tier : policy_.closed_tiers) {
    RejectReservations(
        queue_.Select([tier](const Reservation& r) { return r.tier == tier; }),
        ResultCode::kTierClosed);
  }
  if (policy_.drained) {
    ReturnReservations(ResultCode::kLeaving);
  }
  log_.Info("policy_in_force",
            {{"version", policy_.version},
             {"preset", policy_.preset},
             {"drained", policy_.drained ? "true" : "false"}});
  OfferSlots();
}

void GateController::RejectReservations(const std::vector<ReservationId>& ids,
                                        ResultCode code) {
  for (const ReservationId& id : ids) {
    queue_.Remove(id);
    const Member* entry = members_.Find(id.second.instance);
    if (entry != nullptr && entry->inbound.has_value()) {
      Reject(*entry->inbound, id.first, 0, code);
    }
  }
}

void GateController::OnLinkDown(LinkId link) {
  subscriptions_.DropLink(link);
  const std::optional<PeerId> peer = PeerOf(link);
  if (!peer.has_value()) {
    return;
  }
  // The entry reserves again after it reconnects; no slot is kept for it until
  // then.
  const auto of_peer = [&peer](const Reservation& reservation) {
    return reservation.entry == *peer;
  };
  for (const ReservationId& id : queue_.Select(of_peer)) {
    queue_.Remove(id);
  }
  std::erase_if(offered_, [&](const auto& item) {
    return of_peer(item.second.reservation);
  });
  OfferSlots();
}

bool GateController::IsBelowTierLimit(uint32_t tier) const {
  for (size_t i = 0; i < policy_.limited_tiers.size(); ++i) {
    if (policy_.limited_tiers[i] == tier && i < policy_.limits.size()) {
      return CountInFlight(tier) < policy_.limits[i];
    }
  }
  return true;
}

uint32_t GateController::CountInFlight(uint32_t tier) const {
  uint32_t count = 0;
  for (const RunId run : server_.running()) {
    count += runs_.FindByRun(run)->reservation.tier == tier;
  }
  for (const auto& [id, offer] : offered_) {
    count += offer.reservation.tier == tier;
  }
  for (const auto& [number, key] : ready_) {
    count += runs_.Find(key)->reservation.tier == tier;
  }
  return count;
}

uint32_t GateController::CommittedSlots() const {
  return static_cast<uint32_t>(server_.occupied_slots() + ready_.size() +
                               offered_.size());
}

uint32_t GateController::MaxCommittedSlots() const {
  // The lookahead would offer a slot that the server does not have, and the
  // request would wait here while other servers have free slots.
  return server_.limited() ? server_.limit()
                           : server_.limit() + options_.lookahead;
}

void GateController::ReturnReservations(ResultCode code) {
  RejectReservations(queue_.Select([](const Reservation&) { return true; }),
                     code);
}

void GateController::ReturnReady(ResultCode code) {
  while (!ready_.empty()) {
    const RequestKey key = ready_.begin()->second;
    ready_.erase(ready_.begin());
    server_.Finish(key, code);
  }
}

void GateController::OfferSlots() {
  if (leaving_) {
    return;
  }
  const TimePoint now = clock_.Now();
  while (CommittedSlots() < MaxCommittedSlots()) {
    const Reservation* next = queue_.Next(
        now, [this](uint32_t tier) { return IsBelowTierLimit(tier); });
    if (next == nullptr) {
      return;
    }
    const Reservation taken = queue_.Dequeue(next->id());
    const Member* entry = members_.Find(taken.entry);
    // A restarted entry doesn't know the reservations of its former
    // incarnation.
    if (entry == nullptr || !entry->inbound.has_value()) {
      continue;
    }
    offered_[taken.id()] = {.reservation = taken,
                            .expires = now + options_.offer_timeout};
    SlotOffer offer;
    offer.key = ToWire(taken.key);
    outbox_.Send(*entry->inbound, offer);
  }
}

void GateController::StartReady() {
  while (!ready_.empty() && server_.occupied_slots() < server_.limit()) {
    // Highest tier first, in order of arrival within a tier.
    const auto first =
        std::ranges::min_element(ready_, {}, [this](const auto& item) {
          return std::pair(runs_.Find(item.second)->reservation.tier,
                           item.first);
        });
    const RequestKey key = first->second;
    ready_.erase(first);
    server_.Start(key, *runs_.Find(key));
  }
}

void GateController::ExpireOffers(TimePoint now) {
  std::vector<Reservation> late;
  std::erase_if(offered_, [&](const auto& item) {
    const bool expired = item.second.expires <= now;
    if (expired) {
      late.push_back(item.second.reservation);
    }
    return expired;
  });
  // An entry that doesn't answer must not hold a slot. Its reservation moves to
  // the end of the queue, from where it may be offered a slot again.
  for (Reservation& reservation : late) {
    reservation.arrived = now;
    reservation.deadline.reset();
    queue_.Add(reservation);
  }
}

void GateController::Tick() {
  const TimePoint now = clock_.Now();
  runs_.Tick(now);
  ExpireOffers(now);
  server_.Tick(now);
  StartReady();
  OfferSlots();
  // Long-running lookups may occupy every slot when a deadline-bound request
  // arrives, which would then be refused or late. One run is cancelled at a
  // time, and only a repeatable one.
  const Reservation* next = queue_.Next(now, [](uint32_t) { return true; });
  const bool urgent = next != nullptr && next->deadline_bound &&
                      !server_.resting() && IsBelowTierLimit(next->tier) &&
                      now - next->arrived >= options_.preempt_after;
  if (urgent && !server_.cancelling() &&
      offered_.size() + ready_.size() <= options_.lookahead) {
    server_.PreemptFor(*next);
  }
}

void GateController::Leave() {
  leaving_ = true;
  // An accepted run must not start after the entries were notified that this
  // agent starts no more work.
  ReturnReservations(ResultCode::kLeaving);
  ReturnReady(ResultCode::kLeaving);
  for (const auto& [id, offer] : offered_) {
    const Member* entry = members_.Find(id.second.instance);
    if (entry != nullptr && entry->inbound.has_value()) {
      Reject(*entry->inbound, id.first, 0, ResultCode::kLeaving);
    }
  }
  offered_.clear();
}

bool GateController::Idle() const {
  return server_.occupied_slots() == 0 && ready_.empty() &&
         !subscriptions_.HasReaders();
}

void GateController::FillLoad(Heartbeat& heartbeat) const {
  constexpr uint32_t kTiersReported = 16;
  server_.FillLoad(heartbeat);
  for (uint32_t tier = 0; tier < kTiersReported; ++tier) {
    const auto waiting = static_cast<uint32_t>(queue_.waiting_count(tier));
    if (waiting > 0) {
      heartbeat.waiting.resize(tier + 1);
      heartbeat.waiting[tier] = waiting;
    }
  }
}

}  // namespace lavenderkeel
