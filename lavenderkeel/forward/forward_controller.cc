#include "lavenderkeel/forward/forward_controller.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <tuple>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"
#include "lavenderkeel/evidence/answer_assessment.h"
#include "lavenderkeel/forward/answer_speed.h"

namespace lavenderkeel {

namespace {

constexpr int kFirstServerError = 500;

/// How retries are told from first attempts with early refusal.
constexpr RequestAgeEstimator::Options kAgeWithEarlyRefusal = {
    // All requests beyond the capacity are refused and come back within the
    // same seconds: after a burst most requests are retries, and the usual time
    // left is that of the few new ones.
    .quantile = 0.95,
    // Below the least of first attempts, relative to that quantile. Retries
    // have at most three quarters of their time left.
    .first_attempt_fraction = 0.75};

RequestTiming::Options TimingOf(const ForwardController::Options& options) {
  RequestTiming::Options timing = options.timing;
  if (options.early_refusal) {
    // Clients come back once, and earlier than without early refusal. A refusal
    // before their patience is over gives them nothing; the rest of it is for
    // the answer.
    constexpr double kRetryWaitPerPatience = 0.9;
    timing.retry_wait_per_patience = kRetryWaitPerPatience;
  }
  return timing;
}

SlotResult::Kind ResultKindOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kRejected:
      return SlotResult::Kind::kFull;
    case AttemptFailure::kWrongServer:
      return SlotResult::Kind::kReplaced;
    case AttemptFailure::kNotConnected:
      return SlotResult::Kind::kUnreachable;
    default:
      return SlotResult::Kind::kFailed;
  }
}

/// Returns the size of the fields as they are sent.
size_t FieldBytes(const RequestHead& head) {
  constexpr size_t kFramingBytes = sizeof(": \r\n") - 1;
  size_t bytes = 0;
  for (const HttpField& field : head.fields) {
    bytes += field.name.size() + field.value.size() + kFramingBytes;
  }
  return bytes;
}

/// Returns the name of an answer whose body is not used.
std::string_view DiscardedPartOf(const ForwardedRequest& request) {
  return request.rejection.has_value() ? "rejection" : "withheld";
}

}  // namespace

using State = ForwardedRequest::State;

ForwardController::ForwardController(const Options& options,
                                     ForwardCodec codec,
                                     ForwardPort& port,
                                     const ServerDirectory& directory,
                                     SlotRouter& slot_router,
                                     CrashGuard& crashes,
                                     VersionSelector& version_selector,
                                     ServerNotices& notices,
                                     const Clock& clock,
                                     const EventLog& log,
                                     Metrics& metrics)
    : options_(options),
      codec_(std::move(codec)),
      timing_(TimingOf(options)),
      port_(port),
      directory_(directory),
      slot_router_(slot_router),
      crashes_(crashes),
      version_selector_(version_selector),
      notices_(notices),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      refusals_(codec_, port, metrics, options.retry_after),
      request_log_(directory, notices, clock, log, metrics),
      early_refusal_({.max_retry_after = options.timing.max_retry_after},
                     clock,
                     log,
                     metrics),
      admission_({.rates = options.rates,
                  .max_buffered_body_bytes = options.max_buffered_body_bytes,
                  .request_age = options.early_refusal
                                     ? kAgeWithEarlyRefusal
                                     : RequestAgeEstimator::Options{},
                  .refuse_early =
                      [this](ForwardedRequest& request) {
                        return RefuseEarly(request);
                      }},
                 route_history_,
                 clock,
                 log,
                 metrics),
      answers_({.max_buffered_bytes = options.max_buffered_answer_bytes},
               port,
               version_selector,
               clock,
               metrics),
      retries_(options.retries, request_log_, clock) {}

void ForwardController::OnRouteTable(std::shared_ptr<const RouteTable> table) {
  assert(table != nullptr);
  // A delayed answer of the store may contain a version that a newer one has
  // replaced. If it were put in force, a route that was removed would be served
  // again.
  if (table_ != nullptr && table->version() <= table_->version()) {
    return;
  }
  log_.Info("config_in_force", {{"version", table->version()},
                                {"former", table_version()},
                                {"routes", table->content().routes.size()},
                                {"teams", table->content().teams.size()}});
  const bool is_first = table_ == nullptr;
  table_ = std::move(table);
  admission_.OnRouteTable(*table_);
  std::erase_if(route_history_, [this](const auto& item) {
    return std::ranges::none_of(
        table_->content().routes,
        [&item](const Route& route) { return item.first == route.name; });
  });
  if (is_first) {
    RefuseEarlyRequestsBeyondLimits();
  }
  BeginEarlyRequests();
}

void ForwardController::OnRequest(ExchangeId exchange,
                                  RequestHead head,
                                  std::string body,
                                  MemoryCharge memory) {
  if (refuses_new_) {
    Refuse(exchange, {}, {.code = ResultCode::kLeaving});
    return;
  }
  std::optional<RequestMetadata> metadata = codec_.read_request(head);
  if (!metadata.has_value()) {
    Refuse(exchange, {}, {.code = ResultCode::kMalformedRequest});
    return;
  }
  const TimePoint now = clock_.Now();
  if (table_ != nullptr) {
    Begin(exchange, std::move(head), std::move(body), *std::move(metadata), now,
          std::move(memory));
    return;
  }
  // If all entries were killed while the store is unavailable, a client that is
  // refused comes back at once, is refused again and has no further attempt. A
  // short wait saves the attempt.
  const double wait_seconds =
      options_.unconfigured_wait_per_time_left *
      ToSeconds(metadata->time_left.value_or(Duration::max()));
  const Duration wait = FromSeconds(
      std::min(ToSeconds(options_.max_unconfigured_wait), wait_seconds));
  HoldEarlyRequest(exchange, {.head = std::move(head),
                              .body = std::move(body),
                              .metadata = *std::move(metadata),
                              .arrived = now,
                              .memory = std::move(memory),
                              .waits_until = now + wait});
}

