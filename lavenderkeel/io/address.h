#ifndef LAVENDERKEEL_IO_ADDRESS_H_
#define LAVENDERKEEL_IO_ADDRESS_H_

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>

namespace lavenderkeel {

/// IP address and port.
struct Address {
  std::string host;
  uint16_t port = 0;

  /// Parses "127.0.0.1:80" or "[::1]:80"; host names are not looked up.
  static std::optional<Address> Parse(const std::string& text);
  std::string ToString() const;
  /// Returns whether a connection can be made to it: the port is not 0, and the
  /// host is one machine.
  bool IsDestination() const;
  /// Converts to the form of the socket API.
  /// @return the length of the result
  socklen_t ToSocketAddress(sockaddr_storage& storage) const;

  friend bool operator==(const Address&, const Address&) = default;
};

/// Returns the address that a socket is bound to.
std::string BoundAddress(int socket);

/// Returns the address of the other end of a connection.
std::string PeerAddress(int socket);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_ADDRESS_H_
