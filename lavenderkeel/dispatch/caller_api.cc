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
constexpr int64_t kLongestDeadlineMs = int64_t{24} * 3600 * 1000;

/// A key belongs to its team: folded into the key, another team's use of the
/// same UUID is another key, and nobody can read, cancel or even learn of a
/// request that is not its own.
RequestKey KeyOfTeam(RequestKey key, const std::string& team) {
  constexpr uint64_t kVariantMask = 0xC000000000000000;
  const uint64_t variant = key.lo & kVariantMask;
  key.lo = ((key.lo ^ HashBytes(team)) & ~kVariantMask) | variant;
  return key;
}

Failure Refused(ResultCode code) {
  return {code, std::string(Describe(code).message)};
}

}  // namespace

CallerApi::CallerApi(EntryContext& context, RequestController& requests)
    : context_(context),
      requests_(requests),
      filters_({[this](RequestDraft& draft) { return IdentifyTeam(draft); },
                [this](RequestDraft& draft) { return ReadKey(draft); },
                ReadWork, ReadDeadline, ReadBody}) {}

void CallerApi::Handle(CallerRequest request) {
  const std::string path = request.path;
  if (path.starts_with(kRequestsPath)) {
    HandleRead(request, path.substr(kRequestsPath.size()));
    return;
  }
  const bool runs = path == kCompletionsPath || path == kChatPath ||
                    path.starts_with(kServicesPath);
  if (!runs) {
    Refuse(request.caller, Refused(ResultCode::kNotFound));
    return;
  }
  const bool is_service = path.starts_with(kServicesPath);
  if (request.method != "POST" && !is_service) {
    Refuse(request.caller, Refused(ResultCode::kMethodNotAllowed));
    return;
  }
  HandleRun(std::move(request));
}

void CallerApi::HandleRun(CallerRequest request) {
  RequestDraft draft;
  draft.config = context_.config.current();
  draft.http = std::move(request);
  if (!draft.config) {
    RefuseUnconfigured(draft.http);
    return;
  }
  for (const RequestFilter& filter : filters_) {
    if (const std::optional<Failure> failure = filter(draft)) {
      Refuse(draft.http.caller, *failure);
      return;
    }
  }
  requests_.Submit(std::move(draft.submission));
}

void CallerApi::RefuseUnconfigured(const CallerRequest& request) {
  // Without a configuration the team, and so the key, can't be told; a request
  // with a key may have run elsewhere, which "not run" would deny.
  const ResultCode code = request.idempotency_key.has_value()
                              ? ResultCode::kCannotVouch
                              : ResultCode::kNoConfiguration;
  Refuse(request.caller, Refused(code));
}

