#include "test/soak/client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <utility>

#include "lavenderkeel/io/address.h"

namespace lavenderkeel::soak {

namespace {

/// Routes time out after four seconds; no answer by then is a finding.
constexpr Duration kPatience = std::chrono::seconds(9);

}  // namespace

Client::Client(EventLoop& loop, std::string address, OnSeen on_seen)
    : loop_(loop),
      address_(std::move(address)),
      on_seen_(std::move(on_seen)),
      reader_({}) {}

Client::~Client() {
  Drop();
}

void Client::Drop() {
  if (events_ != nullptr) {
    bufferevent_free(std::exchange(events_, nullptr));
  }
}

void Client::Connect() {
  events_ = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      events_,
      [](bufferevent*, void* self) {
        static_cast<Client*>(self)->OnReadable();
      },
      nullptr,
      [](bufferevent*, short what, void* self) {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
          static_cast<Client*>(self)->OnEnded((what & BEV_EVENT_EOF) != 0);
        }
      },
      this);
  sockaddr_storage storage{};
  const socklen_t length = Address::Parse(address_)->ToSocketAddress(storage);
  bufferevent_socket_connect(events_, reinterpret_cast<sockaddr*>(&storage),
                             static_cast<int>(length));
  if (events_ != nullptr) {
    bufferevent_enable(events_, EV_READ | EV_WRITE);
  }
}

void Client::Send(const std::string& id, const std::string& route) {
  busy_ = true;
  seen_ = {.id = id, .route = route, .sent = clock_.Now()};
  reader_ = ResponseReader({});
  if (events_ == nullptr) {
    Connect();
  }
  const std::string request =
      EncodeRequest({.method = "POST",
                     .target = "/" + route + "/x",
                     .fields = {{"Host", "h"},
                                {"Request-Id", id},
                                {"Authorization", "Bearer key"},
                                {"Deadline-Ms", "5000"},
                                {"Token-Count", "100,20"}}},
                    "body of " + id);
  if (events_ != nullptr) {
    bufferevent_write(events_, request.data(), request.size());
  }
}

void Client::OnReadable() {
  evbuffer* input = bufferevent_get_input(events_);
  while (const size_t length = evbuffer_get_length(input)) {
    const auto* bytes =
        reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const size_t consumed = reader_.Feed({bytes, length});
    evbuffer_drain(input, consumed);
    if (reader_.head_done()) {
      seen_.got_head = true;
      seen_.fields = reader_.head().fields;
    }
    seen_.body += reader_.TakeBody();
    if (reader_.done() || reader_.fault() != ReadFault::kNone ||
        consumed == 0) {
      break;
    }
  }
  if (busy_ && (reader_.done() || reader_.fault() != ReadFault::kNone)) {
    Finish(reader_.done());
  }
}

void Client::OnEnded(bool in_order) {
  if (busy_ && in_order) {
    reader_.FeedEnd();
  }
  const bool whole = reader_.done();
  Drop();
  if (busy_) {
    Finish(whole);
  }
}

void Client::Finish(bool whole) {
  busy_ = false;
  seen_.ended = clock_.Now();
  if (whole) {
    seen_.status = reader_.head().status;
  }
  if (!whole || !reader_.head().keep_alive) {
    loop_.Defer([this] {
      if (!busy_) {
        Drop();
      }
    });
  }
  on_seen_(seen_);
}

void Client::Tick() {
  if (busy_ && clock_.Now() - seen_.sent > kPatience) {
    Drop();
    Finish(/*whole=*/false);
  }
}

}  // namespace lavenderkeel::soak