void ForwardController::HoldEarlyRequest(ExchangeId exchange,
                                         EarlyRequest request) {
  held_body_bytes_ += request.body.size();
  early_requests_[exchange] = std::move(request);
}

void ForwardController::RefuseEarlyRequestsBeyondLimits() {
  const ClientLimits& limits = table_->limits();
  std::erase_if(early_requests_, [&](const auto& item) {
    const auto& [exchange, early] = item;
    const bool is_head_large = FieldBytes(early.head) > limits.head_bytes;
    if (!is_head_large && early.body.size() <= limits.body_bytes) {
      return false;
    }
    held_body_bytes_ -= early.body.size();
    Refuse(exchange, early.metadata.request_id,
           {.code = is_head_large ? ResultCode::kHeadTooLarge
                                  : ResultCode::kBodyTooLarge});
    return true;
  });
}

void ForwardController::BeginEarlyRequests() {
  // A request may be held back again or end the wait of another, so the ids are
  // copied.
  std::vector<ExchangeId> waiting;
  for (const auto& [exchange, early] : early_requests_) {
    waiting.push_back(exchange);
  }
  for (const ExchangeId exchange : waiting) {
    auto node = early_requests_.extract(exchange);
    if (node.empty()) {
      continue;
    }
    EarlyRequest& early = node.mapped();
    held_body_bytes_ -= early.body.size();
    Begin(exchange, std::move(early.head), std::move(early.body),
          std::move(early.metadata), early.arrived, std::move(early.memory));
  }
}

void ForwardController::CheckEarlyRequests(TimePoint now) {
  if (table_ != nullptr) {
    if (!admission_.rates().share().IsJoining(now)) {
      BeginEarlyRequests();
    }
    return;
  }
  const bool over_body_limit =
      held_body_bytes_ > options_.max_buffered_body_bytes;
  for (auto early = early_requests_.begin(); early != early_requests_.end();) {
    if (now < early->second.waits_until && !over_body_limit) {
      ++early;
      continue;
    }
    held_body_bytes_ -= early->second.body.size();
    Refuse(early->first, early->second.metadata.request_id,
           {.code = ResultCode::kNoConfiguration,
            .retry_after = options_.unconfigured_retry_after});
    early = early_requests_.erase(early);
  }
}

void ForwardController::Begin(ExchangeId exchange,
                              RequestHead head,
                              std::string body,
                              RequestMetadata metadata,
                              TimePoint arrived,
                              MemoryCharge memory) {
  const std::string* host = FindField(head.fields, "Host");
  auto request = std::make_unique<ForwardedRequest>();
  request->exchange = exchange;
  request->metadata = std::move(metadata);
  request->table = table_;
  request->route =
      host == nullptr ? nullptr : table_->FindRoute(*host, head.target);
  request->head = std::move(head);
  request->body = std::make_shared<const std::string>(std::move(body));
  request->memory = std::move(memory);
  request->answer_memory = request->memory.Another();
  request->arrived = arrived;
  if (const std::optional<Refusal> refusal =
          admission_.Admit(*request, held_body_bytes_)) {
    if (refusal->undecided) {
      // Whether the request exceeds the rate is known half a second later.
      HoldEarlyRequest(exchange, {.head = std::move(request->head),
                                  .body = *request->body,
                                  .metadata = std::move(request->metadata),
                                  .arrived = arrived,
                                  .memory = std::move(request->memory)});
      return;
    }
    LogEnd(*request, Describe(refusal->code).name,
           Describe(refusal->code).http_status);
    Refuse(exchange, request->metadata.request_id, *refusal);
    return;
  }
  request->traits = MakeTraits(FingerprintOf({
                                   .team = request->team,
                                   .method = request->head.method,
                                   .host = *host,
                                   .target = request->head.target,
                                   .body = *request->body,
                               }),
                               request->metadata.prompt_parts);
  request->memory.Resize(request->memory.bytes() +
                         sizeof(PromptPartId) *
                             (request->metadata.prompt_parts.capacity() +
                              request->traits.parts.capacity()));
  held_body_bytes_ += request->body->size();
  ForwardedRequest& admitted = *request;
  requests_[exchange] = std::move(request);
  retries_.OnAdmitted(admitted);
  crashes_.OnRequestArrived(admitted.traits);
  Enqueue(admitted);
}

void ForwardController::OnBadRequest(ExchangeId exchange,
                                     const RequestHead& head,
                                     ResultCode code) {
  const std::optional<RequestMetadata> metadata = codec_.read_request(head);
  const std::string request_id =
      metadata.has_value() ? metadata->request_id : std::string();
  const bool is_too_large =
      code == ResultCode::kHeadTooLarge || code == ResultCode::kBodyTooLarge;
  if (is_too_large && table_ == nullptr) {
    // The configuration may allow more than is read without one.
    Refuse(exchange, request_id,
           {.code = ResultCode::kNoConfiguration,
            .retry_after = options_.unconfigured_retry_after});
    return;
  }
  Refuse(exchange, request_id, {.code = code});
}

ForwardController::HeadDecision ForwardController::CheckHead(
    const RequestHead& head) const {
  if (refuses_new_) {
    return {.refusal = ResultCode::kLeaving};
  }
  const std::optional<RequestMetadata> metadata = codec_.read_request(head);
  if (!metadata.has_value()) {
    return {.refusal = ResultCode::kMalformedRequest};
  }
  if (table_ == nullptr) {
    return {};
  }
  const std::string* host = FindField(head.fields, "Host");
  const Route* route =
      host == nullptr ? nullptr : table_->FindRoute(*host, head.target);
  if (route == nullptr) {
    return {.refusal = ResultCode::kNoRoute};
  }
  const TeamConfig* team = metadata->api_key.has_value()
                               ? table_->FindTeamByKey(*metadata->api_key)
                               : nullptr;
  if (team == nullptr && table_->has_teams() && !route->is_public) {
    return {.refusal = ResultCode::kUnknownTeam};
  }
  return {.priority = team == nullptr
                          ? route->priority
                          : team->priority.value_or(route->priority)};
}

