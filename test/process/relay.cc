#include "test/process/relay.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "lavenderkeel/io/address.h"

namespace lavenderkeel::test {

struct Relay::Pair {
  ~Pair() {
    bufferevent_free(in);
    bufferevent_free(out);
  }
  bufferevent* in = nullptr;
  bufferevent* out = nullptr;
  bool closed = false;
};

Relay::Relay(EventLoop& loop) : loop_(loop) {
  sockaddr_storage storage{};
  const auto length =
      static_cast<int>(Address{.host = "127.0.0.1"}.ToSocketAddress(storage));
  listener_ = evconnlistener_new_bind(
      loop.base(),
      [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<Relay*>(self)->Accept(socket);
      },
      this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&storage),
      length);
  address_ = BoundAddress(evconnlistener_get_fd(listener_));
}

Relay::~Relay() {
  pairs_.clear();
  evconnlistener_free(listener_);
}

void Relay::Accept(int socket) {
  auto pair = std::make_unique<Pair>();
  pair->in =
      bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
  pair->out = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  sockaddr_storage storage{};
  const auto length =
      static_cast<int>(Address::Parse(target_)->ToSocketAddress(storage));
  bufferevent_socket_connect(pair->out, reinterpret_cast<sockaddr*>(&storage),
                             length);
  const auto forward = [](bufferevent* from, void* arg) {
    const auto* self = static_cast<Pair*>(arg);
    bufferevent* to = from == self->in ? self->out : self->in;
    bufferevent_write_buffer(to, bufferevent_get_input(from));
  };
  const auto ended = [](bufferevent*, short what, void* arg) {
    auto* self = static_cast<Pair*>(arg);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 && !self->closed) {
      self->closed = true;
      for (bufferevent* end : {self->in, self->out}) {
        evutil_closesocket(bufferevent_getfd(end));
        bufferevent_setfd(end, -1);
      }
    }
  };
  for (bufferevent* end : {pair->in, pair->out}) {
    bufferevent_setcb(end, forward, nullptr, ended, pair.get());
    bufferevent_enable(end, EV_READ | EV_WRITE);
  }
  pairs_.push_back(std::move(pair));
}

void Relay::ForgetOpen() {
  for (const auto& pair : pairs_) {
    if (!pair->closed) {
      bufferevent_disable(pair->in, EV_READ | EV_WRITE);
      bufferevent_disable(pair->out, EV_READ | EV_WRITE);
    }
  }
}

}  // namespace lavenderkeel::test
