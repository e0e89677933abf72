#include "lavenderkeel/forward/forward_controller.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "lavenderkeel/base/refusal_body.h"
#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;
constexpr int kMisdirected = 421;

/// Maximum number of servers that one request is sent to, whether or not they
/// run it. An attempt that finds no connection costs a connect timeout, and a
/// request has time for few of these.
constexpr size_t kMaxServersTried = 6;

/// With less time left than this, a further attempt cannot be answered in time.
constexpr Duration kMinTimeForAttempt = std::chrono::milliseconds(30);

bool IsSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

bool IsEventStream(const ResponseHead& head) {
  const std::string* type = FindField(head.fields, "Content-Type");
  constexpr std::string_view kEventStream = "text/event-stream";
  return type != nullptr &&
         SameFieldName(std::string_view(*type).substr(0, kEventStream.size()),
                       kEventStream);
}

/// Returns the head without connection fields.
ResponseHead ForClient(const ResponseHead& head) {
  ResponseHead passed = head;
  passed.fields = WithoutConnectionFields(head.fields);
  return passed;
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

/// Formats the wait in seconds with three decimals; clients accept fractions.
std::string RetryAfterValue(Duration wait) {
  constexpr int64_t kMillisecondsPerSecond = 1000;
  const int64_t ms = std::max<int64_t>(1, ToMilliseconds(wait));
  std::string fraction = std::to_string(ms % kMillisecondsPerSecond);
  constexpr size_t kDecimals = 3;
  fraction.insert(0, kDecimals - fraction.size(), '0');
  return std::to_string(ms / kMillisecondsPerSecond) + "." + fraction;
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
      timing_(options.timing),
      port_(port),
      directory_(directory),
      slot_router_(slot_router),
      crashes_(crashes),
      version_selector_(version_selector),
      notices_(notices),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      rates_(options.rates, clock.Now()),
      sharing_entries_(rates_.share().EntryCount(clock.Now())) {
  options_.retries.extra =
      options_.retry_extra / static_cast<double>(sharing_entries_);
}

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
  table_ = std::move(table);
  std::erase_if(request_age_estimators_, [this](const auto& item) {
    return std::ranges::none_of(
        table_->content().routes, [&item](const Route& route) {
          return item.first == std::pair(route.name, route.timeout);
        });
  });
  std::erase_if(route_history_, [this](const auto& item) {
    return std::ranges::none_of(
        table_->content().routes,
        [&item](const Route& route) { return item.first == route.name; });
  });
  BeginEarlyRequests();
}

void ForwardController::OnRequest(ExchangeId exchange,
                                  RequestHead head,
                                  std::string body) {
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
    Begin(exchange, std::move(head), std::move(body), *std::move(metadata),
          now);
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
                              .waits_until = now + wait});
}

void ForwardController::HoldEarlyRequest(ExchangeId exchange,
                                         EarlyRequest request) {
  held_body_bytes_ += request.body.size();
  early_requests_[exchange] = std::move(request);
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
          std::move(early.metadata), early.arrived);
  }
}

