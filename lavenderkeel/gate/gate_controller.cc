#include "lavenderkeel/gate/gate_controller.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "lavenderkeel/gate/answer_lines.h"

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
      limit_(options.in_flight),
      runs_(options.runs),
      feed_(runs_, outbox) {
  runs_.set_in_use(
      [this](const RequestKey& key) { return feed_.HasReaders(key); });
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
    // Failure: the same key is sent twice, by a retry or a second entry.
    // Symptom: it runs twice. A key that started here never starts again; the
    // sender reads the one answer.
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
           leaving_ ? ResultCode::kLeaving : ResultCode::kReservationGone);
    return;
  }
  Run& run = runs_.Add(key, clock_.Now());
  run.state = Run::State::kReady;
  run.allowed = *peer;
  run.reservation = offered->second.reservation;
  run.go = std::move(go);
  offered_.erase(offered);
  Accept(link, run.go);
  ready_[++last_ready_] = key;
  StartReady();
}

void GateController::Accept(LinkId link, const Go& go) {
  const RequestKey key = FromWire(go.key);
  Started started;
  started.key = go.key;
  outbox_.Send(link, started);
  feed_.Subscribe(link, 0, key, 0);
  if (go.subscription != 0) {
    feed_.Subscribe(link, go.subscription, key, 0);
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
    feed_.Subscribe(link, attach.subscription, key, attach.offset);
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
    // Failure: the sender asks because it believes the former owner dead; the
    // owner wakes and starts the key here. Symptom: a second run. From this
    // answer on only the asker may start it here, so "not here" stays true.
    Run& sealed = runs_.Add(key, clock_.Now());
    sealed.allowed = *peer;
  }
  NotHere reply;
  reply.key = attach.key;
  reply.subscription = attach.subscription;
  outbox_.Send(link, reply);
}

void GateController::OnAck(LinkId link, const Ack& ack) {
  feed_.Ack(link, ack.subscription, ack.offset);
}

void GateController::OnDetach(LinkId link, const Detach& detach) {
  feed_.Unsubscribe(link, detach.subscription);
}

void GateController::OnCancel(LinkId link, const Cancel& cancel) {
  const RequestKey key = FromWire(cancel.key);
  Run* run = runs_.Find(key);
  if (run == nullptr) {
    return;
  }
  if (!cancel.by_caller && feed_.HasReadersBesides(link, key)) {
    // Another entry's caller waits for the same answer.
    return;
  }
  if (run->state == Run::State::kReady) {
    std::erase_if(ready_, [&](const auto& item) { return item.second == key; });
    FinishRun(key, ResultCode::kCancelledWaiting);
  } else if (run->state == Run::State::kRunning) {
    metrics_.Add("wasted_prefill_tokens{cause=\"cancelled\"}",
                 run->reservation.prompt_tokens);
    CancelAtServer(*run);
    FinishRun(key, ResultCode::kCancelledRunning);
  }
}

void GateController::OnPolicy(const AgentPolicy& policy) {
  if (policy.version <= policy_.version) {
    return;
  }
  policy_ = policy;
  for (const uint32_t tier : policy_.closed_tiers) {
    RejectWaiting(
        queue_.Select([tier](const Reservation& r) { return r.tier == tier; }),
        ResultCode::kTierClosed);
  }
  if (policy_.drained) {
    RejectWaiting(queue_.Select([](const Reservation&) { return true; }),
                  ResultCode::kLeaving);
  }
  log_.Info("policy_in_force",
            {{"version", policy_.version},
             {"preset", policy_.preset},
             {"drained", policy_.drained ? "true" : "false"}});
  OfferSlots();
}

