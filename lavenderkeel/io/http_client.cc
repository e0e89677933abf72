#include "lavenderkeel/io/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <utility>

#include "lavenderkeel/io/address.h"

namespace lavenderkeel {

namespace {

evhttp_cmd_type MethodOf(const std::string& name) {
  if (name == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (name == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (name == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  if (name == "PATCH") {
    return EVHTTP_REQ_PATCH;
  }
  return EVHTTP_REQ_GET;
}

std::string HeaderOf(evhttp_request* request, const char* name) {
  const char* value =
      evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? "" : value;
}

std::vector<std::string> HeadersOf(evhttp_request* request, const char* name) {
  std::vector<std::string> values;
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    if (evutil_ascii_strcasecmp(header->key, name) == 0) {
      values.emplace_back(header->value);
    }
  }
  return values;
}

std::string TakeInput(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  return bytes;
}

constexpr size_t kMaxHeadBytes = size_t{64} << 10;

}  // namespace

struct HttpClient::Pending {
  HttpClient* client = nullptr;
  CallId id = 0;
  Call call;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  event* timer = nullptr;
  evbuffer_cb_entry* limit = nullptr;
  bool too_large = false;
  bool done = false;

  ~Pending() {
    if (timer != nullptr) {
      event_free(timer);
    }
  }
  evbuffer* input() const {
    return bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
  }
  /// Frees the connection. Its buffer may outlive this object for a turn of the
  /// loop.
  void Close() const {
    evbuffer_remove_cb_entry(input(), limit);
    evhttp_connection_free(connection);
  }
};

HttpClient::HttpClient(EventLoop& loop) : loop_(loop) {}

HttpClient::~HttpClient() {
  for (const auto& [id, pending] : pending_) {
    pending->done = true;
    pending->Close();
  }
}

HttpClient::CallId HttpClient::Start(Call call) {
  const CallId id = ++last_;
  const std::optional<Address> address = Address::Parse(call.address);
  if (!address.has_value()) {
    loop_.Defer([on_done = std::move(call.on_done)] {
      on_done({.kind = HttpResult::Kind::kNotSent});
    });
    return id;
  }
  auto pending = std::make_unique<Pending>();
  Pending* raw = pending.get();
  raw->client = this;
  raw->id = id;
  raw->call = std::move(call);
  raw->connection = evhttp_connection_base_bufferevent_new(
      loop_.base(), nullptr, nullptr, address->host.c_str(), address->port);
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  const timeval timeout = {
      .tv_sec = raw->call.timeout.count() / kMicrosecondsPerSecond,
      .tv_usec = raw->call.timeout.count() % kMicrosecondsPerSecond};
  evhttp_connection_set_timeout_tv(raw->connection, &timeout);
  LimitAnswer(*raw);
  // The library's own timeouts begin again with each byte.
  raw->timer = evtimer_new(
      loop_.base(),
      [](evutil_socket_t, short, void* arg) {
        auto* self = static_cast<Pending*>(arg);
        self->client->OnDoneInLibrary(*self, nullptr);
      },
      raw);
  evtimer_add(raw->timer, &timeout);
  raw->request = evhttp_request_new(
      [](evhttp_request* request, void* arg) {
        auto* self = static_cast<Pending*>(arg);
        self->client->OnDoneInLibrary(*self, request);
      },
      raw);
  evhttp_request_set_error_cb(raw->request, [](evhttp_request_error error,
                                               void* arg) {
    static_cast<Pending*>(arg)->too_large = error == EVREQ_HTTP_DATA_TOO_LONG;
  });
  if (raw->call.on_data) {
    evhttp_request_set_chunked_cb(
        raw->request, [](evhttp_request* request, void* arg) {
          auto* self = static_cast<Pending*>(arg);
          constexpr int kOk = 200;
          if (!self->done && evhttp_request_get_response_code(request) == kOk) {
            self->call.on_data(TakeInput(request));
          }
        });
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(raw->request);
  evhttp_add_header(headers, "Host", raw->call.address.c_str());
  evhttp_add_header(headers, "Connection", "close");
  for (const auto& [name, value] : raw->call.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(raw->request),
               raw->call.body.data(), raw->call.body.size());
  pending_[id] = std::move(pending);
  evhttp_make_request(raw->connection, raw->request, MethodOf(raw->call.method),
                      raw->call.path.c_str());
  return id;
}

void HttpClient::LimitAnswer(Pending& pending) {
  const size_t max_body_bytes = pending.call.max_body_bytes;
  evhttp_connection_set_max_headers_size(pending.connection, kMaxHeadBytes);
  evhttp_connection_set_max_body_size(pending.connection,
                                      static_cast<ev_ssize_t>(max_body_bytes));
  // The library looks for the end of some lines without a bound. A watermark
  // would call it again and again while the buffer is full.
  pending.limit = evbuffer_add_cb(
      pending.input(),
      [](evbuffer* buffer, const evbuffer_cb_info*, void* arg) {
        auto& self = *static_cast<Pending*>(arg);
        if (!self.done && evbuffer_get_length(buffer) >
                              self.call.max_body_bytes + kMaxHeadBytes) {
          self.too_large = true;
          self.client->OnDoneInLibrary(self, nullptr);
        }
      },
      &pending);
}

void HttpClient::OnDoneInLibrary(Pending& pending, evhttp_request* request) {
  if (pending.done) {
    return;
  }
  pending.done = true;
  HttpResult result;
  if (pending.too_large) {
    result.kind = HttpResult::Kind::kTooLarge;
  } else if (request != nullptr) {
    result.status = evhttp_request_get_response_code(request);
    // libevent reports a connection that was never established as status 0.
    result.kind = result.status == 0 ? HttpResult::Kind::kNotSent
                                     : HttpResult::Kind::kAnswered;
    if (result.status != 0) {
      result.etag = HeaderOf(request, "ETag");
      result.content_type = HeaderOf(request, "Content-Type");
      result.retry_after = HeadersOf(request, "Retry-After");
      result.body = TakeInput(request);
    }
  }
  pending.request = nullptr;
  loop_.Defer([this, id = pending.id, result = std::move(result)] {
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
      return;
    }
    const std::unique_ptr<Pending> ended = std::move(found->second);
    pending_.erase(found);
    ended->Close();
    ended->call.on_done(result);
  });
}

void HttpClient::Cancel(CallId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  // Freed later, since a hook of the call itself may call this function.
  std::shared_ptr<Pending> ended = std::move(found->second);
  pending_.erase(found);
  ended->done = true;
  loop_.Defer([ended] { ended->Close(); });
}

}  // namespace lavenderkeel
