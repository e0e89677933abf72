#include "lavenderkeel/forward/request_log.h"

#include <vector>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

std::string FirstOf(const std::vector<std::string>& values) {
  return values.empty() ? std::string() : values.front();
}

bool IsStated(const AnswerStatements& answer) {
  return answer.not_run == AnswerStatements::NotRun::kStated;
}

}  // namespace

void RequestLog::OnSend(const ForwardedRequest& request,
                        const BackendServer& server,
                        const std::string& scheduler,
                        const SlotGrant& grant) const {
  const TimePoint now = clock_.Now();
  log_.Info("send", {{"id", request.metadata.request_id},
                     {"server", server.start_key()},
                     {"version", server.version},
                     {"attempt", request.tried.size() + 1},
                     {"retry", request.runs.arrivals() > 0 ? 1 : 0},
                     {"gate", scheduler},
                     {"config_version", request.table->version()},
                     {"priority", request.priority},
                     {"in_flight", grant.in_flight},
                     {"pace_ms", grant.pace_ms},
                     {"waited_ms", ToMilliseconds(now - request.waiting_since)},
                     {"left_ms", ToMilliseconds(request.due - now)}});
  if (request.runs.arrivals() > 0) {
    metrics_.Add("retries_sent{service=\"" + request.service + "\"}");
  }
}

void RequestLog::OnRejection(const ForwardedRequest& request,
                             const AnswerStatements& answer,
                             bool fresh) const {
  log_.Info("rejection", {{"id", request.metadata.request_id},
                          {"server", request.server},
                          {"status", answer.status},
                          {"stated", IsStated(answer) ? 1 : 0},
                          {"sealed", answer.sealed ? 1 : 0},
                          {"answers", FirstOf(answer.request_ids)},
                          {"fresh", fresh ? 1 : 0}});
}

void RequestLog::OnForeignAnswer(const ForwardedRequest& request,
                                 const AnswerStatements& answer) const {
  log_.Warn("foreign_answer", {{"id", request.metadata.request_id},
                               {"server", request.server},
                               {"answers", FirstOf(answer.request_ids)}});
  metrics_.Add("foreign_answers");
}

void RequestLog::OnInvalidAnswer(const ForwardedRequest& request,
                                 const AnswerStatements& answer,
                                 std::string_view fault) const {
  log_.Warn("answer_invalid", {{"id", request.metadata.request_id},
                               {"server", request.server},
                               {"status", answer.status},
                               {"fault", fault},
                               {"stated", IsStated(answer) ? 1 : 0},
                               {"sealed", answer.sealed ? 1 : 0},
                               {"ids", answer.request_ids.size()},
                               {"answered_by", FirstOf(answer.server_ids)}});
  metrics_.Add("answers_invalid{fault=\"" + std::string(fault) + "\"}");
}

void RequestLog::OnAnswerWithheld(const ForwardedRequest& request) const {
  const int status = request.answer_head->status;
  log_.Warn("answer_withheld",
            {{"id", request.metadata.request_id},
             {"server", request.server},
             {"status", status},
             {"after_ms", ToMilliseconds(clock_.Now() - request.sent_at)}});
  metrics_.Add("answers_withheld{status=\"" + std::to_string(status) + "\"}");
}

void RequestLog::OnAttemptFailed(const ForwardedRequest& request,
                                 AttemptFailure failure) const {
  log_.Info("attempt_failed",
            {{"id", request.metadata.request_id},
             {"fingerprint", request.traits.fingerprint},
             {"parts", JoinPromptParts(request.metadata.prompt_parts)},
             {"server", request.server},
             {"failure", AttemptFailureName(failure)},
             {"after_ms", ToMilliseconds(clock_.Now() - request.sent_at)},
             {"events", request.event_count}});
  metrics_.Add(std::string("attempts_failed{failure=\"") +
               AttemptFailureName(failure) + "\"}");
}

void RequestLog::OnReplacement(const ForwardedRequest& request,
                               std::string_view outcome) const {
  log_.Info(
      "replacement",
      {{"id", request.metadata.request_id},
       {"server", request.server},
       {"outcome", outcome},
       {"silent_ms", ToMilliseconds(clock_.Now() - request.last_received_at)},
       {"events", request.event_count}});
  metrics_.Add("replacements{outcome=\"" + std::string(outcome) + "\"}");
}

