#include "lavenderkeel/io/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <string_view>
#include <utility>

#include "lavenderkeel/http/message_head.h"
#include "lavenderkeel/http/message_reader.h"
#include "lavenderkeel/io/address.h"
#include "lavenderkeel/io/socket_options.h"

namespace lavenderkeel {

namespace {

constexpr int kOk = 200;
constexpr int kFirstFinalStatus = 200;
constexpr size_t kMaxHeadBytes = size_t{64} << 10;
constexpr int kMaxInterimResponses = 64;
/// The bound of a streamed call is for bytes that are passed on. Another answer
/// to it is kept whole.
constexpr size_t kMaxErrorBodyBytes = size_t{1} << 20;

std::string Encode(const HttpClient::Call& call) {
  RequestHead head{.method = call.method,
                   .target = call.path,
                   .fields = {{.name = "Host", .value = call.address},
                              {.name = "Connection", .value = "close"}}};
  for (const auto& [name, value] : call.headers) {
    head.fields.push_back({.name = name, .value = value});
  }
  return EncodeRequest(head, call.body);
}

std::string ValueOf(const ResponseHead& head, std::string_view name) {
  const std::string* value = FindField(head.fields, name);
  return value == nullptr ? std::string() : *value;
}

HttpResult::Kind KindOf(ReadFault fault) {
  switch (fault) {
    case ReadFault::kHeadTooLarge:
    case ReadFault::kLineTooLarge:
    case ReadFault::kBodyTooLarge:
      return HttpResult::Kind::kTooLarge;
    default:
      return HttpResult::Kind::kNoAnswer;
  }
}

}  // namespace

struct HttpClient::Pending {
  Pending(HttpClient& client_in, CallId id_in, Call call_in)
      : client(client_in), id(id_in), call(std::move(call_in)) {}
  ~Pending() {
    if (events != nullptr) {
      bufferevent_free(events);
    }
    if (timer != nullptr) {
      event_free(timer);
    }
  }
  Pending(const Pending&) = delete;
  Pending& operator=(const Pending&) = delete;

  ReadLimits limits() const {
    return {.head_bytes = kMaxHeadBytes, .body_bytes = call.max_body_bytes};
  }
  bool is_streamed() const {
    return call.on_data != nullptr && reader.head().status == kOk;
  }

  HttpClient& client;
  CallId id;
  Call call;
  bufferevent* events = nullptr;
  event* timer = nullptr;
  ResponseReader reader{limits()};
  int interim_responses = 0;
  std::string body;
  bool connected = false;
  /// The outcome is certain; its report is deferred.
  bool done = false;
};

HttpClient::HttpClient(EventLoop& loop) : loop_(loop) {}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::Start(Call call) {
  const CallId id = ++last_;
  auto owned = std::make_unique<Pending>(*this, id, std::move(call));
  Pending& pending = *owned;
  pending_[id] = std::move(owned);
  if (!Connect(pending)) {
    Finish(pending, {.kind = HttpResult::Kind::kNotSent});
    return id;
  }
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  const timeval timeout = {
      .tv_sec = pending.call.timeout.count() / kMicrosecondsPerSecond,
      .tv_usec = pending.call.timeout.count() % kMicrosecondsPerSecond};
  pending.timer = evtimer_new(
      loop_.base(),
      [](evutil_socket_t, short, void* arg) {
        auto& self = *static_cast<Pending*>(arg);
        self.client.Fail(self, HttpResult::Kind::kNoAnswer);
      },
      &pending);
  evtimer_add(pending.timer, &timeout);
  return id;
}

bool HttpClient::Connect(Pending& pending) {
  const std::optional<Address> address = Address::Parse(pending.call.address);
  if (!address.has_value()) {
    return false;
  }
  pending.events =
      bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      pending.events,
      [](bufferevent*, void* arg) {
        auto& self = *static_cast<Pending*>(arg);
        self.client.OnReadable(self);
      },
      nullptr,
      [](bufferevent*, short what, void* arg) {
        auto& self = *static_cast<Pending*>(arg);
        self.client.OnEvent(self, what);
      },
      &pending);
  const std::string request = Encode(pending.call);
  bufferevent_write(pending.events, request.data(), request.size());
  sockaddr_storage storage{};
  const auto length = static_cast<int>(address->ToSocketAddress(storage));
  if (bufferevent_socket_connect(
          pending.events, reinterpret_cast<sockaddr*>(&storage), length) != 0) {
    return false;
  }
  SetNoDelay(bufferevent_getfd(pending.events));
  bufferevent_enable(pending.events, EV_READ | EV_WRITE);
  return true;
}

