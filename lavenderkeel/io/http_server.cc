#include "lavenderkeel/io/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "lavenderkeel/io/address.h"

namespace lavenderkeel {

namespace {

const char* MethodName(evhttp_cmd_type type) {
  switch (type) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "HEAD";
  }
}

std::string TakeBody(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

void AddHeaders(evhttp_request* request, const HttpHeaders& headers) {
  evkeyvalq* out = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : headers) {
    evhttp_add_header(out, name.c_str(), value.c_str());
  }
}

}  // namespace

struct HttpServer::Exchange {
  enum class Phase {
    kOpen,
    /// The whole answer is passed to the library, which is still writing it.
    kFinished,
    /// The connection is closed once the current event is handled.
    kAborted,
  };

  ~Exchange() { StopWatching(); }
  void StopWatching() {
    if (close_event != nullptr) {
      event_free(std::exchange(close_event, nullptr));
    }
  }

  HttpServer* server = nullptr;
  CallerId id = 0;
  evhttp_request* request = nullptr;
  evhttp_connection* connection = nullptr;
  event* close_event = nullptr;
  Phase phase = Phase::kOpen;
};

HttpServer::HttpServer(EventLoop& loop, Options options, Hooks hooks)
    : loop_(loop),
      options_(options),
      hooks_(std::move(hooks)),
      http_(evhttp_new(loop.base())) {
  // libevent cuts off a body at twice the limit, so that up to there the caller
  // gets a numbered result.
  evhttp_set_max_body_size(
      http_, static_cast<ev_ssize_t>(2 * options_.max_body_bytes));
  evhttp_set_max_headers_size(
      http_, static_cast<ev_ssize_t>(options_.max_header_bytes));
  evhttp_set_timeout(http_, options_.idle_seconds);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                        EVHTTP_REQ_PATCH);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* request, void* self) {
        static_cast<HttpServer*>(self)->OnHttp(request);
      },
      this);
}

HttpServer::~HttpServer() {
  for (const auto& [id, exchange] : exchanges_) {
    evhttp_connection_set_closecb(exchange->connection, nullptr, nullptr);
  }
  exchanges_.clear();
  evhttp_free(http_);
}

std::optional<std::string> HttpServer::Listen(const std::string& text) {
  const std::optional<Address> address = Address::Parse(text);
  if (!address.has_value()) {
    return std::nullopt;
  }
  socket_ = evhttp_bind_socket_with_handle(http_, address->host.c_str(),
                                           address->port);
  if (socket_ == nullptr) {
    return std::nullopt;
  }
  return BoundAddress(evhttp_bound_socket_get_fd(socket_));
}

void HttpServer::StopListening() {
  if (socket_ != nullptr) {
    evhttp_del_accept_socket(http_, std::exchange(socket_, nullptr));
  }
}

void HttpServer::OnHttp(evhttp_request* request) {
  const CallerId id = ++last_;
  auto exchange = std::make_unique<Exchange>();
  exchange->server = this;
  exchange->id = id;
  exchange->request = request;
  exchange->connection = evhttp_request_get_connection(request);
  evhttp_connection_set_closecb(
      exchange->connection,
      [](evhttp_connection*, void* arg) {
        auto* closed = static_cast<Exchange*>(arg);
        closed->server->OnClosed(closed->id);
      },
      exchange.get());
  // libevent does not read while an answer is pending, so it would not notice
  // that the caller closes the connection; a separate event watches for that.
  const int fd = bufferevent_getfd(
      evhttp_connection_get_bufferevent(exchange->connection));
  // Otherwise each token waits for the caller's delayed acknowledgement of the
  // previous one.
  constexpr int kOn = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof(kOn));
  exchange->close_event = event_new(
      loop_.base(), fd, EV_CLOSED,
      [](evutil_socket_t, short, void* arg) {
        auto* closed = static_cast<Exchange*>(arg);
        evhttp_connection_free(closed->connection);
      },
      exchange.get());
  event_add(exchange->close_event, nullptr);
  exchanges_[id] = std::move(exchange);

  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = evhttp_uri_get_path(uri);
  const char* query = evhttp_uri_get_query(uri);
  HttpRequest read{.id = id,
                   .method = MethodName(evhttp_request_get_command(request)),
                   .path = path == nullptr ? "" : path,
                   .query = query == nullptr ? "" : query,
                   .body = TakeBody(request),
                   .header = nullptr};
  read.header = [request](const char* name) -> std::optional<std::string> {
    const char* value =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  };
  if (read.body.size() > options_.max_body_bytes) {
    hooks_.on_too_large(id);
    return;
  }
  hooks_.on_request(read);
}