void ForwardController::CheckEarlyRequests(TimePoint now) {
  if (table_ != nullptr) {
    if (!rates_.share().IsJoining(now)) {
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
                              TimePoint arrived) {
  const std::string* host = FindField(head.fields, "Host");
  auto request = std::make_unique<ForwardedRequest>();
  request->exchange = exchange;
  request->metadata = std::move(metadata);
  request->table = table_;
  request->route =
      host == nullptr ? nullptr : table_->FindRoute(*host, head.target);
  request->head = std::move(head);
  request->body = std::move(body);
  request->arrived = arrived;
  if (const std::optional<Refusal> refusal = Admit(*request)) {
    if (refusal->undecided) {
      // Whether the request exceeds the rate is known half a second later.
      HoldEarlyRequest(exchange, {.head = std::move(request->head),
                                  .body = std::move(request->body),
                                  .metadata = std::move(request->metadata),
                                  .arrived = arrived});
      return;
    }
    LogEnd(*request, Describe(refusal->code).name,
           Describe(refusal->code).http_status);
    Refuse(exchange, request->metadata.request_id, *refusal);
    return;
  }
  request->fingerprint = FingerprintOf({.team = request->team,
                                        .method = request->head.method,
                                        .host = *host,
                                        .target = request->head.target,
                                        .body = request->body});
  held_body_bytes_ += request->body.size();
  ForwardedRequest& admitted = *request;
  requests_[exchange] = std::move(request);
  retry_windows_.try_emplace(admitted.service, options_.retries)
      .first->second.OnRequest(clock_.Now());
  crashes_.OnRequestArrived(admitted.fingerprint);
  Enqueue(admitted);
}

std::optional<ForwardController::Refusal> ForwardController::Admit(
    ForwardedRequest& request) {
  if (request.route == nullptr) {
    return Refusal{.code = ResultCode::kNoRoute};
  }
  const Route& route = *request.route;
  request.service = RouteTable::PickService(route, request.metadata.request_id);
  const Service* service = table_->FindService(request.service);
  request.model_server = service != nullptr && service->batch_slots > 0;
  request.priority = route.priority;
  if (table_->has_teams()) {
    const TeamConfig* team =
        request.metadata.api_key.has_value()
            ? table_->FindTeamByKey(*request.metadata.api_key)
            : nullptr;
    if (team == nullptr && !route.is_public) {
      return Refusal{.code = ResultCode::kUnknownTeam};
    }
    if (team != nullptr) {
      request.team = team->name;
      request.priority = team->priority.value_or(route.priority);
      request.has_team_priority = team->priority.has_value();
    }
  }
  constexpr Duration kMaxTimeLeft = std::chrono::hours(1);
  request.due =
      request.arrived +
      std::min(request.metadata.time_left.value_or(kMaxTimeLeft),
               route.timeout > Duration::zero() ? route.timeout : kMaxTimeLeft);
  request.first_sent =
      request.arrived -
      request_age_estimators_[{route.name, route.timeout}].OnRequest(
          std::max(request.due - request.arrived, kMinTimeForAttempt));
  request.last_event_id = request.metadata.last_event_id;
  request.is_long = route.streaming &&
                    route_history_[route.name].sizes.IsLong(request.metadata);
  if (held_body_bytes_ + request.body.size() >
      options_.max_buffered_body_bytes) {
    return Refusal{.code = ResultCode::kOverloaded};
  }
  return UseTeamRate(request);
}

std::optional<ForwardController::Refusal> ForwardController::UseTeamRate(
    ForwardedRequest& request) {
  const TeamConfig* team =
      request.team.empty() ? nullptr : table_->FindTeam(request.team);
  if (team == nullptr) {
    return std::nullopt;
  }
  const uint64_t tokens =
      request.metadata.prompt_tokens + request.metadata.output_tokens;
  const double units = !team->rate.in_tokens ? 1
                       : tokens > 0          ? static_cast<double>(tokens)
                                             : team->rate.tokens_if_unknown;
  const std::optional<TeamRates::Shortage> shortage =
      rates_.Take(*team, units, clock_.Now());
  if (!shortage.has_value()) {
    return std::nullopt;
  }
  // An undecided request is not refused but checked again later.
  log_.Info(shortage->undecided ? "rate_waits" : "rate_refused",
            {{"id", request.metadata.request_id},
             {"team", team->name},
             {"units", units},
             {"level", shortage->level},
             {"drawn_here", shortage->drawn_here},
             {"per_second", team->rate.per_second},
             {"burst", team->rate.burst},
             {"share", shortage->share},
             {"config_version", table_->version()}});
  return Refusal{.code = ResultCode::kTeamTokenRate,
                 .retry_after = shortage->wait,
                 .undecided = shortage->undecided};
}

void ForwardController::OnBadRequest(ExchangeId exchange, ResultCode code) {
  Refuse(exchange, {}, {.code = code});
}

CrashDecision ForwardController::DecideOnCrashes(
    const ForwardedRequest& request) const {
  return crashes_.Decide(request.fingerprint, [&] {
    return std::ranges::any_of(requests_, [&](const auto& item) {
      const ForwardedRequest& other = *item.second;
      return &other != &request && other.attempt != 0 &&
             other.fingerprint == request.fingerprint;
    });
  });
}

void ForwardController::RefuseAsCrashing(ForwardedRequest& request,
                                         const CrashDecision& decision) {
  log_.Info("crash_refused",
            {{"id", request.metadata.request_id},
             {"fingerprint", request.fingerprint},
             {"lost", decision.assessment.lost},
             {"in_turn", decision.assessment.in_turn},
             {"runs", request.runs},
             {"retry_after_ms", ToMilliseconds(decision.retry_after)}});
  if (request.runs > 0 || request.head_sent) {
    GiveUp(request, RunState::kMayHaveRun);
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
      log_.Info("crash_waits", {{"id", request.metadata.request_id},
                                {"fingerprint", request.fingerprint},
                                {"lost", decision.assessment.lost},
                                {"in_turn", decision.assessment.in_turn}});
    }
    return;
  }
  request.suspicion = decision.assessment.suspicion;
  request.attempt = ++last_attempt_;
  attempts_[request.attempt] = request.exchange;
  SlotRequest slot_request = MakeSlotRequest(request);
  // The slot may be granted before this call returns.
  slot_router_.RequestSlot(std::move(slot_request));
}

SlotRequest ForwardController::MakeSlotRequest(
    const ForwardedRequest& request) {
  const Route& route = *request.route;
  const RouteHistory& history = route_history_[route.name];
  SlotRequest slot_request = {.attempt = request.attempt,
                              .service = request.service,
                              .model_server = request.model_server,
                              .priority = request.priority,
                              .route_priority = route.priority,
                              .in_time_until = timing_.LatestStartInTime(
                                  request, AnswerTimeQuantile(history)),
                              .due = request.due,
                              .suspicion = request.suspicion};
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
  if (slot_request.by_length && goes_last &&
      route.priority > table_->first_priority()) {
    // A long request is queued with the next rank, except in the most urgent
    // rank, whose target also holds for long requests.
    ++slot_request.route_priority;
    slot_request.priority += request.has_team_priority ? 0 : 1;
  }
  return slot_request;
}

std::optional<Duration> ForwardController::AnswerTimeQuantile(
    const RouteHistory& history) {
  return history.answer_ms.empty()
             ? std::nullopt
             : std::optional(FromMilliseconds(history.answer_ms.value()));
}

void ForwardController::RecordEndOfWait(const ForwardedRequest& request,
                                        bool got_slot) {
  if (request.streams() && request.tried.empty()) {
    route_history_[request.route->name].long_requests.OnEndOfWait(
        request.is_long, got_slot);
  }
}

bool ForwardController::OnSlotGranted(const std::string& scheduler,
                                      const SlotGrant& grant) {
  ForwardedRequest* request = FindByAttempt(grant.attempt);
  if (request == nullptr || request->state != State::kWaiting) {
    return false;
  }
  const BackendServer* server = directory_.Find(grant.server);
  if (server == nullptr || server->draining) {
    // The list here is newer than that of the slot scheduler.
    EndAttempt(*request, {.kind = SlotResult::Kind::kReplaced});
    Enqueue(*request);
    return true;
  }
  if (const ServerNotice* notice = notices_.FindBlocking(grant.server)) {
    // The slot scheduler does not know yet what the server told this entry.
    EndAttempt(*request, {.kind = RulesOf(notice->kind).shared
                                      ? SlotResult::Kind::kReplaced
                                      : SlotResult::Kind::kFull,
                          .pushback = PushbackOf(grant.server)});
    Enqueue(*request);
    return true;
  }
  // Rollout plans and crash evidence that arrived since the slot request may
  // hold the request or change its placement.
  if (!version_selector_.Admits(request->service, server->version) ||
      DecideOnCrashes(*request).kind != CrashDecision::Kind::kRun ||
      crashes_.SuspicionOf(request->fingerprint) > request->suspicion) {
    EndAttempt(*request, {});
    Enqueue(*request);
    return true;
  }
  SendTo(*request, *server, scheduler, grant);
  return true;
}

void ForwardController::SendTo(ForwardedRequest& request,
                               const BackendServer& server,
                               const std::string& scheduler,
                               const SlotGrant& grant) {
  const TimePoint now = clock_.Now();
  const std::string key = server.start_key();
  log_.Info("send", {{"id", request.metadata.request_id},
                     {"server", key},
                     {"version", server.version},
                     {"attempt", request.tried.size() + 1},
                     {"gate", scheduler},
                     {"config_version", request.table->version()},
                     {"priority", request.priority},
                     {"in_flight", grant.in_flight},
                     {"pace_ms", grant.pace_ms},
                     {"waited_ms", ToMilliseconds(now - request.waiting_since)},
                     {"left_ms", ToMilliseconds(request.due - now)}});
  RecordEndOfWait(request, /*got_slot=*/true);
  crashes_.OnSent(request.fingerprint);
  request.version_attempt =
      version_selector_.OnSent(request.service, request.route->name, server,
                               grant.in_flight, request.fresh());
  request.state = State::kSent;
  request.server = key;
  request.tried.push_back(key);
  request.sent_at = now;
  request.last_received_at = now;
  request.answer_head.reset();
  request.answer_body.clear();
  request.rejected = false;
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
       .bytes = EncodeRequest(head, request.body),
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
  const AttemptId attempt = std::exchange(request.attempt, 0);
  attempts_.erase(attempt);
  version_selector_.OnAttemptEnd(request.service, request.version_attempt);
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
  // A server may answer an earlier request twice, and the second copy arrives
  // where this answer is expected. The echoed id identifies the copy, which is
  // skipped; otherwise a client would get the answer to another request.
  const bool foreign = !metadata.request_id.empty() &&
                       metadata.request_id != request->metadata.request_id;
  if (foreign) {
    log_.Warn("foreign_answer", {{"id", request->metadata.request_id},
                                 {"server", request->server},
                                 {"answers", metadata.request_id}});
    return HeadVerdict::kSkip;
  }
  const bool rejected = metadata.not_run || head.status == kMisdirected;
  const bool encoded = FindField(head.fields, "Content-Encoding") != nullptr;
  // Without an id a rejection matches only the first request on a connection.
  const bool matched = !metadata.request_id.empty() || (rejected && fresh);
  const bool genuine = rejected || (metadata.sealed && !encoded);
  const bool streams =
      request->streams() && IsSuccess(head.status) && IsEventStream(head);
  // A stream of which the client has a part can only be continued by a stream.
  const bool continues = !request->head_sent || streams || rejected;
  if (!matched || !genuine || !continues) {
    AfterFailure(*request, AttemptFailure::kBroken);
    return HeadVerdict::kDrop;
  }
  if (head.status != kMisdirected) {
    crashes_.OnServerAnswered(HashBytes(request->server), request->sent_at);
    notices_.OnAnswer(request->server, metadata.notices, request->sent_at);
  }
  request->rejected = rejected;
  request->answer_streams = streams;
  request->answer_head = head;
  return HeadVerdict::kTake;
}

bool ForwardController::OnAnswerChunk(AttemptId attempt, std::string bytes) {
  ForwardedRequest* request = FindByAttempt(attempt);
  if (request == nullptr) {
    return false;
  }
  request->last_received_at = clock_.Now();
  if (request->rejected) {
    return true;
  }
  if (request->answer_streams) {
    request->events.Feed(bytes);
    ForwardEvents(*request);
    return true;
  }
  if (request->head_sent) {
    port_.RespondChunk(request->exchange, bytes);
    return true;
  }
  request->answer_body += bytes;
  if (request->answer_body.size() > options_.max_buffered_answer_bytes) {
    request->head_sent = true;
    port_.RespondHead(request->exchange, ForClient(*request->answer_head));
    port_.RespondChunk(request->exchange,
                       std::exchange(request->answer_body, {}));
  }
  return true;
}

void ForwardController::ForwardEvents(ForwardedRequest& request) {
  const TimePoint now = clock_.Now();
  std::string passed;
  while (std::optional<StreamEvent> event = request.events.Next()) {
    if (request.event_count++ == 0) {
      request.first_event_at = now;
      version_selector_.OnFirstChunk(request.service, request.version_attempt,
                                     now - request.sent_at);
    }
    if (request.head_sent) {
      request.longest_pause =
          std::max(request.longest_pause, now - request.last_event_at);
    }
    request.last_event_at = now;
    if (!event->id.empty()) {
      request.last_event_id = event->id;
    }
    passed += event->bytes;
  }
  if (passed.empty()) {
    return;
  }
  // The head is sent with the first event: until then a broken stream can be
  // started again or reported as failed.
  if (!std::exchange(request.head_sent, true)) {
    port_.RespondHead(request.exchange, ForClient(*request.answer_head));
    metrics_.Observe("first_event_seconds{priority=\"" +
                         std::to_string(request.priority) + "\"}",
                     ToSeconds(now - request.arrived));
  }
  port_.RespondChunk(request.exchange, passed);
}

void ForwardController::OnAnswerEnd(AttemptId attempt) {
  ForwardedRequest* request = FindByAttempt(attempt);
  if (request == nullptr) {
    return;
  }
  if (request->rejected) {
    const bool wrong_server = request->answer_head->status == kMisdirected;
    AfterFailure(*request, wrong_server ? AttemptFailure::kWrongServer
                                        : AttemptFailure::kRejected);
    return;
  }
  if (request->answer_streams) {
    FinishStream(*request);
  } else {
    FinishNonStream(*request);
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
                       .pace_ms = PaceOf(request),
                       .read = PromptReadOf(request)});
  crashes_.OnServerSurvived(request.fingerprint);
  port_.RespondEnd(request.exchange);
  LogEnd(request, "answered", request.answer_head->status);
  RemoveRequest(request.exchange);
}