void HttpClient::OnEvent(Pending& pending, short what) {
  if (pending.done) {
    return;
  }
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    pending.connected = true;
    return;
  }
  // An orderly close may end a body that has no other end; a reset may not.
  if ((what & BEV_EVENT_EOF) != 0) {
    OnReadable(pending);
    if (pending.done) {
      return;
    }
    pending.reader.FeedEnd();
    if (pending.reader.done()) {
      FinishWithAnswer(pending);
      return;
    }
  }
  Fail(pending, HttpResult::Kind::kNoAnswer);
}

void HttpClient::OnReadable(Pending& pending) {
  evbuffer* input = bufferevent_get_input(pending.events);
  while (!pending.done) {
    const size_t length = evbuffer_get_length(input);
    if (length == 0) {
      return;
    }
    const std::string_view bytes(
        reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length);
    const size_t consumed = pending.reader.Feed(bytes);
    evbuffer_drain(input, consumed);
    OnParsed(pending);
    if (consumed == 0) {
      return;
    }
  }
}

void HttpClient::OnParsed(Pending& pending) {
  ResponseReader& reader = pending.reader;
  if (reader.fault() != ReadFault::kNone) {
    Fail(pending, KindOf(reader.fault()));
    return;
  }
  if (!reader.head_done()) {
    return;
  }
  if (reader.head().status < kFirstFinalStatus) {
    if (!reader.done()) {
      return;
    }
    if (++pending.interim_responses > kMaxInterimResponses) {
      Fail(pending, HttpResult::Kind::kNoAnswer);
      return;
    }
    reader = ResponseReader(pending.limits());
    return;
  }
  std::string bytes = reader.TakeBody();
  if (!pending.is_streamed()) {
    pending.body += bytes;
    if (pending.call.on_data != nullptr &&
        pending.body.size() > kMaxErrorBodyBytes) {
      Fail(pending, HttpResult::Kind::kTooLarge);
      return;
    }
  } else if (!bytes.empty()) {
    // May cancel the call.
    pending.call.on_data(bytes);
  }
  if (!pending.done && reader.done()) {
    FinishWithAnswer(pending);
  }
}

void HttpClient::FinishWithAnswer(Pending& pending) {
  const ResponseHead& head = pending.reader.head();
  HttpResult result{.kind = HttpResult::Kind::kAnswered,
                    .status = head.status,
                    .etag = ValueOf(head, "ETag"),
                    .content_type = ValueOf(head, "Content-Type"),
                    .body = std::move(pending.body)};
  for (const std::string_view value : FieldValues(head.fields, "Retry-After")) {
    result.retry_after.emplace_back(value);
  }
  Finish(pending, std::move(result));
}

void HttpClient::Fail(Pending& pending, HttpResult::Kind kind) {
  if (!pending.done) {
    Finish(pending,
           {.kind = pending.connected ? kind : HttpResult::Kind::kNotSent});
  }
}

void HttpClient::Finish(Pending& pending, HttpResult result) {
  pending.done = true;
  if (pending.events != nullptr) {
    bufferevent_disable(pending.events, EV_READ | EV_WRITE);
  }
  // Deferred, since a caller up the stack may still use the call.
  loop_.Defer([this, id = pending.id, result = std::move(result)] {
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
      return;
    }
    const std::unique_ptr<Pending> ended = std::move(found->second);
    pending_.erase(found);
    ended->call.on_done(result);
  });
}

void HttpClient::Cancel(CallId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  // Freed later, since a hook of the call itself may call this function.
  const std::shared_ptr<Pending> ended = std::move(found->second);
  pending_.erase(found);
  ended->done = true;
  if (ended->events != nullptr) {
    bufferevent_disable(ended->events, EV_READ | EV_WRITE);
  }
  loop_.Defer([ended] {});
}

}  // namespace lavenderkeel
