#include "lavenderkeel/io/server_client.h"

#include <boost/json.hpp>
#include <utility>

#include "lavenderkeel/config/json_fields.h"

namespace lavenderkeel {

namespace json = boost::json;

namespace {

/// Only a last resort: the gate itself detects streams without data.
constexpr Duration kStreamTimeout = std::chrono::hours(12);
constexpr Duration kServiceTimeout = std::chrono::minutes(10);
constexpr Duration kCancelTimeout = std::chrono::seconds(3);
constexpr std::string_view kEventPrefix = "data: ";
/// An event without an end is no event.
constexpr size_t kMaxLineBytes = size_t{1} << 20;
constexpr size_t kMaxStreamBytes = size_t{256} << 20;
constexpr size_t kMaxCancelAnswerBytes = size_t{64} << 10;

CancelResult CancelResultOf(const HttpResult& result) {
  constexpr int kOk = 200;
  const std::optional<json::value> answer =
      result.kind == HttpResult::Kind::kAnswered && result.status == kOk
          ? ParseJsonObject(result.body)
          : std::nullopt;
  const json::value* state =
      answer.has_value() ? answer->get_object().if_contains("state") : nullptr;
  if (state == nullptr || !state->is_string()) {
    return CancelResult::kNoAnswer;
  }
  return state->get_string() == "unknown" ? CancelResult::kUnknown
                                          : CancelResult::kKnown;
}

/// Returns whether the server turned the request away and asks for a rest.
bool IsPushback(const HttpResult& result) {
  constexpr int kUnavailable = 503;
  return result.kind == HttpResult::Kind::kAnswered &&
         result.status == kUnavailable && !result.retry_after.empty();
}

}  // namespace

ServerClient::ServerClient(HttpClient& http,
                           std::string address,
                           RunController& runs,
                           std::function<void()> execute_actions)
    : http_(http),
      address_(std::move(address)),
      runs_(runs),
      execute_actions_(std::move(execute_actions)) {}

void ServerClient::Handle(const ServerStart& start) {
  if (start.service) {
    CallService(start);
    return;
  }
  OpenStream(start.run, {.address = address_,
                         .method = "POST",
                         .path = start.path,
                         .headers = {{"Content-Type", "application/json"}},
                         .body = start.body});
}

void ServerClient::Handle(const ServerResume& resume) {
  OpenStream(resume.run, {.address = address_,
                          .method = "GET",
                          .path = "/v1/streams/" + resume.request_id +
                                  "?from=" + std::to_string(resume.from)});
}

void ServerClient::OpenStream(RunId run, HttpClient::Call call) {
  Drop(run);
  call.timeout = kStreamTimeout;
  call.max_body_bytes = kMaxStreamBytes;
  call.on_data = [this, run](std::string_view bytes) { OnBytes(run, bytes); };
  call.on_done = [this, run](const HttpResult& result) {
    OnStreamDone(run, result);
  };
  streams_[run].call = http_.Start(std::move(call));
}

void ServerClient::OnBytes(RunId run, std::string_view bytes) {
  const auto found = streams_.find(run);
  if (found == streams_.end()) {
    return;
  }
  Stream& stream = found->second;
  bool reads = true;
  while (reads && !bytes.empty()) {
    const size_t end = bytes.find('\n');
    stream.line += bytes.substr(0, end);
    if (stream.line.size() > kMaxLineBytes) {
      DropUnreadable(run, ServerDisconnect::kBroken);
      break;
    }
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    reads = OnLine(run, stream, std::exchange(stream.line, {}));
  }
  execute_actions_();
}

bool ServerClient::OnLine(RunId run, Stream& stream, std::string_view line) {
  if (!line.starts_with(kEventPrefix)) {
    return true;
  }
  line.remove_prefix(kEventPrefix.size());
  return line == "[DONE]" || OnEvent(run, stream, line);
}

bool ServerClient::OnEvent(RunId run, Stream& stream, std::string_view event) {
  const std::optional<json::value> value = ParseJsonObject(event);
  if (!value.has_value()) {
    DropUnreadable(run, ServerDisconnect::kUnreadable);
    return false;
  }
  const json::object& object = value->get_object();
  if (object.contains("finish_reason")) {
    stream.finished = true;
    runs_.OnServerFinish(run, event);
    return true;
  }
  const json::value* index = object.if_contains("index");
  const json::value* text = object.if_contains("text");
  if (text == nullptr) {
    // An event of another kind.
    return true;
  }
  if (index == nullptr || !index->is_int64() || index->get_int64() < 0 ||
      !text->is_string()) {
    DropUnreadable(run, ServerDisconnect::kUnreadable);
    return false;
  }
  return runs_.OnServerText(run, static_cast<uint64_t>(index->get_int64()),
                            text->get_string());
}

void ServerClient::DropUnreadable(RunId run, ServerDisconnect why) {
  Drop(run);
  runs_.OnServerDisconnect(run, why);
}

void ServerClient::OnStreamDone(RunId run, const HttpResult& result) {
  const auto found = streams_.find(run);
  if (found == streams_.end()) {
    return;
  }
  const bool finished = found->second.finished;
  streams_.erase(found);
  if (!finished && IsPushback(result)) {
    runs_.OnServerPushback(run, result.retry_after);
  } else if (!finished) {
    constexpr int kOk = 200;
    const bool refused =
        result.kind == HttpResult::Kind::kAnswered && result.status != kOk;
    const bool not_sent = result.kind == HttpResult::Kind::kNotSent;
    runs_.OnServerDisconnect(run, refused    ? ServerDisconnect::kRefused
                                  : not_sent ? ServerDisconnect::kUnreachable
                                             : ServerDisconnect::kBroken);
  }
  execute_actions_();
}

void ServerClient::CallService(const ServerStart& start) {
  const RunId run = start.run;
  HttpClient::Call call{.address = address_,
                        .method = start.method,
                        .path = start.path,
                        .headers = {{"Content-Type", "application/json"}},
                        .body = start.body,
                        .timeout = kServiceTimeout};
  call.on_done = [this, run](const HttpResult& result) {
    if (streams_.erase(run) == 0) {
      return;
    }
    if (IsPushback(result)) {
      runs_.OnServicePushback(run, result.retry_after);
    }
    if (result.kind == HttpResult::Kind::kAnswered) {
      runs_.OnServiceReply(run, result.status, result.content_type,
                           result.body);
    } else {
      runs_.OnServerDisconnect(run, result.kind == HttpResult::Kind::kNotSent
                                        ? ServerDisconnect::kUnreachable
                                        : ServerDisconnect::kBroken);
    }
    execute_actions_();
  };
  streams_[run].call = http_.Start(std::move(call));
}

void ServerClient::Handle(const ServerCancel& cancel) {
  Drop(cancel.run);
  if (cancel.service) {
    runs_.OnServerCancelled(cancel.run, CancelResult::kNoAnswer);
    return;
  }
  http_.Start({.address = address_,
               .method = "POST",
               .path = "/v1/streams/" + cancel.request_id + "/cancel",
               .headers = {},
               .body = "",
               .timeout = kCancelTimeout,
               .max_body_bytes = kMaxCancelAnswerBytes,
               .on_data = nullptr,
               .on_done = [this, run = cancel.run](const HttpResult& result) {
                 runs_.OnServerCancelled(run, CancelResultOf(result));
                 execute_actions_();
               }});
}

void ServerClient::Drop(RunId run) {
  const auto found = streams_.find(run);
  if (found != streams_.end()) {
    http_.Cancel(found->second.call);
    streams_.erase(found);
  }
}

}  // namespace lavenderkeel