void ForwardController::FinishNonStream(ForwardedRequest& request) {
  const int status = request.answer_head->status;
  const bool error = status >= kFirstServerError;
  if (!error) {
    crashes_.OnServerSurvived(request.fingerprint);
    route_history_[request.route->name].answer_ms.Add(
        ToFractionalMilliseconds(clock_.Now() - request.sent_at));
  }
  ReportVersionOutcome(request, error);
  EndAttempt(request, {.kind = error ? SlotResult::Kind::kServerError
                                     : SlotResult::Kind::kAnswered,
                       .pace_ms = PaceOf(request),
                       .pushback = PushbackOf(request.server)});
  ++request.runs;
  if (error && !request.head_sent && MayRetry(request, RunState::kMayHaveRun)) {
    log_.Info("retry", {{"id", request.metadata.request_id},
                        {"server", request.server},
                        {"status", status}});
    Enqueue(request);
    return;
  }
  if (request.head_sent) {
    port_.RespondEnd(request.exchange);
  } else {
    port_.Respond(request.exchange, ForClient(*request.answer_head),
                  request.answer_body);
  }
  LogEnd(request, "answered", status);
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
  } else if (const std::optional<double> pace_ms = PaceOf(request)) {
    version_selector_.OnEventInterval(request.service, request.version_attempt,
                                      FromMilliseconds(*pace_ms));
  }
}