void ForwardController::YieldMemory(int priority, size_t bytes) {
  const auto may_yield = [priority](const ForwardedRequest& request) {
    return request.priority > priority && request.state == State::kWaiting &&
           request.tried.empty() && !request.head_sent;
  };
  std::vector<std::tuple<int, TimePoint, ExchangeId>> yielding;
  for (const auto& [exchange, request] : requests_) {
    if (may_yield(*request)) {
      yielding.emplace_back(request->priority, request->arrived, exchange);
    }
  }
  std::ranges::sort(yielding, std::greater<>());
  size_t freed = 0;
  for (const auto& [rank, arrived, exchange] : yielding) {
    // A refusal may change the state of other requests.
    const auto found = requests_.find(exchange);
    if (found == requests_.end() || !may_yield(*found->second)) {
      continue;
    }
    if (freed >= bytes) {
      return;
    }
    freed += found->second->memory.bytes();
    metrics_.Add("requests_yielded_memory");
    RefuseRequest(*found->second, {.code = ResultCode::kMemoryLimit});
  }
}

CrashDecision ForwardController::DecideOnCrashes(
    const ForwardedRequest& request) const {
  return crashes_.Decide(request.traits, [&](const Suspect& suspect) {
    return std::ranges::any_of(requests_, [&](const auto& item) {
      const ForwardedRequest& other = *item.second;
      return &other != &request && other.attempt != 0 &&
             HasSuspect(other.traits, suspect);
    });
  });
}

CrashGuard::Run ForwardController::RunOf(const ForwardedRequest& request) {
  return {.request = request.traits,
          .server = HashBytes(request.server),
          .place = HashBytes(request.server_address),
          .sent = request.sent_at};
}

void ForwardController::RefuseAsCrashing(ForwardedRequest& request,
                                         const CrashDecision& decision) {
  const Suspect& suspect = decision.assessment.suspect;
  metrics_.Add(std::string("crash_refused{kind=\"") +
               SuspectKindName(suspect.kind) + "\"}");
  log_.Info("crash_refused",
            {{"id", request.metadata.request_id},
             {"fingerprint", request.traits.fingerprint},
             {"suspect", SuspectName(suspect)},
             {"lost", decision.assessment.lost},
             {"in_turn", decision.assessment.in_turn},
             {"runs", request.runs.count()},
             {"retry_after_ms", ToMilliseconds(decision.retry_after)}});
  if (request.runs.may_have_run() || request.head_sent) {
    GiveUp(request);
  } else {
    RefuseRequest(request, {.code = ResultCode::kCrashesServers,
                            .retry_after = decision.retry_after});
  }
}

void ForwardController::Enqueue(ForwardedRequest& request) {
  request.state = State::kWaiting;
  const bool held_before = std::exchange(request.held, false);
  if (!held_before) {
    request.waiting_since = clock_.Now();
  }
  if (!version_selector_.known()) {
    request.held = true;
    return;
  }
  const CrashDecision decision = DecideOnCrashes(request);
  if (decision.kind == CrashDecision::Kind::kRefuse) {
    RefuseAsCrashing(request, decision);
    return;
  }
  if (decision.kind == CrashDecision::Kind::kWait) {
    request.held = true;
    const bool suspected =
        decision.assessment.suspicion != CrashSuspicion::kClear;
    if (!held_before && suspected) {
      log_.Info("crash_waits",
                {{"id", request.metadata.request_id},
                 {"fingerprint", request.traits.fingerprint},
                 {"suspect", SuspectName(decision.assessment.suspect)},
                 {"lost", decision.assessment.lost},
                 {"in_turn", decision.assessment.in_turn}});
    }
    return;
  }
  request.suspicion = decision.assessment.suspicion;
  request.attempt = ++last_attempt_;
  RequestSlot(request, request.attempt);
}

void ForwardController::RequestSlot(const ForwardedRequest& request,
                                    AttemptId attempt) {
  attempts_[attempt] = request.exchange;
  SlotRequest slot_request = MakeSlotRequest(request, attempt);
  if (options_.early_refusal) {
    early_refusal_.OnSlotRequest(
        request.service,
        {.priority = slot_request.priority,
         .route_priority = slot_request.route_priority},
        clock_.Now() >= slot_request.in_time_until);
  }
  // The slot may be granted before this call returns.
  slot_router_.RequestSlot(std::move(slot_request));
}

double ForwardController::WeightOf(const ForwardedRequest& request) {
  const TeamConfig* team =
      request.team.empty() ? nullptr : request.table->FindTeam(request.team);
  return team == nullptr ? 1 : request.table->WeightOf(*team);
}