void RequestLog::OnRetryDecision(const ForwardedRequest& request,
                                 RetryRefusal refusal,
                                 const RetryUsage& usage,
                                 const ShareState& share) const {
  const bool allowed = refusal == RetryRefusal::kNone;
  log_.Info(allowed ? "retry" : "no_retry",
            {{"id", request.metadata.request_id},
             {"service", request.service},
             {"server", request.server},
             {"reason", RetryRefusalName(refusal)},
             {"attempts", request.tried.size()},
             {"runs", request.runs.count()},
             {"used", usage.retries},
             {"bound", usage.bound},
             {"requests", usage.requests},
             {"extra", usage.extra},
             {"extra_left", usage.extra_left},
             {"borrowed", request.borrowed_until.has_value() ? 1 : 0},
             {"sharing_entries", share.entries},
             {"share", ShareStatusName(share.status)},
             {"left_ms", ToMilliseconds(request.due - clock_.Now())}});
  metrics_.Add(allowed ? "retries{service=\"" + request.service + "\"}"
                       : std::string("retries_refused{reason=\"") +
                             RetryRefusalName(refusal) + "\"}");
  if (request.borrowed_until.has_value()) {
    metrics_.Add("retries_borrowed{service=\"" + request.service + "\"}");
  }
}

void RequestLog::OnRetriesLent(const std::string& borrower,
                               const RetryLoanRequest& request,
                               int lent,
                               const RetryUsage& usage) const {
  log_.Info("retries_lent", {{"service", request.service},
                             {"to", borrower},
                             {"wanted", request.retries},
                             {"lent", lent},
                             {"used", usage.retries},
                             {"bound", usage.bound},
                             {"extra", usage.extra}});
  metrics_.Add("retries_lent{service=\"" + request.service + "\"}",
               static_cast<uint64_t>(lent));
}

void RequestLog::OnEnd(const ForwardedRequest& request,
                       std::string_view outcome,
                       int status,
                       const std::string& scheduler) const {
  const TimePoint now = clock_.Now();
  // Counted from the last attempt; -1 without an event.
  const int64_t first_event_ms =
      request.event_count == 0
          ? -1
          : ToMilliseconds(request.first_event_at - request.sent_at);
  // Time waited for a slot that was not granted; else 0.
  const int64_t waiting_ms =
      request.state == ForwardedRequest::State::kWaiting && request.attempt != 0
          ? ToMilliseconds(now - request.waiting_since)
          : 0;
  log_.Info(
      "end",
      {{"id", request.metadata.request_id},
       {"fingerprint", request.traits.fingerprint},
       {"parts", JoinPromptParts(request.metadata.prompt_parts)},
       {"outcome", outcome},
       {"status", status},
       {"route", request.route == nullptr ? "" : request.route->name},
       {"team", request.team},
       {"config_version", request.table->version()},
       {"attempts", request.tried.size()},
       {"runs", request.runs.count()},
       {"evidence", request.runs.ToString()},
       {"events", request.event_count},
       {"prompt_tokens", request.metadata.prompt_tokens},
       {"body_bytes", request.body->size()},
       {"most_output_tokens", request.metadata.output_tokens},
       {"expected_output_tokens", request.metadata.expected_output_tokens},
       {"server", request.server},
       {"gate", scheduler},
       {"slot_request", request.attempt},
       {"team_hash", request.team.empty() ? 0 : HashBytes(request.team)},
       {"waiting_ms", waiting_ms},
       {"first_event_ms", first_event_ms},
       {"longest_pause_ms", ToMilliseconds(request.longest_pause)},
       {"took_ms", ToMilliseconds(now - request.arrived)}});
  metrics_.Add("ended{outcome=\"" + std::string(outcome) + "\"}");
  metrics_.Observe("request_seconds", ToSeconds(now - request.arrived));
}

void RequestLog::OnHeldBack(const ForwardedRequest& request) const {
  const std::vector<const BackendServer*> servers =
      directory_.Usable(request.service);
  for (const NoticeKind kind : kNoticeKinds) {
    int stated = 0;
    const ServerNotice* latest = nullptr;
    for (const BackendServer* server : servers) {
      const ServerNotice* notice = notices_.Find(server->start_key(), kind);
      if (notice == nullptr) {
        continue;
      }
      ++stated;
      if (latest == nullptr || notice->said_at > latest->said_at) {
        latest = notice;
      }
    }
    if (latest == nullptr) {
      continue;
    }
    log_.Info("held_back",
              {{"id", request.metadata.request_id},
               {"service", request.service},
               {"kind", RulesOf(kind).name},
               {"servers", servers.size()},
               {"stated_by", stated},
               {"latest", latest->server},
               {"value", latest->value},
               {"age_ms", ToMilliseconds(clock_.Now() - latest->said_at)},
               {"source", latest->source}});
  }
}

}  // namespace lavenderkeel
