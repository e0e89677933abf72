#include "lavenderkeel/gate/run_controller.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "lavenderkeel/gate/answer_lines.h"

namespace lavenderkeel {

namespace {

/// Returns the time before the next resume of a broken stream.
Duration ResumeBackoff(uint32_t resumes) {
  constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
  constexpr uint32_t kMaxDoublings = 6;
  return kInitialBackoff * (1 << std::min(resumes, kMaxDoublings));
}

}  // namespace

RunController::RunController(
    Options options,
    const Clock& clock,
    const InstanceInfo& self,
    const EventLog& log,
    Metrics& metrics,
    Outbox& outbox,
    RunTable& runs,
    AnswerSubscriptions& subscriptions,
    std::function<void()> on_slot_free,
    std::function<void(ResultCode, bool)> on_unavailable)
    : options_(options),
      clock_(clock),
      self_(self),
      log_(log),
      metrics_(metrics),
      outbox_(outbox),
      runs_(runs),
      subscriptions_(subscriptions),
      on_slot_free_(std::move(on_slot_free)),
      on_unavailable_(std::move(on_unavailable)),
      limit_(options.in_flight),
      reachability_(options.reachability),
      rest_(options.rest) {}

uint32_t RunController::limit() const {
  const TimePoint now = clock_.Now();
  return std::min(
      reachability_.AllowedInFlight(limit_.limit(), now),
      rest_.AllowedInFlight(limit_.limit(),
                            static_cast<uint32_t>(occupied_slots()), now));
}

void RunController::Start(const RequestKey& key, Run& run) {
  const TimePoint now = clock_.Now();
  run.state = Run::State::kRunning;
  run.run = ++last_run_;
  // A restarted agent counts its runs from one again and could repeat the id
  // that its former incarnation used for the same key. The engine would treat
  // the start as a repetition and serve the old, cancelled stream; the
  // incarnation in the id prevents that.
  run.request_id = key.ToString() + "." + std::to_string(self_.id.incarnation) +
                   "." + std::to_string(run.run);
  run.started = now;
  run.last_event = now;
  run.server_life = server_life_;
  run.answer = run.go.head.empty() ? "" : run.go.head + "\n";
  runs_.BindRun(key, run.run);
  running_.insert(run.run);
  rest_.OnStarted(run.run, now);
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
    body = internal::AddRequestId(body, run.request_id);
  }
  outbox_.Push(ServerStart{.run = run.run,
                           .service = run.go.service,
                           .method = run.go.method,
                           .path = run.go.path,
                           .body = std::move(body)});
  run.go.body = {};
}

bool RunController::OnServerText(RunId id,
                                 uint64_t index,
                                 std::string_view text) {
  Run* run = runs_.FindByRun(id);
  if (run == nullptr || run->state != Run::State::kRunning) {
    return false;
  }
  reachability_.OnAnswered();
  rest_.OnAccepted(id);
  const RequestKey key = *runs_.KeyOf(id);
  const TimePoint now = clock_.Now();
  if (index < run->next_index) {
    // A resumed stream may repeat events that arrived before the break.
    return true;
  }
  if (index > run->next_index) {
    ResumeOrFail(id, *run);
    return false;
  }
  if (!run->first_token.has_value()) {
    run->first_token = now;
    speed_.ObserveFirstToken(run->reservation.prompt_tokens,
                             now - run->started);
    metrics_.Observe("first_token_seconds", ToSeconds(now - run->started));
  } else {
    speed_.ObserveGap(now - run->last_event);
    limit_.Observe(now - run->last_event);
  }
  run->last_event = now;
  run->resumes = 0;
  run->unreachable_resumes = 0;
  ++run->next_index;
  run->answer += internal::FormatTextLine(text);
  if (run->answer.size() > options_.max_answer_bytes) {
    Cancel(*run);
    Finish(key, ResultCode::kAnswerTooLarge);
    return false;
  }
  subscriptions_.OnProgress(key);
  return true;
}

void RunController::OnServerFinish(RunId id, std::string_view finish_json) {
  Run* run = runs_.FindByRun(id);
  if (run == nullptr || run->state != Run::State::kRunning) {
    return;
  }
  reachability_.OnAnswered();
  rest_.OnAccepted(id);
  // An engine may stall and then send its finish without the texts in between,
  // which would pass a partial answer on as complete. The engine's own count
  // shows that texts are missing, and the stream is resumed from there.
  const std::optional<uint64_t> count =
      internal::ParseCompletionTokens(finish_json);
  if (count.has_value() && *count > run->next_index) {
    ResumeOrFail(id, *run);
    return;
  }
  run->answer += finish_json;
  run->answer += '\n';
  speed_.ObserveRun(clock_.Now() - run->started);
  Finish(RequestKey(*runs_.KeyOf(id)), ResultCode::kAnswered);
}