SlotRequest ForwardController::MakeSlotRequest(const ForwardedRequest& request,
                                               AttemptId attempt) {
  const Route& route = *request.route;
  const RouteHistory& history = route_history_[route.name];
  SlotRequest slot_request = {
      .attempt = attempt,
      .service = request.service,
      .model_server = request.model_server,
      .priority = request.priority,
      .route_priority = route.priority,
      .in_time_until =
          timing_.LatestStartInTime(request, history.AnswerTimeQuantile()),
      .due = request.due,
      .suspicion = request.suspicion,
      .team = request.team.empty() ? 0 : HashBytes(request.team),
      .team_weight = WeightOf(request),
      .data_centre = options_.data_centre,
      .repeatable = request.may_repeat()};
  for (const std::string& server : request.tried) {
    slot_request.tried.push_back(HashBytes(server));
  }
  VersionSelector::Choice choice =
      version_selector_.Choose(request.service, route.name, request.fresh());
  slot_request.version = std::move(choice.version);
  slot_request.canary_version = std::move(choice.canary);
  if (!request.streams()) {
    return slot_request;
  }
  if (request.head_sent) {
    // The client has a part of the answer and sees a pause: the request goes
    // first within the rank of its team.
    slot_request.route_priority = table_->first_priority() - 1;
  }
  slot_request.size = history.sizes.EstimateFor(request.metadata);
  slot_request.event_gap_target = route.event_gap_target;
  // A request that was sent before has already waited, so its length does not
  // delay it further.
  const bool goes_last =
      request.is_long && history.long_requests.ShouldGoLast();
  slot_request.by_length =
      request.tried.empty() && (!request.is_long || goes_last);
  if (slot_request.by_length) {
    const SlotRank rank = RankOf(request);
    slot_request.priority = rank.priority;
    slot_request.route_priority = rank.route_priority;
  }
  return slot_request;
}

SlotRank ForwardController::RankOf(const ForwardedRequest& request) {
  const Route& route = *request.route;
  SlotRank rank = {.priority = request.priority,
                   .route_priority = route.priority};
  // A long request is queued with the next rank, except in the most urgent
  // rank, whose target also holds for long requests.
  if (request.is_long && route.priority > table_->first_priority() &&
      route_history_[route.name].long_requests.ShouldGoLast()) {
    ++rank.route_priority;
    rank.priority += request.has_team_priority ? 0 : 1;
  }
  return rank;
}

EarlyRefusal::Request ForwardController::MakeEarlyRequest(
    const ForwardedRequest& request) {
  const TimePoint now = clock_.Now();
  return {.id = request.metadata.request_id,
          .service = request.service,
          .rank = RankOf(request),
          .max_wait = timing_.SlotWaitEnd(request) - now,
          .time_left = request.due - now,
          .is_retry = request.is_retry(),
          .was_begun = !request.tried.empty() || request.head_sent ||
                       !request.last_event_id.empty()};
}

std::optional<Refusal> ForwardController::RefuseEarly(
    ForwardedRequest& request) {
  if (!options_.early_refusal) {
    return std::nullopt;
  }
  const EarlyRefusal::Decision decision =
      early_refusal_.Decide(MakeEarlyRequest(request));
  request.predicted_wait = decision.predicted_wait;
  if (!decision.refused()) {
    return std::nullopt;
  }
  return Refusal{.code = ResultCode::kOverloaded,
                 .retry_after = decision.retry_after.value_or(
                     timing_.RetryAfter(request))};
}

void ForwardController::RecordEndOfWait(const ForwardedRequest& request,
                                        bool got_slot) {
  if (request.predicted_wait.has_value() && request.tried.empty()) {
    // The prediction is for the queue of requests that can be in time.
    const TimePoint in_time_until = timing_.LatestStartInTime(
        request, route_history_[request.route->name].AnswerTimeQuantile());
    early_refusal_.OnWaitEnded(
        request.service, RankOf(request), *request.predicted_wait,
        std::min(clock_.Now(), std::max(in_time_until, request.waiting_since)) -
            request.waiting_since);
  }
  if (request.streams() && request.tried.empty()) {
    route_history_[request.route->name].long_requests.OnEndOfWait(
        request.is_long, got_slot);
  }
}

std::optional<SlotResult> ForwardController::CheckGrant(
    const ForwardedRequest& request,
    const BackendServer* server,
    const SlotGrant& grant) const {
  if (server == nullptr) {
    // Either list may be the older one. Nothing is wrong with a server that is
    // only new: if its slot came back as that of a replaced server, it would
    // get no requests of any entry for seconds.
    return SlotResult{.pushback = options_.unlisted_server_pushback};
  }
  if (server->draining) {
    // The list here is newer than that of the slot scheduler.
    return SlotResult{.kind = SlotResult::Kind::kReplaced};
  }
  if (const ServerNotice* notice = notices_.FindBlocking(grant.server)) {
    // The slot scheduler does not know yet what the server told this entry.
    return SlotResult{.kind = RulesOf(notice->kind).shared
                                  ? SlotResult::Kind::kReplaced
                                  : SlotResult::Kind::kFull,
                      .pushback = PushbackOf(grant.server)};
  }
  // Rollout plans and crash evidence that arrived since the slot request may
  // hold the request or change its placement.
  if (!version_selector_.Admits(request.service, server->version) ||
      DecideOnCrashes(request).kind != CrashDecision::Kind::kRun ||
      crashes_.SuspicionOf(request.traits) > request.suspicion) {
    return SlotResult{};
  }
  return std::nullopt;
}

bool ForwardController::OnSlotGranted(const std::string& scheduler,
                                      const SlotGrant& grant) {
  ForwardedRequest* request = FindByAttempt(grant.attempt);
  if (request == nullptr) {
    return false;
  }
  const BackendServer* server = directory_.Find(grant.server);
  if (grant.attempt == request->replacement) {
    const std::optional<SlotResult> unusable =
        CheckGrant(*request, server, grant);
    if (unusable.has_value() || !MayReplace(*request, grant.server)) {
      EndReplacement(*request, unusable.value_or(SlotResult{}));
      return true;
    }
    ReplaceSilentAttempt(*request);
    SendTo(*request, *server, scheduler, grant);
    return true;
  }
  if (request->state != State::kWaiting) {
    return false;
  }
  if (const std::optional<SlotResult> unusable =
          CheckGrant(*request, server, grant)) {
    EndAttempt(*request, *unusable);
    Enqueue(*request);
    return true;
  }
  if (!retries_.OnSend(*request)) {
    EndAttempt(*request, {});
    GiveUp(*request);
    return true;
  }
  SendTo(*request, *server, scheduler, grant);
  return true;
}

