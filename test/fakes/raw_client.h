#ifndef LAVENDERKEEL_TEST_FAKES_RAW_CLIENT_H_
#define LAVENDERKEEL_TEST_FAKES_RAW_CLIENT_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <string>
#include <string_view>

#include "lavenderkeel/io/address.h"
#include "lavenderkeel/io/event_loop.h"

namespace lavenderkeel::fakes {

/// Client with one connection, which keeps the bytes that it receives.
class RawClient {
 public:
  RawClient(EventLoop& loop, const std::string& address)
      : events_(
            bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        events_,
        [](bufferevent*, void* self) { static_cast<RawClient*>(self)->Take(); },
        nullptr,
        [](bufferevent*, short what, void* self) {
          auto& client = *static_cast<RawClient*>(self);
          if ((what & BEV_EVENT_CONNECTED) == 0) {
            client.Take();
            client.closed_ = true;
            client.reset_ = (what & BEV_EVENT_ERROR) != 0;
          }
        },
        this);
    bufferevent_enable(events_, EV_READ | EV_WRITE);
    sockaddr_storage storage{};
    const auto length =
        static_cast<int>(Address::Parse(address)->ToSocketAddress(storage));
    bufferevent_socket_connect(events_, reinterpret_cast<sockaddr*>(&storage),
                               length);
  }
  ~RawClient() { bufferevent_free(events_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(std::string_view bytes) {
    bufferevent_write(events_, bytes.data(), bytes.size());
  }
  void SetReading(bool reads) {
    if (reads) {
      bufferevent_enable(events_, EV_READ);
    } else {
      bufferevent_disable(events_, EV_READ);
    }
  }
  /// Closes the connection without reading further.
  void CloseAbruptly() {
    shutdown(bufferevent_getfd(events_), SHUT_RDWR);
    bufferevent_disable(events_, EV_READ | EV_WRITE);
  }
  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }
  /// Whether the connection ended by an error.
  bool reset() const { return reset_; }

 private:
  void Take() {
    evbuffer* input = bufferevent_get_input(events_);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    received_ += bytes;
  }

  bufferevent* events_;
  std::string received_;
  bool closed_ = false;
  bool reset_ = false;
};

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_RAW_CLIENT_H_
