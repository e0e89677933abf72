#include "review/stand_in/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <thread>

namespace review {

namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int PortOf(int socket) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length) !=
      0) {
    return 0;
  }
  return ntohs(address.sin_port);
}

void SendAtOnce(int socket) {
  constexpr int kOn = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof(kOn));
}

std::string WordOf(const std::string& line, size_t index) {
  size_t begin = 0;
  for (size_t i = 0; i < index; ++i) {
    begin = line.find(' ', begin);
    if (begin == std::string::npos) {
      return {};
    }
    ++begin;
  }
  return line.substr(begin, line.find(' ', begin) - begin);
}

}  // namespace

std::string FieldOf(const Fields& fields, std::string_view name) {
  const auto found = std::ranges::find_if(fields, [name](const auto& field) {
    return strcasecmp(field.first.c_str(), std::string(name).c_str()) == 0;
  });
  return found == fields.end() ? std::string() : found->second;
}

std::string Head::method() const {
  return WordOf(first_line, 0);
}

std::string Head::target() const {
  return WordOf(first_line, 1);
}

int Head::status() const {
  return std::atoi(WordOf(first_line, 1).c_str());
}

Connection::~Connection() {
  close(socket_);
}

std::unique_ptr<Connection> Connection::Dial(int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return nullptr;
  }
  auto connection = std::make_unique<Connection>(socket);
  const sockaddr_in address = Loopback(port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return nullptr;
  }
  SendAtOnce(socket);
  return connection;
}

void Connection::set_read_timeout(int ms) {
  constexpr int kMsPerSecond = 1000;
  constexpr suseconds_t kUsPerMs = 1000;
  const timeval timeout = {.tv_sec = ms / kMsPerSecond,
                           .tv_usec = (ms % kMsPerSecond) * kUsPerMs};
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

bool Connection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool Connection::Fill() {
  constexpr size_t kReadBytes = 16384;
  std::string part(kReadBytes, '\0');
  ssize_t count = 0;
  do {
    count = recv(socket_, part.data(), part.size(), 0);
  } while (count < 0 && errno == EINTR);
  if (count <= 0) {
    return false;
  }
  received_.append(part, 0, static_cast<size_t>(count));
  return true;
}

bool Connection::ReadLine(std::string& line) {
  size_t end = received_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    end = received_.find("\r\n");
  }
  line = received_.substr(0, end);
  received_.erase(0, end + 2);
  return true;
}

bool Connection::ReadBytes(size_t count, std::string& bytes) {
  while (received_.size() < count) {
    if (!Fill()) {
      return false;
    }
  }
  bytes.append(received_, 0, count);
  received_.erase(0, count);
  return true;
}

bool Connection::ReadHead(Head& head) {
  head = {};
  if (!ReadLine(head.first_line)) {
    return false;
  }
  std::string line;
  while (ReadLine(line)) {
    if (line.empty()) {
      return true;
    }
    const size_t colon = std::min(line.find(':'), line.size());
    const size_t value = line.find_first_not_of(' ', colon + 1);
    head.fields.emplace_back(line.substr(0, colon), value == std::string::npos
                                                        ? std::string()
                                                        : line.substr(value));
  }
  return false;
}

bool Connection::ReadBody(const Head& head, std::string& body) {
  if (FieldOf(head.fields, "Transfer-Encoding") != "chunked") {
    const std::string length = FieldOf(head.fields, "Content-Length");
    return length.empty() ||
           ReadBytes(std::strtoull(length.c_str(), nullptr, 10), body);
  }
  constexpr int kHexadecimal = 16;
  std::string line;
  while (ReadLine(line)) {
    const size_t size = std::strtoull(line.c_str(), nullptr, kHexadecimal);
    if (!ReadBytes(size, body) || !ReadLine(line)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
  return false;
}

Message Connection::Read() {
  Message message;
  message.whole =
      ReadHead(message.head) && ReadBody(message.head, message.body);
  return message;
}

void Connection::Reset() {
  constexpr linger kReset = {.l_onoff = 1, .l_linger = 0};
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &kReset, sizeof(kReset));
  shutdown(socket_, SHUT_RDWR);
}

bool Connection::IsPeerGone() const {
  pollfd state{.fd = socket_, .events = POLLRDHUP, .revents = 0};
  return poll(&state, 1, 0) == 1 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

Server::Server(Serve serve) : serve_(std::move(serve)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(0);
  constexpr int kBacklog = 512;
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0 &&
      listen(listener_, kBacklog) == 0) {
    port_ = PortOf(listener_);
    std::thread([this] { AcceptAll(); }).detach();
  }
}

void Server::AcceptAll() {
  while (!ended_) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    SendAtOnce(socket);
    std::thread([this, socket] {
      Connection connection(socket);
      {
        const std::lock_guard lock(mutex_);
        if (ended_) {
          return;
        }
        open_.insert(&connection);
      }
      serve_(connection);
      const std::lock_guard lock(mutex_);
      open_.erase(&connection);
    }).detach();
  }
  close(listener_);
}

void Server::End() {
  const std::lock_guard lock(mutex_);
  ended_ = true;
  shutdown(listener_, SHUT_RDWR);
  for (Connection* connection : open_) {
    connection->Reset();
  }
}

std::vector<int> FreePorts(size_t count) {
  std::vector<int> sockets;
  std::vector<int> ports;
  const sockaddr_in address = Loopback(0);
  for (size_t i = 0; i < count; ++i) {
    // All are bound at once, so that no port is given twice.
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockets.push_back(socket);
    const int bound = bind(socket, reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address));
    ports.push_back(bound == 0 ? PortOf(socket) : 0);
  }
  std::ranges::for_each(sockets, close);
  return ports;
}

void AppendFields(const Fields& fields, std::string& bytes) {
  for (const auto& [name, value] : fields) {
    bytes += name;
    bytes += ": ";
    bytes += value;
    bytes += "\r\n";
  }
}

std::string Response(int status,
                     const std::string& reason,
                     const Fields& fields,
                     const std::string& body) {
  std::string bytes =
      "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  AppendFields(fields, bytes);
  return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace review
