#include "lavenderkeel/io/http_server.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lavenderkeel {

namespace {

constexpr int kBadMethodStatus = 501;

bool IsKnownMethod(std::string_view method) {
  // An answer to HEAD has no body, which the handlers do not know.
  constexpr std::array<std::string_view, 5> kMethods = {"GET", "POST", "PUT",
                                                        "DELETE", "PATCH"};
  return std::ranges::find(kMethods, method) != kMethods.end();
}

ResponseHead HeadOf(int status, const HttpHeaders& headers) {
  ResponseHead head{.status = status};
  for (const auto& [name, value] : headers) {
    head.fields.push_back({.name = name, .value = value});
  }
  return head;
}

HttpRequest FromHead(CallerId id, RequestHead read) {
  const auto shared = std::make_shared<const RequestHead>(std::move(read));
  const RequestHead& head = *shared;
  const size_t question = std::min(head.target.find('?'), head.target.size());
  HttpRequest request{.id = id,
                      .method = head.method,
                      .path = head.target.substr(0, question),
                      .query = question == head.target.size()
                                   ? std::string()
                                   : head.target.substr(question + 1)};
  request.header = [shared](const char* name) {
    const std::string* value = FindField(shared->fields, name);
    return value == nullptr ? std::nullopt : std::optional(*value);
  };
  return request;
}

}  // namespace

struct HttpServer::OwnMemory {
  SystemClock clock;
  MemoryBudget budget{std::numeric_limits<size_t>::max() / 2};
  BodyMemory bodies{{}, budget, clock};
};

HttpServer::HttpServer(EventLoop& loop,
                       Options options,
                       const Clock& clock,
                       BodyMemory& bodies,
                       Hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      port_(std::make_unique<ClientPort>(
          loop,
          ClientPort::Options{.name = options_.name,
                              .max_connections = options_.max_connections,
                              .strict = false},
          clock,
          bodies,
          ClientPort::Hooks{
              .on_request =
                  [this](CallerId id,
                         RequestHead head,
                         std::string body,
                         MemoryCharge memory) {
                    OnRequest(id, std::move(head), std::move(body),
                              std::move(memory));
                  },
              .check_head =
                  [this](const RequestHead& head) {
                    return hooks_.check_head
                               ? hooks_.check_head(FromHead(0, head))
                               : ClientPort::HeadDecision();
                  },
              .on_bad_request =
                  [this](CallerId id,
                         const RequestHead& head,
                         ResultCode code) {
                    if (hooks_.on_refused) {
                      hooks_.on_refused(FromHead(id, head), code);
                      return;
                    }
                    port_->Respond(id, {.status = Describe(code).http_status},
                                   {});
                  },
              .on_gone = [this](CallerId id) { hooks_.on_gone(id); },
              .on_written = [this](CallerId id) { hooks_.on_drained(id); },
              .limits =
                  [this] {
                    return ClientLimits{.head_bytes = options_.max_header_bytes,
                                        .body_bytes = options_.max_body_bytes,
                                        .head_time = options_.head_time,
                                        .idle_time = options_.idle_time};
                  },
              .on_limit =
                  [this](const ClientLimitEvent& event) {
                    if (hooks_.on_limit) {
                      hooks_.on_limit(event);
                    }
                  }})) {}

HttpServer::HttpServer(EventLoop& loop, Options options, Hooks hooks)
    : HttpServer(loop,
                 std::move(options),
                 std::make_unique<OwnMemory>(),
                 std::move(hooks)) {}

HttpServer::HttpServer(EventLoop& loop,
                       Options options,
                       std::unique_ptr<OwnMemory> memory,
                       Hooks hooks)
    : HttpServer(loop,
                 std::move(options),
                 memory->clock,
                 memory->bodies,
                 std::move(hooks)) {
  own_memory_ = std::move(memory);
}

HttpServer::~HttpServer() = default;

void HttpServer::OnRequest(CallerId id,
                           RequestHead head,
                           std::string body,
                           MemoryCharge memory) {
  if (!IsKnownMethod(head.method)) {
    port_->Respond(id, {.status = kBadMethodStatus}, {});
    return;
  }
  HttpRequest request = FromHead(id, std::move(head));
  request.body = std::move(body);
  request.memory = std::make_shared<MemoryCharge>(std::move(memory));
  hooks_.on_request(request);
}

void HttpServer::Tick() {
  port_->Tick();
}

void HttpServer::Handle(ReplyComplete reply) {
  port_->Respond(reply.caller, HeadOf(reply.status, reply.headers), reply.body);
}

void HttpServer::Handle(const ReplyHead& reply) {
  port_->RespondHead(reply.caller, HeadOf(reply.status, reply.headers));
}

void HttpServer::Handle(const ReplyChunk& reply) {
  port_->RespondChunk(reply.caller, reply.bytes);
}

void HttpServer::Handle(const ReplyEnd& reply) {
  port_->RespondEnd(reply.caller);
}

void HttpServer::Handle(const ReplyAbort& reply) {
  port_->Abort(reply.caller);
}

}  // namespace lavenderkeel
