#include "test/soak/client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <utility>

#include "lavenderkeel/io/address.h"

namespace lavenderkeel::soak {

namespace {

/// Routes time out after four seconds, so a request without an answer by this
/// time is lost.
constexpr Duration kRequestTimeout = std::chrono::seconds(9);

}  // namespace

Client::Client(EventLoop& loop,
               std::function<std::string()> address,
               OnRequestDone on_request_done)
    : loop_(loop),
      address_(std::move(address)),
      on_request_done_(std::move(on_request_done)),
      reader_({}) {}

Client::~Client() {
  CloseConnection();
}

void Client::CloseConnection() {
  if (connection_ != nullptr) {
    bufferevent_free(std::exchange(connection_, nullptr));
  }
}

void Client::Connect() {
  connection_ = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      connection_,
      [](bufferevent*, void* self) {
        static_cast<Client*>(self)->OnReadable();
      },
      nullptr,
      [](bufferevent*, short what, void* self) {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
          static_cast<Client*>(self)->OnConnectionEnded(
              (what & BEV_EVENT_EOF) != 0);
        }
      },
      this);
  sockaddr_storage storage{};
  const socklen_t length = Address::Parse(address_())->ToSocketAddress(storage);
  bufferevent_socket_connect(connection_, reinterpret_cast<sockaddr*>(&storage),
                             static_cast<int>(length));
  if (connection_ != nullptr) {
    bufferevent_enable(connection_, EV_READ | EV_WRITE);
  }
}

void Client::Send(const std::string& id,
                  const std::string& route,
                  const std::string& prompt,
                  const RequestShape& shape) {
  busy_ = true;
  record_ = {.id = id, .route = route, .shape = shape, .sent = clock_.Now()};
  reader_ = ResponseReader({});
  if (connection_ == nullptr) {
    Connect();
  }
  std::string body = "body of " + id;
  body.resize(std::max(body.size(), shape.body_bytes), 'x');
  const std::string request = EncodeRequest(
      {.method = "POST",
       .target = "/" + route + "/x",
       .fields = {{"Host", "h"},
                  {"Request-Id", id},
                  {"Authorization", "Bearer key"},
                  {"Deadline-Ms", "5000"},
                  {"Prompt-Prefix", prompt},
                  {"Token-Count", "100,20"},
                  {"Answer-Bytes", std::to_string(shape.answer_bytes)},
                  {"Padding", std::string(shape.head_bytes, 'p')}}},
      body);
  constexpr size_t kHalfHead = 100;
  const size_t begun =
      shape.head_pause == Duration::zero() ? request.size() : kHalfHead;
  rest_ = request.substr(begun);
  if (connection_ != nullptr) {
    bufferevent_write(connection_, request.data(), begun);
    if (shape.read_pause > Duration::zero()) {
      bufferevent_disable(connection_, EV_READ);
    }
  }
}

void Client::OnReadable() {
  evbuffer* input = bufferevent_get_input(connection_);
  while (const size_t length = evbuffer_get_length(input)) {
    const auto* bytes =
        reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const size_t consumed = reader_.Feed({bytes, length});
    evbuffer_drain(input, consumed);
    if (reader_.head_done()) {
      record_.got_head = true;
      record_.fields = reader_.head().fields;
    }
    record_.body += reader_.TakeBody();
    if (reader_.done() || reader_.fault() != ReadFault::kNone ||
        consumed == 0) {
      break;
    }
  }
  if (busy_ && (reader_.done() || reader_.fault() != ReadFault::kNone)) {
    Finish(reader_.done());
  }
}

void Client::OnConnectionEnded(bool orderly) {
  if (busy_ && orderly) {
    reader_.FeedEnd();
  }
  const bool complete = reader_.done();
  CloseConnection();
  if (busy_) {
    Finish(complete);
  }
}

void Client::Finish(bool complete) {
  busy_ = false;
  record_.ended = clock_.Now();
  if (complete) {
    record_.status = reader_.head().status;
  }
  if (!complete || !reader_.head().keep_alive) {
    loop_.Defer([this] {
      if (!busy_) {
        CloseConnection();
      }
    });
  }
  on_request_done_(record_);
}

void Client::Tick() {
  const Duration since = clock_.Now() - record_.sent;
  if (busy_ && connection_ != nullptr) {
    if (!rest_.empty() && since >= record_.shape.head_pause) {
      bufferevent_write(connection_, rest_.data(), rest_.size());
      rest_.clear();
    }
    if (since >= record_.shape.read_pause) {
      bufferevent_enable(connection_, EV_READ);
    }
  }
  if (busy_ && clock_.Now() - record_.sent > kRequestTimeout) {
    CloseConnection();
    Finish(/*complete=*/false);
  }
}

}  // namespace lavenderkeel::soak