void GateController::RejectWaiting(const std::vector<ReservationId>& ids,
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
  feed_.DropLink(link);
  const std::optional<PeerId> peer = PeerOf(link);
  if (!peer.has_value()) {
    return;
  }
  // The entry reserves anew when it is back; a slot must not wait for it.
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

bool GateController::TierOpen(uint32_t tier) const {
  for (size_t i = 0; i < policy_.limited_tiers.size(); ++i) {
    if (policy_.limited_tiers[i] == tier && i < policy_.limits.size()) {
      return InFlightOfTier(tier) < policy_.limits[i];
    }
  }
  return true;
}

uint32_t GateController::InFlightOfTier(uint32_t tier) const {
  uint32_t count = 0;
  for (const RunId run : running_) {
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

uint32_t GateController::committed() const {
  return static_cast<uint32_t>(running_.size() + cancelling_.size() +
                               ready_.size() + offered_.size());
}

void GateController::OfferSlots() {
  if (leaving_) {
    return;
  }
  const TimePoint now = clock_.Now();
  while (committed() < limit_.limit() + options_.lookahead) {
    const Reservation* next =
        queue_.Next(now, [this](uint32_t tier) { return TierOpen(tier); });
    if (next == nullptr) {
      return;
    }
    const Reservation taken = queue_.Take(next->id());
    const Member* entry = members_.Find(taken.entry.instance);
    // A restarted entry knows nothing of its predecessor's reservations.
    if (entry == nullptr || entry->info.id != taken.entry ||
        !entry->inbound.has_value()) {
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
  while (!ready_.empty() &&
         running_.size() + cancelling_.size() < limit_.limit()) {
    // Of those accepted the most urgent first, in order of arrival in a tier.
    const auto first =
        std::ranges::min_element(ready_, {}, [this](const auto& item) {
          return std::pair(runs_.Find(item.second)->reservation.tier,
                           item.first);
        });
    const RequestKey key = first->second;
    ready_.erase(first);
    Start(key, *runs_.Find(key));
  }
}

void GateController::Start(const RequestKey& key, Run& run) {
  const TimePoint now = clock_.Now();
  run.state = Run::State::kRunning;
  run.run = ++last_run_;
  // Failure: a restarted agent counts its runs from one again and repeats the
  // id that its predecessor used for the same key. Symptom: the engine takes
  // the start for a repetition and serves the old, cancelled stream. With the
  // incarnation in it, no id comes twice.
  run.request_id = key.ToString() + "." +
                   std::to_string(members_.self().id.incarnation) + "." +
                   std::to_string(run.run);
  run.started = now;
  run.last_event = now;
  run.answer = run.go.head.empty() ? "" : run.go.head + "\n";
  runs_.BindRun(key, run.run);
  running_.insert(run.run);
  log_.Info("run_started",
            {{"key", key.ToString()},
             {"tier", run.reservation.tier},
             {"team", run.reservation.team},
             {"waited_ms", ToMilliseconds(now - run.reservation.arrived)},
             {"running", running_.size()},
             {"limit", limit_.limit()}});
  metrics_.Add("runs_started_total");
  std::string body(run.go.body.begin(), run.go.body.end());
  if (!run.go.service) {
    body = internal::WithRequestId(body, run.request_id);
  }
  outbox_.Push(ServerStart{.run = run.run,
                           .service = run.go.service,
                           .method = run.go.method,
                           .path = run.go.path,
                           .body = std::move(body)});
  run.go.body = {};
}

void GateController::OnServerText(RunId id,
                                  uint64_t index,
                                  std::string_view text) {
  Run* run = runs_.FindByRun(id);
  if (run == nullptr || run->state != Run::State::kRunning) {
    return;
  }
  const RequestKey key = *runs_.KeyOf(id);
  const TimePoint now = clock_.Now();
  if (index < run->next_index) {
    // A resumed stream may repeat what the broken one had brought.
    return;
  }
  if (index > run->next_index) {
    Resume(id, *run);
    return;
  }
  if (!run->first_token.has_value()) {
    run->first_token = now;
    speed_.ObserveFirstToken(run->reservation.prompt_tokens,
                             now - run->started);
    metrics_.Observe("first_token_seconds",
                     std::chrono::duration<double>(now - run->started).count());
  } else {
    speed_.ObserveGap(now - run->last_event);
    limit_.Observe(now - run->last_event);
  }
  run->last_event = now;
  run->resumes = 0;
  ++run->next_index;
  run->answer += internal::TextLine(text);
  if (run->answer.size() > options_.max_answer_bytes) {
    CancelAtServer(*run);
    FinishRun(key, ResultCode::kAnswerTooLarge);
    return;
  }
  feed_.OnProgress(key);
}

void GateController::OnServerFinish(RunId id, std::string_view finish_json) {
  Run* run = runs_.FindByRun(id);
  if (run == nullptr || run->state != Run::State::kRunning) {
    return;
  }
  run->answer += finish_json;
  run->answer += '\n';
  speed_.ObserveRun(clock_.Now() - run->started);
  FinishRun(RequestKey(*runs_.KeyOf(id)), ResultCode::kAnswered);
}

void GateController::OnServiceReply(RunId id,
                                    int status,
                                    std::string_view content_type,
                                    std::string_view body) {
  Run* run = runs_.FindByRun(id);
  if (run == nullptr || run->state != Run::State::kRunning) {
    return;
  }
  const RequestKey key = *runs_.KeyOf(id);
  if (body.size() > options_.max_answer_bytes) {
    FinishRun(key, ResultCode::kAnswerTooLarge);
    return;
  }
  run->answer += internal::ServiceLine(status, content_type);
  run->answer += body;
  speed_.ObserveRun(clock_.Now() - run->started);
  FinishRun(key, ResultCode::kAnswered);
}

void GateController::OnServerEnd(RunId id, ServerEnd end) {
  Run* run = runs_.FindByRun(id);
  if (run == nullptr || run->state != Run::State::kRunning) {
    return;
  }
  const RequestKey key = *runs_.KeyOf(id);
  const bool fresh = run->next_index == 0 && run->resumes == 0;
  if (end == ServerEnd::kUnreachable && fresh) {
    FinishRun(key, ResultCode::kServerUnreachable);
    return;
  }
  const bool resumable = !run->go.service && end != ServerEnd::kRefused &&
                         run->resumes < options_.max_resumes;
  if (!resumable) {
    metrics_.Add("wasted_prefill_tokens{cause=\"server_failed\"}",
                 run->reservation.prompt_tokens);
    FinishRun(key, ResultCode::kServerFailed);
    return;
  }
  // Retried from Tick, so that a server that is down is not hammered.
  run->last_event =
      clock_.Now() - options_.stream_silence +
      std::chrono::milliseconds(50) * (1 << std::min(run->resumes, 6U));
}

void GateController::Resume(RunId id, Run& run) {
  // Failure: the stream broke or went silent; the engine runs on. Symptom: a
  // cut answer, or the prompt computed twice. The engine keeps the stream, so
  // it is read on from the next event and nothing runs again.
  ++run.resumes;
  run.last_event = clock_.Now();
  metrics_.Add("stream_resumes_total");
  log_.Info("stream_resumed", {{"key", runs_.KeyOf(id)->ToString()},
                               {"from", run.next_index},
                               {"resumes", run.resumes}});
  outbox_.Push(ServerResume{
      .run = id, .request_id = run.request_id, .from = run.next_index});
}

void GateController::CancelAtServer(Run& run) {
  cancelling_[run.run] = run.reservation.tier;
  outbox_.Push(ServerCancel{
      .run = run.run, .service = run.go.service, .request_id = run.request_id});
}

void GateController::OnServerCancelled(RunId run) {
  cancelling_.erase(run);
  StartReady();
  OfferSlots();
}

void GateController::FinishRun(const RequestKey& key, ResultCode code) {
  Run& run = *runs_.Find(key);
  const RunId id = run.run;
  const bool was_running = run.state == Run::State::kRunning;
  run.state = Run::State::kFinished;
  run.code = code;
  log_.Info("run_finished",
            {{"key", key.ToString()},
             {"code", static_cast<uint32_t>(code)},
             {"result", Describe(code).name},
             {"bytes", run.answer.size()},
             {"ran_ms",
              was_running ? ToMilliseconds(clock_.Now() - run.started) : 0}});
  metrics_.Add("runs_finished_total{result=\"" +
               std::string(Describe(code).name) + "\"}");
  if (was_running) {
    running_.erase(id);
    runs_.UnbindRun(id);
  }
  feed_.OnProgress(key);
  const bool may_run_again =
      Describe(code).outcome == Outcome::kNotRun || run.reservation.repeatable;
  if (code != ResultCode::kAnswered && run.reservation.repeatable) {
    // Any entry may send it again.
    runs_.Erase(key);
  } else if (code != ResultCode::kAnswered && may_run_again) {
    // It did not run; only the entry that had it may send it again.
    const PeerId allowed = run.allowed;
    run = Run();
    run.allowed = allowed;
  } else {
    runs_.Keep(key);
  }
  StartReady();
  OfferSlots();
}

const Run* GateController::CheapestVictim(uint32_t tier) const {
  const Run* victim = nullptr;
  const auto cost = [](const Run& run) {
    // Lowest tier first, then without output yet, then least prefill.
    return std::tuple(-static_cast<int64_t>(run.reservation.tier),
                      run.next_index, run.reservation.prompt_tokens);
  };
  for (const RunId id : running_) {
    const Run* run = runs_.FindByRun(id);
    const bool eligible =
        run->reservation.repeatable && run->reservation.tier > tier;
    if (eligible && (victim == nullptr || cost(*run) < cost(*victim))) {
      victim = run;
    }
  }
  return victim;
}

void GateController::PreemptFor(const Reservation& reservation) {
  const Run* victim = CheapestVictim(reservation.tier);
  if (victim == nullptr) {
    return;
  }
  const RequestKey key = *runs_.KeyOf(victim->run);
  log_.Info("run_preempted", {{"key", key.ToString()},
                              {"tier", victim->reservation.tier},
                              {"for", reservation.key.ToString()},
                              {"for_tier", reservation.tier}});
  metrics_.Add("wasted_prefill_tokens{cause=\"preempted\"}",
               victim->reservation.prompt_tokens);
  CancelAtServer(*runs_.Find(key));
  FinishRun(key, ResultCode::kPreempted);
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
  // An entry that does not answer must not hold a slot; its request goes to
  // the end of the line and may be asked for again.
  for (Reservation& reservation : late) {
    reservation.arrived = now;
    reservation.deadline.reset();
    queue_.Add(reservation);
  }
}

void GateController::ResumeSilent(TimePoint now) {
  const std::vector<RunId> ids(running_.begin(), running_.end());
  for (const RunId id : ids) {
    Run* run = runs_.FindByRun(id);
    const bool silent = now - run->last_event > options_.stream_silence;
    if (!silent || run->go.service) {
      continue;
    }
    if (run->resumes >= options_.max_resumes) {
      FinishRun(RequestKey(*runs_.KeyOf(id)), ResultCode::kServerFailed);
    } else {
      Resume(id, *run);
    }
  }
}

void GateController::Tick() {
  const TimePoint now = clock_.Now();
  runs_.Tick(now);
  ExpireOffers(now);
  ResumeSilent(now);
  limit_.Tick(now, running());
  StartReady();
  OfferSlots();
  // Failure: lookups fill every slot when a letter check with a deadline
  // comes. Symptom: the check is refused or late while lookups run. One run is
  // given up at a time, and only work that may be repeated.
  const Reservation* next = queue_.Next(now, [](uint32_t) { return true; });
  const bool urgent = next != nullptr && next->deadline_bound &&
                      TierOpen(next->tier) &&
                      now - next->arrived >= options_.preempt_after;
  if (urgent && cancelling_.empty() &&
      offered_.size() + ready_.size() <= options_.lookahead) {
    PreemptFor(*next);
  }
}

void GateController::Leave() {
  leaving_ = true;
  RejectWaiting(queue_.Select([](const Reservation&) { return true; }),
                ResultCode::kLeaving);
  for (const auto& [id, offer] : offered_) {
    const Member* entry = members_.Find(id.second.instance);
    if (entry != nullptr && entry->inbound.has_value()) {
      Reject(*entry->inbound, id.first, 0, ResultCode::kLeaving);
    }
  }
  offered_.clear();
  // Accepted but not started yet: it did not run, and would start here only
  // after others were told that nothing new does.
  while (!ready_.empty()) {
    const RequestKey key = ready_.begin()->second;
    ready_.erase(ready_.begin());
    FinishRun(key, ResultCode::kLeaving);
  }
}

bool GateController::Idle() const {
  return running_.empty() && ready_.empty() && cancelling_.empty() &&
         !feed_.HasReaders();
}

void GateController::FillLoad(Heartbeat& heartbeat) const {
  constexpr uint32_t kTiersReported = 16;
  heartbeat.running = running();
  heartbeat.slots = limit_.limit();
  heartbeat.prefill_us = static_cast<float>(speed_.prefill_us());
  heartbeat.decode_us = static_cast<float>(speed_.decode_us());
  heartbeat.run_us = static_cast<float>(speed_.run_us());
  for (uint32_t tier = 0; tier < kTiersReported; ++tier) {
    const auto waiting = static_cast<uint32_t>(queue_.waiting(tier));
    if (waiting > 0) {
      heartbeat.waiting.resize(tier + 1);
      heartbeat.waiting[tier] = waiting;
    }
  }
  const Run* lowest = CheapestVictim(0);
  heartbeat.lower_repeatable =
      lowest == nullptr ? -1 : static_cast<int32_t>(lowest->reservation.tier);
}

}  // namespace lavenderkeel