bool ForwardController::MayReplace(ForwardedRequest& request,
                                   const std::string& server) {
  return server != request.server && IsSilent(request) &&
         retries_.OnSend(request);
}

void ForwardController::ReplaceSilentAttempt(ForwardedRequest& request) {
  const AttemptId replacement = std::exchange(request.replacement, 0);
  // The connection to the former server is closed before another server gets
  // the request, so that the two do not work on the request at the same time
  // for long.
  port_.Cancel(request.attempt);
  EndFailedAttempt(request, AttemptFailure::kSilent);
  request.attempt = replacement;
}

void ForwardController::EndReplacement(ForwardedRequest& request,
                                       const SlotResult& result) {
  request.loan_wait_end.reset();
  if (request.replacement == 0) {
    return;
  }
  const AttemptId replacement = std::exchange(request.replacement, 0);
  attempts_.erase(replacement);
  retries_.Release(request);
  request.next_replacement_at =
      clock_.Now() + options_.replacement_decision_interval;
  slot_router_.ReleaseSlot(replacement, result);
}

bool ForwardController::IsSilent(const ForwardedRequest& request) const {
  return clock_.Now() - request.last_received_at >= timing_.MaxSilence(request);
}

void ForwardController::CheckSilence(ForwardedRequest& request, TimePoint now) {
  if (!IsSilent(request)) {
    if (request.replacement != 0) {
      request_log_.OnReplacement(request, "withdrawn");
    }
    EndReplacement(request, {});
    return;
  }
  // Silence alone does not show that a server no longer works on the request,
  // so its attempt ends only once another server can have the request.
  const bool may_replace =
      request.may_repeat() && retries_.IsRepeatable(request);
  if (!may_replace || request.replacement != 0 ||
      now < request.next_replacement_at) {
    return;
  }
  const RequestRetries::Decision decision = request.loan_wait_end.has_value()
                                                ? retries_.CheckLoan(request)
                                                : retries_.Decide(request);
  if (decision == RequestRetries::Decision::kAwaitLoan) {
    return;
  }
  request.next_replacement_at = now + options_.replacement_decision_interval;
  if (decision == RequestRetries::Decision::kEnd) {
    return;
  }
  const CrashDecision crash_decision = DecideOnCrashes(request);
  if (crash_decision.kind != CrashDecision::Kind::kRun ||
      !version_selector_.known()) {
    retries_.Release(request);
    return;
  }
  request.suspicion = crash_decision.assessment.suspicion;
  request_log_.OnReplacement(request, "requested");
  request.replacement = ++last_attempt_;
  RequestSlot(request, request.replacement);
}

void ForwardController::SendTo(ForwardedRequest& request,
                               const BackendServer& server,
                               const std::string& scheduler,
                               const SlotGrant& grant) {
  const TimePoint now = clock_.Now();
  const std::string key = server.start_key();
  request_log_.OnSend(request, server, scheduler, grant);
  RecordEndOfWait(request, /*got_slot=*/true);
  request.is_crash_trial = crashes_.OnSent(request.traits);
  request.version_attempt =
      version_selector_.OnSent(request.service, request.route->name, server,
                               grant.in_flight, request.fresh());
  request.state = State::kSent;
  request.runs.OnSent();
  request.server = key;
  request.server_id = server.id;
  request.server_address = server.address;
  request.tried.push_back(key);
  request.sent_at = now;
  request.last_received_at = now;
  request.answer_head.reset();
  request.answer_body.clear();
  request.has_error_answer = false;
  request.rejection.reset();
  request.withheld = false;
  request.events = EventStreamReader();
  request.event_count = 0;
  const RequestHead head = codec_.write_request(
      request.head, {.server_id = server.id,
                     .team = request.team,
                     .time_left = request.due - now,
                     .last_event_id = request.last_event_id});
  port_.Send(
      request.attempt,
      {.server = key,
       .address = server.address,
       .request_id = request.metadata.request_id,
       .head = EncodeRequestHead(head, request.body->size()),
       .body = request.body,
       .max_reuse_idle_time =
           request.may_repeat() ? options_.max_reuse_idle_time
                                : options_.max_non_repeatable_reuse_idle_time});
}

ForwardedRequest* ForwardController::FindByAttempt(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? nullptr : requests_.at(found->second).get();
}

void ForwardController::EndAttempt(ForwardedRequest& request,
                                   const SlotResult& result) {
  EndReplacement(request, {});
  const AttemptId attempt = std::exchange(request.attempt, 0);
  attempts_.erase(attempt);
  version_selector_.OnAttemptEnd(request.service, request.version_attempt);
  if (std::exchange(request.is_crash_trial, false)) {
    crashes_.OnTrialEnded(request.traits);
  }
  request.state = State::kWaiting;
  slot_router_.ReleaseSlot(attempt, result);
}

Duration ForwardController::PushbackOf(const std::string& server) const {
  const ServerNotice* notice = notices_.Find(server, NoticeKind::kPushback);
  return notice == nullptr ? Duration::zero() : notice->EndsAt() - clock_.Now();
}

std::optional<TimePoint> ForwardController::BlockedUntil(
    const std::string& service) const {
  std::optional<TimePoint> first_end;
  for (const BackendServer* server : directory_.Usable(service)) {
    const ServerNotice* notice = notices_.FindBlocking(server->start_key());
    if (notice == nullptr) {
      return std::nullopt;
    }
    first_end =
        std::min(first_end.value_or(TimePoint::max()), notice->EndsAt());
  }
  return first_end;
}