void CallerApi::HandleRead(const CallerRequest& request,
                           const std::string& text) {
  RequestDraft draft;
  draft.config = context_.config.current();
  draft.http = request;
  if (!draft.config) {
    Refuse(request.caller, Refused(ResultCode::kNoConfiguration));
    return;
  }
  if (const std::optional<Failure> failure = IdentifyTeam(draft)) {
    Refuse(request.caller, *failure);
    return;
  }
  const std::optional<RequestKey> parsed = RequestKey::Parse(text);
  if (!parsed.has_value()) {
    Refuse(request.caller, Refused(ResultCode::kBadKey));
    return;
  }
  const RequestKey key = KeyOfTeam(*parsed, draft.team->name);
  if (request.method == "GET") {
    requests_.Observe(request.caller, key, text, draft.team->name);
    return;
  }
  if (request.method != "DELETE") {
    Refuse(request.caller, Refused(ResultCode::kMethodNotAllowed));
    return;
  }
  requests_.CancelForCaller(
      key, [this, caller = request.caller, text](bool found) {
        if (!found) {
          Refuse(caller, Refused(ResultCode::kNotFound));
          return;
        }
        context_.outbox.Push(
            ReplyWhole{.caller = caller,
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
  const bool later = Describe(failure.code).http_status == kUnavailable;
  context_.outbox.Push(
      CallerFeed::ErrorReply(caller, failure.code, failure.message, "",
                             later ? kRetryAfter : Duration::zero()));
}

std::optional<Failure> CallerApi::IdentifyTeam(RequestDraft& draft) const {
  if (draft.http.bearer.has_value()) {
    draft.team = draft.config->FindTeamByKeyHash(Sha256Hex(*draft.http.bearer));
  }
  if (draft.team == nullptr) {
    return Refused(ResultCode::kUnknownTeam);
  }
  draft.submission.terms.team = draft.team->name;
  draft.submission.terms.team_key_sha256 = draft.team->key_sha256;
  draft.submission.terms.weight = draft.team->weight;
  return std::nullopt;
}

std::optional<Failure> CallerApi::ReadKey(RequestDraft& draft) const {
  // A key from the future would be vouched for by entries that started after
  // its first use; within the clock skew it is allowed for.
  constexpr Duration kAhead = std::chrono::seconds(1);
  Submission& submission = draft.submission;
  submission.caller = draft.http.caller;
  const WallTime now = context_.clock.WallNow();
  RequestKey key;
  if (draft.http.idempotency_key.has_value()) {
    const std::optional<RequestKey> parsed =
        RequestKey::Parse(*draft.http.idempotency_key);
    if (!parsed.has_value() || parsed->first_sent() > now + kAhead) {
      return Refused(ResultCode::kBadKey);
    }
    key = *parsed;
  } else {
    key = RequestKey::Mint(now, context_.random);
    submission.minted = true;
  }
  submission.public_key = key.ToString();
  submission.key = KeyOfTeam(key, draft.team->name);
  return std::nullopt;
}

std::optional<Failure> CallerApi::ReadWork(RequestDraft& draft) {
  const std::vector<std::string>& allowed = draft.team->work;
  const bool single = !draft.http.work.has_value() && allowed.size() == 1;
  const std::string name =
      single ? allowed.front() : draft.http.work.value_or("");
  if (std::ranges::find(allowed, name) == allowed.end()) {
    return Failure{ResultCode::kUnknownWork,
                   name.empty() ? "Lavenderkeel-Work is missing"
                                : "the team has no work class '" + name + "'"};
  }
  draft.work = draft.config->FindWork(name);
  const Tier& tier = draft.config->TierOf(*draft.work);
  WorkTerms& terms = draft.submission.terms;
  terms.work = name;
  terms.tier_name = tier.name;
  terms.tier = tier.rank;
  terms.repeatable = draft.work->repeatable;
  terms.deadline_bound = tier.deadline_bound;
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
                     milliseconds > 0 && milliseconds <= kLongestDeadlineMs;
  if (!valid) {
    return Refused(ResultCode::kBadDeadline);
  }
  draft.submission.deadline = std::chrono::milliseconds(milliseconds);
  return std::nullopt;
}

std::optional<Failure> CallerApi::ReadBody(RequestDraft& draft) {
  const CallerRequest& http = draft.http;
  Submission& submission = draft.submission;
  submission.body_hash =
      HashBytes(http.method + " " + http.path + "?" + http.query + "\n" +
                submission.terms.work + "\n" + http.body);
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
  const std::string rest = http.path.substr(kServicesPath.size());
  const size_t slash = rest.find('/');
  const std::string service = rest.substr(0, slash);
  if (service.empty()) {
    return Refused(ResultCode::kNotFound);
  }
  std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
  path += http.query.empty() ? "" : "?" + http.query;
  submission.payload = {.service = true,
                        .method = http.method,
                        .path = std::move(path),
                        .body = http.body,
                        .head = R"({"kind":"service"})",
                        .needs = "service/" + service,
                        .prompt_tokens = 1,
                        .max_tokens = 1,
                        .prefix = {}};
  return std::nullopt;
}

}  // namespace lavenderkeel