std::optional<double> ForwardController::PaceOf(
    const ForwardedRequest& request) const {
  if (!request.model_server) {
    return ToFractionalMilliseconds(clock_.Now() - request.sent_at);
  }
  // Over fewer events, the pace depends more on the prompts of other requests
  // than on the server.
  constexpr int kMinEvents = 5;
  if (request.event_count < kMinEvents) {
    return std::nullopt;
  }
  return ToFractionalMilliseconds(request.last_event_at -
                                  request.first_event_at) /
         (request.event_count - 1);
}

std::optional<PromptRead> ForwardController::PromptReadOf(
    const ForwardedRequest& request) {
  // For a shorter prompt, the wait depends more on the network and on other
  // prompts.
  constexpr uint64_t kMinTokens = 1000;
  if (request.event_count == 0 || request.metadata.prompt_tokens < kMinTokens) {
    return std::nullopt;
  }
  return PromptRead{
      .tokens = static_cast<uint32_t>(request.metadata.prompt_tokens),
      .ms = ToFractionalMilliseconds(request.first_event_at - request.sent_at)};
}

void ForwardController::OnAttemptFailed(AttemptId attempt,
                                        AttemptFailure failure) {
  if (ForwardedRequest* request = FindByAttempt(attempt)) {
    AfterFailure(*request,
                 request->rejected ? AttemptFailure::kRejected : failure);
  }
}

