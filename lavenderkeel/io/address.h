#ifndef LAVENDERKEEL_IO_ADDRESS_H_
#define LAVENDERKEEL_IO_ADDRESS_H_

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>

namespace lavenderkeel {

/// An IP number and a port.
struct Address {
  std::string host;
  uint16_t port = 0;

  /// Reads "127.0.0.1:80" or "[::1]:80"; host names are not looked up.
  static std::optional<Address> Parse(const std::string& text);
  std::string ToString() const;
  /// Fills the socket API's form. @return its length
  socklen_t ToSocketAddress(sockaddr_storage& storage) const;

  friend bool operator==(const Address&, const Address&) = default;
};

/// The address a socket is bound to.
std::string BoundAddress(int socket);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_ADDRESS_H_
