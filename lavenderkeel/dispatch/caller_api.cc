#include "lavenderkeel/dispatch/caller_api.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "lavenderkeel/dispatch/request_body.h"

namespace lavenderkeel {

namespace {

constexpr std::string_view kRequestsPath = "/v1/requests/";
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr int64_t kMaxDeadlineMs = int64_t{24} * 3600 * 1000;

/// Hashes the team into the key, so that the same UUID of two teams gives two
/// keys. A team can't read, cancel or detect the requests of another team.
RequestKey ScopeKeyToTeam(RequestKey key, const std::string& team) {
  constexpr uint64_t kVariantMask = 0xC000000000000000;
  const uint64_t variant = key.lo & kVariantMask;
  key.lo = ((key.lo ^ HashBytes(team)) & ~kVariantMask) | variant;
  return key;
}

/// Returns why a request is refused while there is no configuration. The team,
/// and so the internal key, is unknown then. A request with an Idempotency-Key
/// may have run at another entry, so that "not run" could be false.
ResultCode UnconfiguredCode(const CallerRequest& request) {
  return request.idempotency_key.has_value() ? ResultCode::kCannotVouch
                                             : ResultCode::kNoConfiguration;
}

Failure MakeFailure(ResultCode code) {
  return {code, std::string(Describe(code).message)};
}

}  // namespace

CallerApi::CallerApi(EntryContext& context, RequestController& requests)
    : context_(context),
      requests_(requests),
      head_filters_(
          {[this](RequestDraft& draft) { return IdentifyTeam(draft); },
           [this](RequestDraft& draft) { return ReadKey(draft); }, ReadWork,
           ReadDeadline}) {}

void CallerApi::Handle(CallerRequest request) {
  const std::string path = request.path;
  if (path.starts_with(kRequestsPath)) {
    HandleByKey(request, path.substr(kRequestsPath.size()));
    return;
  }
  if (const std::optional<ResultCode> code = CheckPath(request)) {
    Refuse(request.caller, MakeFailure(*code));
    return;
  }
  HandleSubmission(std::move(request));
}

std::optional<ResultCode> CallerApi::CheckPath(const CallerRequest& request) {
  const bool is_service = request.path.starts_with(kServicesPath);
  const bool is_submission = request.path == kCompletionsPath ||
                             request.path == kChatPath || is_service;
  if (!is_submission) {
    return ResultCode::kNotFound;
  }
  return request.method != "POST" && !is_service
             ? std::optional(ResultCode::kMethodNotAllowed)
             : std::nullopt;
}

CallerHeadDecision CallerApi::CheckHead(const CallerRequest& head) {
  if (const std::optional<ResultCode> code = CheckPath(head)) {
    return {.refusal = *code};
  }
  RequestDraft draft;
  draft.config = context_.config.current();
  draft.http = head;
  if (!draft.config) {
    return {.refusal = UnconfiguredCode(head)};
  }
  if (const std::optional<Failure> failure = ReadHead(draft)) {
    return {.refusal = failure->code};
  }
  return {.rank = static_cast<int>(draft.submission.properties.tier)};
}

void CallerApi::RefuseUnread(const CallerRequest& head, ResultCode code) {
  // The request of this key may have run at another entry.
  const bool may_have_run =
      code == ResultCode::kMemoryLimit && head.idempotency_key.has_value();
  Refuse(head.caller,
         MakeFailure(may_have_run ? ResultCode::kCannotVouch : code));
}

std::optional<Failure> CallerApi::ReadHead(RequestDraft& draft) const {
  for (const RequestFilter& filter : head_filters_) {
    if (std::optional<Failure> failure = filter(draft)) {
      return failure;
    }
  }
  return std::nullopt;
}

void CallerApi::HandleSubmission(CallerRequest request) {
  RequestDraft draft;
  draft.config = context_.config.current();
  draft.http = std::move(request);
  if (!draft.config) {
    RefuseUnconfigured(draft.http);
    return;
  }
  std::optional<Failure> failure = ReadHead(draft);
  if (!failure.has_value()) {
    failure = ReadBody(draft);
  }
  if (failure.has_value()) {
    Refuse(draft.http.caller, *failure);
    return;
  }
  HoldMemory(draft);
  requests_.Submit(std::move(draft.submission));
}

void CallerApi::HoldMemory(RequestDraft& draft) {
  Payload& payload = draft.submission.payload;
  payload.memory = std::move(draft.http.memory);
  if (payload.memory != nullptr) {
    // The parts are held twice, and the content is not that of the body.
    payload.memory->Resize(
        payload.memory->bytes() -
        std::min(payload.memory->bytes(), draft.http.body.size()) +
        payload.body.capacity() +
        2 * payload.prompt_parts.capacity() * sizeof(PromptPartId));
  }
}

void CallerApi::RefuseUnconfigured(const CallerRequest& request) {
  Refuse(request.caller, MakeFailure(UnconfiguredCode(request)));
}

void CallerApi::HandleByKey(const CallerRequest& request,
                            const std::string& text) {
  RequestDraft draft;
  draft.config = context_.config.current();
  draft.http = request;
  if (!draft.config) {
    // The key may be known at another entry.
    Refuse(request.caller, MakeFailure(ResultCode::kCannotVouch));
    return;
  }
  if (const std::optional<Failure> failure = IdentifyTeam(draft)) {
    Refuse(request.caller, *failure);
    return;
  }
  const std::optional<RequestKey> parsed = RequestKey::Parse(text);
  if (!parsed.has_value()) {
    Refuse(request.caller, MakeFailure(ResultCode::kBadKey));
    return;
  }
  const RequestKey key = ScopeKeyToTeam(*parsed, draft.team->name);
  if (request.method == "GET") {
    requests_.ReadAnswer(request.caller, key, text, draft.team->name);
    return;
  }
  if (request.method != "DELETE") {
    Refuse(request.caller, MakeFailure(ResultCode::kMethodNotAllowed));
    return;
  }
  requests_.CancelForCaller(key, [this, caller = request.caller, text](
                                     const std::optional<ResultCode>& failure) {
    if (failure.has_value()) {
      Refuse(caller, MakeFailure(*failure));
      return;
    }
    context_.outbox.Push(
        ReplyComplete{.caller = caller,
                      .status = 202,
                      .headers = {{"Content-Type", "application/json"},
                                  {"Lavenderkeel-Key", text}},
                      .body = R"({"state":"cancelling"})"});
  });
}

void CallerApi::Refuse(CallerId caller, const Failure& failure) {
  context_.metrics.Add("refused_total{reason=\"" +
                       std::string(Describe(failure.code).name) + "\"}");
  constexpr int kUnavailable = 503;
  constexpr Duration kRetryAfter = std::chrono::seconds(1);
  const bool is_unavailable =
      Describe(failure.code).http_status == kUnavailable;
  context_.outbox.Push(CallerSubscriptions::ErrorReply(
      caller, failure.code, failure.message, "",
      is_unavailable ? kRetryAfter : Duration::zero()));
}

std::optional<Failure> CallerApi::IdentifyTeam(RequestDraft& draft) const {
  if (draft.http.bearer.has_value()) {
    draft.team = draft.config->FindTeamByKeyHash(Sha256Hex(*draft.http.bearer));
  }
  if (draft.team == nullptr) {
    return MakeFailure(ResultCode::kUnknownTeam);
  }
  draft.submission.properties.team = draft.team->name;
  draft.submission.properties.team_key_sha256 = draft.team->key_sha256;
  draft.submission.properties.weight = draft.team->weight;
  return std::nullopt;
}

std::optional<Failure> CallerApi::ReadKey(RequestDraft& draft) const {
  // An entry that started after the first use of a key dated in the future
  // would vouch that the key is unused. The limit covers only the clock skew.
  constexpr Duration kMaxClockSkew = std::chrono::seconds(1);
  Submission& submission = draft.submission;
  submission.caller = draft.http.caller;
  const WallTime now = context_.clock.WallNow();
  RequestKey key;
  if (draft.http.idempotency_key.has_value()) {
    const std::optional<RequestKey> parsed =
        RequestKey::Parse(*draft.http.idempotency_key);
    if (!parsed.has_value() || parsed->first_sent() > now + kMaxClockSkew) {
      return MakeFailure(ResultCode::kBadKey);
    }
    key = *parsed;
  } else {
    key = RequestKey::Mint(now, context_.random);
    submission.minted = true;
  }
  submission.public_key = key.ToString();
  submission.key = ScopeKeyToTeam(key, draft.team->name);
  return std::nullopt;
}

std::optional<Failure> CallerApi::ReadWork(RequestDraft& draft) {
  const std::vector<std::string>& allowed = draft.team->work;
  const bool has_single_class =
      !draft.http.work.has_value() && allowed.size() == 1;
  const std::string name =
      has_single_class ? allowed.front() : draft.http.work.value_or("");
  if (std::ranges::find(allowed, name) == allowed.end()) {
    return Failure{ResultCode::kUnknownWork,
                   name.empty() ? "Lavenderkeel-Work is missing"
                                : "the team has no work class '" + name + "'"};
  }
  draft.work = draft.config->FindWork(name);
  const Tier& tier = draft.config->TierOf(*draft.work);
  WorkProperties& properties = draft.submission.properties;
  properties.work = name;
  properties.tier_name = tier.name;
  properties.tier = tier.rank;
  properties.repeatable = draft.work->repeatable;
  properties.deadline_bound = tier.deadline_bound;
  return std::nullopt;
}

std::optional<Failure> CallerApi::ReadDeadline(RequestDraft& draft) {
  if (!draft.http.deadline_ms.has_value()) {
    return std::nullopt;
  }
  const std::string& text = *draft.http.deadline_ms;
  int64_t milliseconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  const bool valid = error == std::errc() && end == text.data() + text.size() &&
                     milliseconds > 0 && milliseconds <= kMaxDeadlineMs;
  if (!valid) {
    return MakeFailure(ResultCode::kBadDeadline);
  }
  draft.submission.deadline = std::chrono::milliseconds(milliseconds);
  return std::nullopt;
}

std::optional<Failure> CallerApi::ReadBody(RequestDraft& draft) {
  const CallerRequest& http = draft.http;
  Submission& submission = draft.submission;
  submission.body_hash =
      HashBytes(http.method + " " + http.path + "?" + http.query + "\n" +
                submission.properties.work + "\n" + http.body);
  if (!http.path.starts_with(kServicesPath)) {
    const auto parsed = Catch([&] {
      return internal::ParseEngineBody(http.body, http.path == kChatPath,
                                       *draft.config);
    });
    if (!parsed) {
      return parsed.failure;
    }
    submission.payload = parsed.value->payload;
    submission.stream = parsed.value->stream;
    return std::nullopt;
  }
  const std::string service_path = http.path.substr(kServicesPath.size());
  const size_t slash = service_path.find('/');
  const std::string service = service_path.substr(0, slash);
  if (service.empty()) {
    return MakeFailure(ResultCode::kNotFound);
  }
  std::string path =
      slash == std::string::npos ? "/" : service_path.substr(slash);
  path += http.query.empty() ? "" : "?" + http.query;
  submission.payload = {.service = true,
                        .method = http.method,
                        .path = std::move(path),
                        .body = http.body,
                        .head = R"({"kind":"service"})",
                        .required_backend = "service/" + service,
                        .prompt_tokens = 1,
                        .max_tokens = 1,
                        .prefix = {},
                        .prompt_parts = {}};
  return std::nullopt;
}

}  // namespace lavenderkeel