void ForwardController::AfterFailure(ForwardedRequest& request,
                                     AttemptFailure failure) {
  const TimePoint now = clock_.Now();
  log_.Info("attempt_failed",
            {{"id", request.metadata.request_id},
             {"fingerprint", request.fingerprint},
             {"server", request.server},
             {"failure", AttemptFailureName(failure)},
             {"after_ms", ToMilliseconds(now - request.sent_at)},
             {"events", request.event_count}});
  metrics_.Add(std::string("attempts_failed{failure=\"") +
               AttemptFailureName(failure) + "\"}");
  if (failure == AttemptFailure::kDisconnected) {
    crashes_.OnServerLost(request.fingerprint, HashBytes(request.server),
                          request.sent_at);
  } else if (failure == AttemptFailure::kNotConnected) {
    crashes_.OnServerUnreachable(HashBytes(request.server));
  }
  if (failure == AttemptFailure::kSilent) {
    version_selector_.OnFailed(request.service, request.version_attempt);
  } else if (failure == AttemptFailure::kDisconnected ||
             failure == AttemptFailure::kBroken) {
    version_selector_.OnBroken(request.service, request.version_attempt);
  }
  EndAttempt(request, {.kind = ResultKindOf(failure),
                       .pushback = PushbackOf(request.server)});
  const RunState state = RunStateAfter(failure);
  request.runs += state == RunState::kMayHaveRun ? 1 : 0;
  if (MayRetry(request, state)) {
    Enqueue(request);
  } else {
    GiveUp(request, state);
  }
}

