#ifndef LAVENDERKEEL_IO_INTERNAL_LISTENER_H_
#define LAVENDERKEEL_IO_INTERNAL_LISTENER_H_

#include <event2/listener.h>
#include <sys/socket.h>

#include <optional>
#include <string>

#include "lavenderkeel/io/address.h"

namespace lavenderkeel::internal {

/// Listens at an address and passes each accepted socket to a member function.
///
/// After a failure, as without a free descriptor, the listener is disabled: the
/// connection still waits, and accept would fail again at once. The owner
/// enables it again later.
/// @param backlog connections that may wait to be accepted
/// @return null if the address can't be parsed or bound
template <typename Owner, void (Owner::*kAccept)(int socket)>
evconnlistener* NewListener(event_base* base,
                            const std::string& text,
                            int backlog,
                            Owner& owner) {
  const std::optional<Address> address = Address::Parse(text);
  if (!address.has_value()) {
    return nullptr;
  }
  sockaddr_storage storage{};
  const socklen_t length = address->ToSocketAddress(storage);
  evconnlistener* listener = evconnlistener_new_bind(
      base,
      [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        (static_cast<Owner*>(self)->*kAccept)(socket);
      },
      &owner, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
      reinterpret_cast<sockaddr*>(&storage), static_cast<int>(length));
  if (listener == nullptr) {
    return nullptr;
  }
  evconnlistener_set_error_cb(listener, [](evconnlistener* failed, void*) {
    evconnlistener_disable(failed);
  });
  return listener;
}

/// Returns the bound address; nothing for null.
inline std::optional<std::string> AddressOf(evconnlistener* listener) {
  return listener == nullptr
             ? std::nullopt
             : std::optional(BoundAddress(evconnlistener_get_fd(listener)));
}

}  // namespace lavenderkeel::internal

#endif  // LAVENDERKEEL_IO_INTERNAL_LISTENER_H_