ForwardController::HeadVerdict ForwardController::OnAnswerHead(
    AttemptId attempt,
    const ResponseHead& head,
    bool fresh) {
  ForwardedRequest* request = FindByAttempt(attempt);
  if (request == nullptr) {
    return HeadVerdict::kDrop;
  }
  const AnswerMetadata metadata = codec_.read_answer(head);
  const AnswerAssessment assessment = AssessAnswer(
      metadata.statements, {.request_id = request->metadata.request_id,
                            .server_id = request->server_id,
                            .fresh = fresh});
  // A server may answer an earlier request twice, and the second copy arrives
  // where this answer is expected.
  if (assessment.kind == AnswerAssessment::Kind::kOtherRequest) {
    request_log_.OnForeignAnswer(*request, metadata.statements);
    return HeadVerdict::kSkip;
  }
  const bool streams =
      request->streams() && AnswerForwarder::IsEventStream(head);
  const bool is_rejection =
      assessment.kind == AnswerAssessment::Kind::kRejection;
  // A stream of which the client has a part can only be continued by a stream.
  const bool continues = !request->head_sent || streams || is_rejection;
  if (assessment.kind == AnswerAssessment::Kind::kInvalid || !continues) {
    request_log_.OnInvalidAnswer(*request, metadata.statements,
                                 continues ? assessment.fault : "no_stream");
    AfterFailure(*request, AttemptFailure::kBroken);
    return HeadVerdict::kDrop;
  }
  if (assessment.evidence != RunEvidence::kOtherServer) {
    crashes_.OnServerAnswered(HashBytes(request->server), request->sent_at);
    notices_.OnAnswer(request->server, metadata.notices, request->sent_at);
  }
  if (is_rejection) {
    request_log_.OnRejection(*request, metadata.statements, fresh);
    request->rejection = assessment.evidence == RunEvidence::kOtherServer
                             ? AttemptFailure::kWrongServer
                             : AttemptFailure::kRejected;
  }
  request->withheld = assessment.kind == AnswerAssessment::Kind::kWithheld;
  request->discarding_since = clock_.Now();
  request->discarded_bytes = 0;
  request->answer_streams = streams;
  request->answer_head = head;
  return metadata.statements.request_ids.empty() ? HeadVerdict::kTakeLast
                                                 : HeadVerdict::kTake;
}

bool ForwardController::OnAnswerChunk(AttemptId attempt, std::string bytes) {
  ForwardedRequest* request = FindByAttempt(attempt);
  if (request == nullptr) {
    return false;
  }
  request->last_received_at = clock_.Now();
  if (request->discards_answer()) {
    request->discarded_bytes += bytes.size();
    if (request->discarded_bytes > options_.max_discarded_bytes) {
      AbandonEndlessAnswer(*request, DiscardedPartOf(*request));
      return false;
    }
    return true;
  }
  answers_.OnChunk(*request, std::move(bytes));
  request->answer_memory.Resize(request->answer_body.capacity() +
                                request->events.incomplete_bytes());
  if (request->events.incomplete_bytes() > options_.max_event_bytes) {
    AbandonEndlessAnswer(*request, "event");
    return false;
  }
  return true;
}

void ForwardController::OnAnswerPaused(AttemptId attempt) {
  if (ForwardedRequest* request = FindByAttempt(attempt)) {
    request->last_received_at = clock_.Now();
  }
}

void ForwardController::AbandonEndlessAnswer(ForwardedRequest& request,
                                             std::string_view what) {
  metrics_.Add("endless_answers{what=\"" + std::string(what) + "\"}");
  log_.Warn("endless_answer", {{"id", request.metadata.request_id},
                               {"server", request.server},
                               {"what", what}});
  AfterFailure(request, request.rejection.value_or(AttemptFailure::kBroken));
}

void ForwardController::OnAnswerEnd(AttemptId attempt) {
  ForwardedRequest* request = FindByAttempt(attempt);
  if (request == nullptr) {
    return;
  }
  if (request->rejection.has_value()) {
    AfterFailure(*request, *request->rejection);
    return;
  }
  if (request->answer_streams) {
    FinishStream(*request);
  } else {
    FinishNonStream(*request);
  }
}

void ForwardController::ReportSurvival(const ForwardedRequest& request) {
  if (request.answer_head->framing == BodyFraming::kUntilClose) {
    crashes_.OnConnectionEnded(RunOf(request));
  } else {
    crashes_.OnServerSurvived(RunOf(request));
  }
}

void ForwardController::FinishStream(ForwardedRequest& request) {
  // A server may end its answer properly in the middle of an event.
  if (request.events.has_incomplete_event() || !request.head_sent) {
    // An answer without a length ends with its connection.
    const bool closed =
        request.answer_head->framing == BodyFraming::kUntilClose;
    AfterFailure(request, closed ? AttemptFailure::kDisconnected
                                 : AttemptFailure::kBroken);
    return;
  }
  if (request.tried.size() == 1) {
    route_history_[request.route->name].sizes.OnAnswer(request.metadata,
                                                       request.event_count);
  }
  ReportVersionOutcome(request, /*error=*/false);
  EndAttempt(request, {.kind = SlotResult::Kind::kAnswered,
                       .pace_ms = PaceOf(request, clock_.Now()),
                       .read = PromptReadOf(request)});
  retries_.OnAttemptEnded(request, RunEvidence::kAnswered);
  ReportSurvival(request);
  port_.RespondEnd(request.exchange);
  LogEnd(request, "answered", request.answer_head->status);
  RemoveRequest(request.exchange);
}

void ForwardController::FinishNonStream(ForwardedRequest& request) {
  const int status = request.answer_head->status;
  const bool error = status >= kFirstServerError || request.withheld;
  if (!error) {
    ReportSurvival(request);
    route_history_[request.route->name].answer_ms.Add(
        ToFractionalMilliseconds(clock_.Now() - request.sent_at));
  }
  ReportVersionOutcome(request, error);
  EndAttempt(request, {.kind = error ? SlotResult::Kind::kServerError
                                     : SlotResult::Kind::kAnswered,
                       .pace_ms = PaceOf(request, clock_.Now()),
                       .pushback = PushbackOf(request.server)});
  retries_.OnAttemptEnded(request, RunEvidence::kAnswered);
  request.has_error_answer = error && !request.withheld && !request.head_sent;
  if (request.withheld) {
    request_log_.OnAnswerWithheld(request);
  }
  if (request.has_error_answer || request.withheld) {
    SendAgainOrEnd(request, retries_.Decide(request));
    return;
  }
  FinishWithAnswer(request);
}