bool ForwardController::MayRetry(ForwardedRequest& request, RunState state) {
  const TimePoint now = clock_.Now();
  if (request.due - now < kMinTimeForAttempt ||
      request.tried.size() >= kMaxServersTried) {
    return false;
  }
  const bool may_have_run = request.runs > 0;
  if (may_have_run &&
      (!request.may_repeat() || request.runs >= request.route->max_attempts)) {
    return false;
  }
  // After an event without an id the stream cannot be resumed.
  if (request.head_sent &&
      (!request.streams() || request.last_event_id.empty())) {
    return false;
  }
  return state == RunState::kUnsent ||
         retry_windows_.at(request.service).TryRetry(now);
}

void ForwardController::GiveUp(ForwardedRequest& request, RunState state) {
  if (request.head_sent) {
    port_.Abort(request.exchange);
    LogEnd(request, "cut", 0);
    RemoveRequest(request.exchange);
    return;
  }
  if (request.runs > 0) {
    RefuseRequest(request, {.code = ResultCode::kServerLost});
  } else if (state == RunState::kUnsent) {
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
  if (now >= request.due) {
    if (request.state == State::kSent) {
      port_.Cancel(request.attempt);
      EndAttempt(request, {});
      ++request.runs;
    }
    if (request.runs == 0) {
      RefuseRequest(request, {.code = ResultCode::kDeadlinePassed});
    } else {
      GiveUp(request, RunState::kMayHaveRun);
    }
    return;
  }
  if (request.state == State::kWaiting) {
    CheckWait(request, now);
    return;
  }
  if (request.event_count == 0 && !request.answer_head.has_value()) {
    version_selector_.OnNoAnswerYet(request.service, request.version_attempt,
                                    now - request.sent_at);
  }
  const bool silent =
      now - request.last_received_at >= timing_.MaxSilence(request);
  if (silent && request.may_repeat() &&
      request.runs + 1 < request.route->max_attempts) {
    // The connection to the former server is closed before another server gets
    // the request, so that the two do not work on the request at the same time
    // for long.
    port_.Cancel(request.attempt);
    AfterFailure(request, AttemptFailure::kSilent);
  }
}

void ForwardController::CheckWait(ForwardedRequest& request, TimePoint now) {
  const TimePoint wait_end = timing_.SlotWaitEnd(request);
  const std::optional<TimePoint> blocked_until = BlockedUntil(request.service);
  const bool may_have_run = request.runs > 0 || request.head_sent;
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
    GiveUp(request, RunState::kMayHaveRun);
    return;
  }
  RecordEndOfWait(request, /*got_slot=*/false);
  LogNotices(request);
  if (waits_in_vain) {
    RefuseRequest(request, {.code = ResultCode::kOverloaded,
                            .retry_after = *blocked_until - now});
    return;
  }
  const bool no_server = directory_.Usable(request.service).empty() ||
                         blocked_until == TimePoint::max();
  RefuseRequest(request, {.code = no_server ? ResultCode::kNoServer
                                            : ResultCode::kOverloaded,
                          .retry_after = timing_.RetryAfter(request)});
}

void ForwardController::Tick() {
  const TimePoint now = clock_.Now();
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
  LogEnd(request, Describe(refusal.code).name,
         Describe(refusal.code).http_status);
  Refuse(request.exchange, request.metadata.request_id, refusal);
  RemoveRequest(request.exchange);
}