HttpServer::Exchange* HttpServer::FindOpen(CallerId id) {
  const auto found = exchanges_.find(id);
  const bool usable = found != exchanges_.end() &&
                      found->second->phase == Exchange::Phase::kOpen;
  return usable ? found->second.get() : nullptr;
}

void HttpServer::OnClosed(CallerId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  const bool open = found->second->phase == Exchange::Phase::kOpen;
  evhttp_request* request = found->second->request;
  exchanges_.erase(found);
  if (evhttp_request_get_connection(request) == nullptr) {
    // libevent detaches an unanswered request from a connection that breaks,
    // and leaves it to its user. Without this, each caller that closes the
    // connection during a stream would leak the memory of its request.
    evhttp_request_free(request);
  }
  if (open) {
    hooks_.on_gone(id);
  }
}

evhttp_connection* HttpServer::Release(CallerId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return nullptr;
  }
  evhttp_connection* connection = found->second->connection;
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  exchanges_.erase(found);
  return connection;
}

void HttpServer::CloseAborted(CallerId id) {
  if (evhttp_connection* connection = Release(id)) {
    evhttp_connection_free(connection);
  }
}

void HttpServer::Finish(Exchange& exchange) {
  // The exchange counts as open until the library has written everything.
  // Otherwise the process could end while the end of an answer is still in a
  // buffer here, and the answer would lose its last events.
  exchange.phase = Exchange::Phase::kFinished;
  exchange.StopWatching();
  evhttp_request_set_on_complete_cb(
      exchange.request,
      [](evhttp_request*, void* arg) {
        auto* written = static_cast<Exchange*>(arg);
        written->server->Release(written->id);
      },
      &exchange);
}

void HttpServer::Handle(ReplyComplete reply) {
  Exchange* exchange = FindOpen(reply.caller);
  if (exchange == nullptr) {
    return;
  }
  evhttp_request* request = exchange->request;
  Finish(*exchange);
  AddHeaders(request, reply.headers);
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, reply.body.data(), reply.body.size());
  evhttp_send_reply(request, reply.status, nullptr, body);
  evbuffer_free(body);
}

void HttpServer::Handle(const ReplyHead& reply) {
  if (Exchange* exchange = FindOpen(reply.caller)) {
    AddHeaders(exchange->request, reply.headers);
    evhttp_send_reply_start(exchange->request, reply.status, nullptr);
  }
}

void HttpServer::Handle(const ReplyChunk& reply) {
  Exchange* exchange = FindOpen(reply.caller);
  if (exchange == nullptr) {
    return;
  }
  evbuffer* bytes = evbuffer_new();
  evbuffer_add(bytes, reply.bytes.data(), reply.bytes.size());
  evhttp_send_reply_chunk_with_cb(
      exchange->request, bytes,
      [](evhttp_connection*, void* arg) {
        const auto* drained = static_cast<Exchange*>(arg);
        if (drained->phase == Exchange::Phase::kOpen) {
          drained->server->hooks_.on_drained(drained->id);
        }
      },
      exchange);
  evbuffer_free(bytes);
}

void HttpServer::Handle(const ReplyEnd& reply) {
  if (Exchange* exchange = FindOpen(reply.caller)) {
    evhttp_request* request = exchange->request;
    Finish(*exchange);
    evhttp_send_reply_end(request);
  }
}

void HttpServer::Handle(const ReplyAbort& reply) {
  Exchange* exchange = FindOpen(reply.caller);
  if (exchange == nullptr) {
    return;
  }
  // The exchange exists as long as its connection, which is freed in the next
  // iteration of the event loop, and whichever of the two ends first ends both.
  // If the exchange were erased here, the process would end by a segmentation
  // fault under many aborts: in between, libevent reports the last chunk as
  // written to the erased exchange, or frees the connection by itself when the
  // caller closes it.
  exchange->phase = Exchange::Phase::kAborted;
  exchange->StopWatching();
  loop_.Defer([this, id = reply.caller] { CloseAborted(id); });
}

}  // namespace lavenderkeel
