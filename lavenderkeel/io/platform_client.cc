#include "lavenderkeel/io/platform_client.h"

namespace lavenderkeel {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);

/// Removes the quotes that ETags have in HTTP; internally an ETag is a bare
/// version.
std::string Unquoted(const std::string& etag) {
  const bool quoted =
      etag.size() >= 2 && etag.front() == '"' && etag.back() == '"';
  return quoted ? etag.substr(1, etag.size() - 2) : etag;
}

}  // namespace

void PlatformClient::Handle(const PlatformCall& call) {
  HttpClient::Call request{.address = address_,
                           .method = call.method,
                           .path = call.path,
                           .headers = {},
                           .body = call.body,
                           .timeout = kCallTimeout,
                           .on_data = nullptr,
                           .on_done = nullptr};
  if (call.if_match == "*") {
    request.headers.emplace_back("If-None-Match", "*");
  } else if (call.if_match.has_value()) {
    request.headers.emplace_back("If-Match", "\"" + *call.if_match + "\"");
  }
  if (call.wait_ms.has_value()) {
    request.timeout += std::chrono::milliseconds(*call.wait_ms);
  }
  request.on_done = [this, id = call.call](const HttpResult& result) {
    PlatformReply reply;
    if (result.kind == HttpResult::Kind::kAnswered) {
      reply = {.status = result.status,
               .etag = Unquoted(result.etag),
               .body = result.body};
    }
    on_reply_(id, reply);
  };
  http_.Start(std::move(request));
}

}  // namespace lavenderkeel