void RunController::OnServiceReply(RunId id,
                                   int status,
                                   std::string_view content_type,
                                   std::string_view body) {
  Run* run = runs_.FindByRun(id);
  if (run == nullptr || run->state != Run::State::kRunning) {
    return;
  }
  reachability_.OnAnswered();
  rest_.OnAccepted(id);
  const RequestKey key = *runs_.KeyOf(id);
  if (body.size() > options_.max_answer_bytes) {
    Finish(key, ResultCode::kAnswerTooLarge);
    return;
  }
  run->answer += internal::FormatServiceLine(status, content_type);
  run->answer += body;
  speed_.ObserveRun(clock_.Now() - run->started);
  Finish(key, ResultCode::kAnswered);
}

void RunController::UpdateReachability(ServerDisconnect end) {
  if (end != ServerDisconnect::kUnreachable) {
    return;
  }
  const bool first = !reachability_.IsRefusing();
  reachability_.OnRefused(clock_.Now());
  if (first) {
    log_.Warn("server_unreachable",
              {{"instance", self_.id.instance}, {"running", running_.size()}});
    on_unavailable_(ResultCode::kServerUnreachable, /*was_limited=*/false);
  }
}

void RunController::BeginRest(RunId id,
                              const std::vector<std::string>& retry_after) {
  const TimePoint now = clock_.Now();
  const bool was_resting = rest_.IsResting(now);
  const bool was_limited = limited();
  const ServerRest::Pushback pushback = rest_.OnRefused(retry_after, now);
  const RequestKey* key = runs_.KeyOf(id);
  log_.Info("server_pushback",
            {{"server", self_.id.instance},
             {"seconds", ToSeconds(pushback.rest)},
             {"source", pushback.is_stated ? "retry_after" : "default"},
             {"rest_ms", ToMilliseconds(rest_.Remaining(now))},
             {"key", key == nullptr ? "" : key->ToString()},
             {"running", running_.size()}});
  metrics_.Add("server_pushbacks_total");
  if (!was_resting && rest_.IsResting(now)) {
    on_unavailable_(ResultCode::kServerPushback, was_limited);
  }
}

void RunController::OnServerPushback(
    RunId id,
    const std::vector<std::string>& retry_after) {
  reachability_.OnAnswered();
  BeginRest(id, retry_after);
  Run* run = runs_.FindByRun(id);
  if (run == nullptr || run->state != Run::State::kRunning) {
    return;
  }
  const RequestKey key = *runs_.KeyOf(id);
  if (run->next_index == 0 && run->resumes == 0) {
    ConfirmRefusal(*run);
    return;
  }
  // The refusal of a resume says nothing about the run itself, which may
  // continue: it is read on after a short rest.
  const TimePoint now = clock_.Now();
  const Duration rest = rest_.Remaining(now);
  if (rest > options_.stream_silence) {
    metrics_.Add("wasted_prefill_tokens{cause=\"server_failed\"}",
                 run->reservation.prompt_tokens);
    Finish(key, ResultCode::kServerFailed);
    return;
  }
  run->unreachable_resumes = 0;
  run->last_event = now - options_.stream_silence +
                    std::max(rest, ResumeBackoff(run->resumes));
}

void RunController::ConfirmRefusal(Run& run) {
  // The status does not show that the engine runs the request no more: an
  // engine that fails on the way may answer with it, too. Its statement on the
  // request does.
  run.awaits_confirmation = true;
  outbox_.Push(ServerCancel{.run = run.run, .request_id = run.request_id});
}

void RunController::OnServicePushback(
    RunId id,
    const std::vector<std::string>& retry_after) {
  BeginRest(id, retry_after);
}

void RunController::OnServerDisconnect(RunId id, ServerDisconnect end) {
  UpdateReachability(end);
  Run* run = runs_.FindByRun(id);
  if (run == nullptr || run->state != Run::State::kRunning) {
    return;
  }
  const RequestKey key = *runs_.KeyOf(id);
  if (end == ServerDisconnect::kUnreadable) {
    log_.Warn("event_unreadable", {{"key", key.ToString()},
                                   {"server", self_.id.instance},
                                   {"from", run->next_index},
                                   {"resumes", run->resumes}});
    metrics_.Add("server_events_unreadable_total");
  }
  const bool nothing_received = run->next_index == 0 && run->resumes == 0;
  if (end == ServerDisconnect::kUnreachable && nothing_received) {
    Finish(key, ResultCode::kServerUnreachable);
    return;
  }
  run->unreachable_resumes =
      end == ServerDisconnect::kUnreachable ? run->unreachable_resumes + 1 : 0;
  if (HasEngineEnded(*run, end)) {
    server_life_ = std::max(server_life_, run->server_life + 1);
    metrics_.Add("wasted_prefill_tokens{cause=\"server_crashed\"}",
                 run->reservation.prompt_tokens);
    Finish(key, ResultCode::kServerCrashed);
    return;
  }
  const bool resumable = !run->go.service &&
                         end != ServerDisconnect::kRefused &&
                         run->resumes < options_.max_resumes;
  if (!resumable) {
    metrics_.Add("wasted_prefill_tokens{cause=\"server_failed\"}",
                 run->reservation.prompt_tokens);
    Finish(key, ResultCode::kServerFailed);
    return;
  }
  // Tick() resumes the stream after a backoff, so that a server that is down
  // isn't flooded with connections.
  run->last_event =
      clock_.Now() - options_.stream_silence + ResumeBackoff(run->resumes);
}

