#include "lavenderkeel/io/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <cstring>

namespace lavenderkeel {

namespace {

bool IsOneMachine(const in_addr& host) {
  const in_addr_t number = ntohl(host.s_addr);
  return number != INADDR_ANY && number != INADDR_BROADCAST &&
         !IN_MULTICAST(number);
}

bool IsOneMachine(const in6_addr& host) {
  if (IN6_IS_ADDR_V4MAPPED(&host)) {
    in_addr mapped{};
    std::memcpy(&mapped, &host.s6_addr[sizeof(host) - sizeof(mapped)],
                sizeof(mapped));
    return IsOneMachine(mapped);
  }
  return !IN6_IS_ADDR_UNSPECIFIED(&host) && !IN6_IS_ADDR_MULTICAST(&host);
}

/// Returns an address of a socket: its own, or that of its peer.
std::string AddressOf(int socket, int (*get_name)(int, sockaddr*, socklen_t*)) {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  auto* address = reinterpret_cast<sockaddr*>(&storage);
  if (get_name(socket, address, &length) != 0) {
    return {};
  }
  std::array<char, INET6_ADDRSTRLEN> text{};
  const bool is_v6 = storage.ss_family == AF_INET6;
  auto* v6 = reinterpret_cast<sockaddr_in6*>(address);
  auto* v4 = reinterpret_cast<sockaddr_in*>(address);
  const void* number = is_v6 ? static_cast<const void*>(&v6->sin6_addr)
                             : static_cast<const void*>(&v4->sin_addr);
  inet_ntop(storage.ss_family, number, text.data(), text.size());
  const uint16_t port = ntohs(is_v6 ? v6->sin6_port : v4->sin_port);
  return Address{.host = text.data(), .port = port}.ToString();
}

}  // namespace

std::optional<Address> Address::Parse(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  Address address{.host = text.substr(0, colon), .port = 0};
  const bool bracketed = address.host.size() > 2 &&
                         address.host.front() == '[' &&
                         address.host.back() == ']';
  if (bracketed) {
    address.host = address.host.substr(1, address.host.size() - 2);
  }
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, address.port);
  in6_addr number{};
  const int family = bracketed ? AF_INET6 : AF_INET;
  const bool valid = error == std::errc() && stop == end &&
                     inet_pton(family, address.host.c_str(), &number) == 1;
  return valid ? std::optional(address) : std::nullopt;
}

socklen_t Address::ToSocketAddress(sockaddr_storage& storage) const {
  storage = {};
  if (host.find(':') != std::string::npos) {
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(port);
    inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr);
    return sizeof(sockaddr_in6);
  }
  auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
  v4->sin_family = AF_INET;
  v4->sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &v4->sin_addr);
  return sizeof(sockaddr_in);
}

bool Address::IsDestination() const {
  sockaddr_storage storage{};
  ToSocketAddress(storage);
  const bool is_one_machine =
      storage.ss_family == AF_INET6
          ? IsOneMachine(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_addr)
          : IsOneMachine(reinterpret_cast<sockaddr_in*>(&storage)->sin_addr);
  return port != 0 && is_one_machine;
}

std::string Address::ToString() const {
  const bool is_v6 = host.find(':') != std::string::npos;
  return (is_v6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

std::string BoundAddress(int socket) {
  return AddressOf(socket, getsockname);
}

std::string PeerAddress(int socket) {
  return AddressOf(socket, getpeername);
}

}  // namespace lavenderkeel
