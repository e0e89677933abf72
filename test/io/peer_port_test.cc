#include "lavenderkeel/io/peer_port.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <boost/test/unit_test.hpp>
#include <optional>

#include "lavenderkeel/io/address.h"

namespace lavenderkeel {

namespace {

/// Dials the address and returns why that failed.
DialFailure FailureOf(EventLoop& loop, const std::string& address) {
  const EventLog log;
  const InstanceInfo self = {.id = {"entry-1", 1}};
  PeerPort port(loop, {}, self, log);
  std::optional<DialFailure> result;
  port.signal_dial_failed().connect(
      [&](const std::string& dialed, DialFailure failure) {
        BOOST_TEST(dialed == address);
        result = failure;
        loop.Stop();
      });
  port.Handle(Dial{.address = address});
  loop.Run();
  return result.value();
}

}  // namespace

// An entry that has ended keeps no share of the rates, one that is cut off
// does: only an address where nothing listens counts as refused.
BOOST_AUTO_TEST_CASE(OnlyAnAddressWithoutListenerCountsAsRefused) {
  EventLoop loop;
  sockaddr_storage storage{};
  const auto length =
      static_cast<int>(Address{.host = "127.0.0.1"}.ToSocketAddress(storage));
  evconnlistener* listener = evconnlistener_new_bind(
      loop.base(),
      [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void*) {
        evutil_closesocket(socket);
      },
      nullptr, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&storage),
      length);
  const std::string address = BoundAddress(evconnlistener_get_fd(listener));
  BOOST_TEST((FailureOf(loop, address) == DialFailure::kNoAnswer));
  evconnlistener_free(listener);
  BOOST_TEST((FailureOf(loop, address) == DialFailure::kRefused));
  BOOST_TEST((FailureOf(loop, "no address") == DialFailure::kNoAnswer));
}

}  // namespace lavenderkeel