void ForwardController::Refuse(ExchangeId exchange,
                               const std::string& request_id,
                               const Refusal& refusal) {
  const ResultCodeInfo& info = Describe(refusal.code);
  const Duration wait = refusal.retry_after.value_or(options_.retry_after);
  ResponseHead head{.status = info.http_status,
                    .fields = codec_.own_answer_fields(request_id)};
  head.fields.push_back({.name = "Content-Type", .value = "application/json"});
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  if (info.http_status == kTooManyRequests ||
      info.http_status == kUnavailable) {
    head.fields.push_back(
        {.name = "Retry-After", .value = RetryAfterValue(wait)});
  }
  metrics_.Add("refused{result=\"" + std::string(info.name) + "\"}");
  if (!requests_.contains(exchange)) {
    log_.Info("refused", {{"exchange", exchange},
                          {"id", request_id},
                          {"result", info.name},
                          {"retry_after_ms", ToMilliseconds(wait)}});
  }
  port_.Respond(exchange, head,
                RefusalBody(info.code, info.message, wait) + "\n");
}

void ForwardController::LogEnd(const ForwardedRequest& request,
                               std::string_view outcome,
                               int status) {
  const TimePoint now = clock_.Now();
  // Counted from the last attempt; -1 without an event.
  const int64_t first_event_ms =
      request.event_count == 0
          ? -1
          : ToMilliseconds(request.first_event_at - request.sent_at);
  // Time waited for a slot that was not granted; else 0.
  const int64_t waiting_ms =
      request.state == State::kWaiting && request.attempt != 0
          ? ToMilliseconds(now - request.waiting_since)
          : 0;
  log_.Info(
      "end",
      {{"id", request.metadata.request_id},
       {"fingerprint", request.fingerprint},
       {"outcome", outcome},
       {"status", status},
       {"route", request.route == nullptr ? "" : request.route->name},
       {"team", request.team},
       {"config_version", request.table->version()},
       {"attempts", request.tried.size()},
       {"runs", request.runs},
       {"events", request.event_count},
       {"prompt_tokens", request.metadata.prompt_tokens},
       {"body_bytes", request.body.size()},
       {"most_output_tokens", request.metadata.output_tokens},
       {"expected_output_tokens", request.metadata.expected_output_tokens},
       {"server", request.server},
       {"gate", slot_router_.RequestedScheduler(request.attempt)},
       {"waiting_ms", waiting_ms},
       {"first_event_ms", first_event_ms},
       {"longest_pause_ms", ToMilliseconds(request.longest_pause)},
       {"took_ms", ToMilliseconds(now - request.arrived)}});
  metrics_.Add("ended{outcome=\"" + std::string(outcome) + "\"}");
  metrics_.Observe("request_seconds", ToSeconds(now - request.arrived));
}

void ForwardController::LogNotices(const ForwardedRequest& request) const {
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

void ForwardController::RemoveRequest(ExchangeId exchange) {
  const auto found = requests_.find(exchange);
  held_body_bytes_ -= found->second->body.size();
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
  report.team_totals = rates_.totals();
  return report;
}

void ForwardController::OnPeerReport(const std::string& peer,
                                     const ForwardReport& report) {
  rates_.OnPeerTotals(peer, report.team_totals, clock_.Now());
}

void ForwardController::OnRelayedTotals(const std::string& coordinator,
                                        const UsageTotals& totals) {
  rates_.OnRelayedTotals(coordinator, totals, clock_.Now());
}

void ForwardController::OnPeerLost(const std::string& peer) {
  rates_.ForgetPeer(peer);
}

void ForwardController::OnPeerCount(size_t known, size_t reporting) {
  rates_.share().OnPeerCount(known, reporting, clock_.Now());
  const size_t sharing_count = rates_.share().EntryCount(clock_.Now());
  if (std::exchange(sharing_entries_, sharing_count) == sharing_count) {
    return;
  }
  options_.retries.extra =
      options_.retry_extra / static_cast<double>(sharing_entries_);
  for (auto& [service, window] : retry_windows_) {
    window.set_extra(options_.retries.extra);
  }
}

}  // namespace lavenderkeel