void ForwardController::FinishWithAnswer(ForwardedRequest& request) {
  answers_.Finish(request);
  LogEnd(request, "answered", request.answer_head->status);
  RemoveRequest(request.exchange);
}

void ForwardController::ReportVersionOutcome(ForwardedRequest& request,
                                             bool error) {
  if (error) {
    version_selector_.OnFailed(request.service, request.version_attempt);
    return;
  }
  version_selector_.OnAnswered(request.service, request.version_attempt);
  if (!request.answer_streams) {
    version_selector_.OnFirstChunk(request.service, request.version_attempt,
                                   clock_.Now() - request.sent_at);
  } else if (const std::optional<double> pace_ms =
                 PaceOf(request, clock_.Now())) {
    version_selector_.OnEventInterval(request.service, request.version_attempt,
                                      FromMilliseconds(*pace_ms));
  }
}

void ForwardController::OnAttemptFailed(AttemptId attempt,
                                        AttemptFailure failure) {
  if (ForwardedRequest* request = FindByAttempt(attempt)) {
    AfterFailure(*request, request->rejection.value_or(failure));
  }
}

void ForwardController::AfterFailure(ForwardedRequest& request,
                                     AttemptFailure failure) {
  EndFailedAttempt(request, failure);
  SendAgainOrEnd(request, retries_.Decide(request));
}

void ForwardController::EndFailedAttempt(ForwardedRequest& request,
                                         AttemptFailure failure) {
  request_log_.OnAttemptFailed(request, failure);
  if (failure == AttemptFailure::kDisconnected) {
    crashes_.OnServerLost(RunOf(request));
  } else if (failure == AttemptFailure::kNotConnected) {
    crashes_.OnServerUnreachable(HashBytes(request.server));
  }
  if (failure == AttemptFailure::kSilent) {
    version_selector_.OnSilent(request.service, request.version_attempt);
  } else if (failure == AttemptFailure::kDisconnected ||
             failure == AttemptFailure::kBroken) {
    version_selector_.OnBroken(request.service, request.version_attempt);
  }
  EndAttempt(request, {.kind = ResultKindOf(failure),
                       .pushback = PushbackOf(request.server)});
  retries_.OnAttemptEnded(request, EvidenceOf(failure));
}

void ForwardController::SendAgainOrEnd(ForwardedRequest& request,
                                       RequestRetries::Decision decision) {
  switch (decision) {
    case RequestRetries::Decision::kSendAgain:
      Enqueue(request);
      return;
    case RequestRetries::Decision::kAwaitLoan:
      return;
    case RequestRetries::Decision::kEnd:
      GiveUp(request);
  }
}

void ForwardController::GiveUp(ForwardedRequest& request) {
  if (request.has_error_answer) {
    FinishWithAnswer(request);
    return;
  }
  if (request.head_sent) {
    port_.Abort(request.exchange);
    LogEnd(request, "cut", 0);
    RemoveRequest(request.exchange);
    return;
  }
  if (request.runs.may_have_run()) {
    RefuseRequest(request,
                  {.code = request.withheld ? ResultCode::kAnswerWithheld
                                            : ResultCode::kServerLost});
  } else if (request.runs.last() == RunEvidence::kNotSent) {
    RefuseRequest(request, {.code = ResultCode::kServerUnreachable});
  } else {
    const TimePoint now = clock_.Now();
    const std::optional<TimePoint> blocked_until =
        BlockedUntil(request.service);
    const bool ends =
        blocked_until.has_value() && *blocked_until != TimePoint::max();
    RefuseRequest(request,
                  {.code = ResultCode::kOverloaded,
                   .retry_after = ends ? std::optional(*blocked_until - now)
                                       : std::nullopt});
  }
}

void ForwardController::OnClientGone(ExchangeId exchange) {
  if (const auto early = early_requests_.find(exchange);
      early != early_requests_.end()) {
    held_body_bytes_ -= early->second.body.size();
    early_requests_.erase(early);
    return;
  }
  const auto found = requests_.find(exchange);
  if (found == requests_.end()) {
    return;
  }
  ForwardedRequest& request = *found->second;
  if (request.state == State::kSent) {
    port_.Cancel(request.attempt);
  }
  LogEnd(request, "client_gone", 0);
  RemoveRequest(exchange);
}

void ForwardController::CheckTimeLimits(ForwardedRequest& request,
                                        TimePoint now) {
  if (request.state == State::kWaiting && request.loan_wait_end.has_value()) {
    SendAgainOrEnd(request, retries_.CheckLoan(request));
    return;
  }
  if (now >= request.due) {
    if (request.state == State::kSent) {
      port_.Cancel(request.attempt);
      EndAttempt(request, {});
      retries_.OnAttemptEnded(request, RunEvidence::kGivenUp);
    }
    if (request.runs.may_have_run()) {
      GiveUp(request);
    } else {
      RefuseRequest(request, {.code = ResultCode::kDeadlinePassed});
    }
    return;
  }
  if (request.state == State::kWaiting) {
    CheckWait(request, now);
    return;
  }
  if (request.discards_answer() &&
      now - request.discarding_since >= options_.max_discard_time) {
    port_.Cancel(request.attempt);
    AbandonEndlessAnswer(request, DiscardedPartOf(request));
    return;
  }
  if (request.event_count == 0 && !request.answer_head.has_value()) {
    version_selector_.OnNoAnswerYet(request.service, request.version_attempt,
                                    now - request.sent_at);
  }
  CheckSilence(request, now);
}