bool RunController::HasEngineEnded(const Run& run, ServerDisconnect end) const {
  if (run.go.service || run.resumes == 0) {
    return false;
  }
  // An engine that no longer has a stream that it ran has restarted since.
  return end == ServerDisconnect::kRefused ||
         run.unreachable_resumes >= options_.refusals_until_ended;
}

void RunController::ResumeOrFail(RunId id, Run& run) {
  if (run.resumes < options_.max_resumes) {
    Resume(id, run);
  } else {
    Finish(RequestKey(*runs_.KeyOf(id)), ResultCode::kServerFailed);
  }
}

void RunController::Resume(RunId id, Run& run) {
  // The stream broke or stalled while the engine runs on. The engine keeps the
  // stream, so reading continues at the next event: the answer isn't cut off,
  // and the prompt isn't computed twice.
  ++run.resumes;
  run.last_event = clock_.Now();
  metrics_.Add("stream_resumes_total");
  log_.Info("stream_resumed", {{"key", runs_.KeyOf(id)->ToString()},
                               {"from", run.next_index},
                               {"resumes", run.resumes}});
  outbox_.Push(ServerResume{
      .run = id, .request_id = run.request_id, .from = run.next_index});
}

void RunController::Cancel(Run& run) {
  cancelling_.insert(run.run);
  outbox_.Push(ServerCancel{
      .run = run.run, .service = run.go.service, .request_id = run.request_id});
}

void RunController::OnServerCancelled(RunId id, CancelResult result) {
  cancelling_.erase(id);
  const Run* run = runs_.FindByRun(id);
  if (run == nullptr || !run->awaits_confirmation) {
    on_slot_free_();
    return;
  }
  const bool is_refusal = result == CancelResult::kUnknown;
  const RequestKey key = *runs_.KeyOf(id);
  log_.Info("refusal_checked",
            {{"key", key.ToString()},
             {"server", self_.id.instance},
             {"proved", is_refusal ? 1 : 0},
             {"answered", result == CancelResult::kNoAnswer ? 0 : 1}});
  Finish(key,
         is_refusal ? ResultCode::kServerPushback : ResultCode::kServerFailed);
}

void RunController::Finish(const RequestKey& key, ResultCode code) {
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
    rest_.OnEnded(id);
    running_.erase(id);
    runs_.UnbindRun(id);
  }
  subscriptions_.OnProgress(key);
  const bool may_run_again =
      Describe(code).outcome == Outcome::kNotRun || run.reservation.repeatable;
  if (code != ResultCode::kAnswered && run.reservation.repeatable) {
    // Any entry may send the request again.
    runs_.Erase(key);
  } else if (code != ResultCode::kAnswered && may_run_again) {
    // The request did not run; only the entry that sent it may send it again.
    const PeerId allowed = run.allowed;
    const uint64_t ballot = run.ballot;
    run = Run();
    run.allowed = allowed;
    run.ballot = ballot;
  } else {
    runs_.RetainAnswer(key);
  }
  on_slot_free_();
}

const Run* RunController::FindCheapestVictim(uint32_t tier) const {
  const Run* victim = nullptr;
  const auto cost = [](const Run& run) {
    // Lowest tier first, then runs without output, then the fewest prompt
    // tokens.
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

void RunController::PreemptFor(const Reservation& reservation) {
  const Run* victim = FindCheapestVictim(reservation.tier);
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
  Cancel(*runs_.Find(key));
  Finish(key, ResultCode::kPreempted);
}

void RunController::ResumeStalledStreams(TimePoint now) {
  const std::vector<RunId> ids(running_.begin(), running_.end());
  for (const RunId id : ids) {
    Run* run = runs_.FindByRun(id);
    const bool stalled = now - run->last_event > options_.stream_silence;
    if (!stalled || run->go.service || run->awaits_confirmation) {
      continue;
    }
    ResumeOrFail(id, *run);
  }
}

void RunController::Tick(TimePoint now) {
  ResumeStalledStreams(now);
  limit_.Tick(now, static_cast<uint32_t>(running_.size()));
}

void RunController::FillLoad(Heartbeat& heartbeat) const {
  heartbeat.running = static_cast<uint32_t>(running_.size());
  heartbeat.slots = limit();
  heartbeat.pushback_us = rest_.Remaining(clock_.Now()).count();
  heartbeat.prefill_us = static_cast<float>(speed_.prefill_us());
  heartbeat.decode_us = static_cast<float>(speed_.decode_us());
  heartbeat.run_us = static_cast<float>(speed_.run_us());
  const Run* lowest = FindCheapestVictim(0);
  heartbeat.lower_repeatable =
      lowest == nullptr ? -1 : static_cast<int32_t>(lowest->reservation.tier);
}

}  // namespace lavenderkeel