void ForwardController::CheckWait(ForwardedRequest& request, TimePoint now) {
  const TimePoint wait_end = timing_.SlotWaitEnd(request);
  const std::optional<TimePoint> blocked_until = BlockedUntil(request.service);
  const bool may_have_run = request.runs.may_have_run() || request.head_sent;
  // With all servers blocked for longer than the request waits, its client
  // learns at once when to come back.
  const bool waits_in_vain = !may_have_run && blocked_until.has_value() &&
                             *blocked_until != TimePoint::max() &&
                             *blocked_until >= wait_end;
  if (now < wait_end && !waits_in_vain) {
    if (request.held) {
      Enqueue(request);
    }
    return;
  }
  if (may_have_run) {
    GiveUp(request);
    return;
  }
  RecordEndOfWait(request, /*got_slot=*/false);
  request_log_.OnHeldBack(request);
  if (waits_in_vain) {
    RefuseRequest(request, {.code = ResultCode::kOverloaded,
                            .retry_after = *blocked_until - now});
    return;
  }
  std::optional<Duration> retry_after;
  if (options_.early_refusal) {
    retry_after = early_refusal_.PromiseReturn(MakeEarlyRequest(request));
  }
  if (!retry_after.has_value()) {
    retry_after = timing_.RetryAfter(request);
  }
  const bool no_server = directory_.Usable(request.service).empty() ||
                         blocked_until == TimePoint::max();
  RefuseRequest(request, {.code = no_server ? ResultCode::kNoServer
                                            : ResultCode::kOverloaded,
                          .retry_after = retry_after});
}

void ForwardController::Tick() {
  const TimePoint now = clock_.Now();
  retries_.Tick();
  CheckEarlyRequests(now);
  std::vector<ExchangeId> exchanges;
  exchanges.reserve(requests_.size());
  for (const auto& [exchange, request] : requests_) {
    exchanges.push_back(exchange);
  }
  for (const ExchangeId exchange : exchanges) {
    const auto found = requests_.find(exchange);
    if (found != requests_.end()) {
      CheckTimeLimits(*found->second, now);
    }
  }
}

void ForwardController::RefuseRequest(ForwardedRequest& request,
                                      const Refusal& refusal) {
  const ResultCodeInfo& info =
      Describe(RefusalWriter::CodeOf(refusal, request.runs));
  LogEnd(request, info.name, info.http_status);
  refusals_.Write(request.exchange, request.metadata.request_id, refusal,
                  request.runs);
  RemoveRequest(request.exchange);
}

void ForwardController::Refuse(ExchangeId exchange,
                               const std::string& request_id,
                               const Refusal& refusal) {
  log_.Info("refused", {{"exchange", exchange},
                        {"id", request_id},
                        {"result", Describe(refusal.code).name},
                        {"retry_after_ms",
                         ToMilliseconds(refusals_.RetryAfterOf(refusal))}});
  refusals_.Write(exchange, request_id, refusal, /*runs=*/{});
}

void ForwardController::LogEnd(const ForwardedRequest& request,
                               std::string_view outcome,
                               int status) const {
  request_log_.OnEnd(request, outcome, status,
                     slot_router_.RequestedScheduler(request.attempt));
}

void ForwardController::RemoveRequest(ExchangeId exchange) {
  const auto found = requests_.find(exchange);
  held_body_bytes_ -= found->second->body->size();
  retries_.Release(*found->second);
  if (found->second->attempt != 0) {
    EndAttempt(*found->second, {});
  }
  requests_.erase(found);
}

size_t ForwardController::waiting() const {
  return static_cast<size_t>(std::ranges::count_if(
      requests_,
      [](const auto& item) { return item.second->state == State::kWaiting; }));
}

DemandTotals ForwardController::TakeDemand() {
  metrics_.Set("rate_promises_expired",
               static_cast<double>(admission_.rates().expired_promises()));
  return admission_.rates().TakeDemand(clock_.Now());
}

ForwardReport ForwardController::Report() const {
  ForwardReport report;
  report.table_version = table_version();
  std::map<uint64_t, int> in_flight;
  for (const auto& [exchange, request] : requests_) {
    if (request->state == State::kSent) {
      ++in_flight[HashBytes(request->server)];
    }
  }
  for (const auto& [server, count] : in_flight) {
    report.in_flight.push_back({.server_hash = server, .in_flight = count});
  }
  report.team_totals = admission_.rates().totals();
  return report;
}

void ForwardController::OnPeerReport(const std::string& peer,
                                     const ForwardReport& report) {
  admission_.rates().OnPeerTotals(peer, report.team_totals, clock_.Now());
  admission_.rates().OnPeerDemand(peer, report.demand, clock_.Now());
}

void ForwardController::OnRelayedTotals(const std::string& coordinator,
                                        const UsageTotals& totals) {
  admission_.rates().OnRelayedTotals(coordinator, totals, clock_.Now());
}

void ForwardController::OnRelayedDemand(const std::string& coordinator,
                                        const DemandTotals& totals) {
  admission_.rates().OnRelayedDemand(coordinator, totals, clock_.Now());
}

void ForwardController::OnPeerLost(const std::string& peer) {
  admission_.rates().ForgetPeer(peer);
}

void ForwardController::OnSlotGroupReports(
    const std::string& scheduler,
    const std::vector<SlotGroupReport>& reports) {
  if (options_.early_refusal) {
    early_refusal_.OnReports(scheduler, reports);
  }
}

void ForwardController::OnPeerCount(size_t known, size_t reporting) {
  admission_.rates().share().OnPeerCount(known, reporting, clock_.Now());
}

}  // namespace lavenderkeel
