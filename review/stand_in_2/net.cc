#include "review/stand_in_2/net.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

int BindLoopback(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  if (fd < 0 ||
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    std::abort();
  }
  port = ntohs(address.sin_port);
  return fd;
}

void SetNoDelay(int fd) {
  constexpr int kOn = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof(kOn));
}

}  // namespace

double SecondsNow() {
  static const TimePoint start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

void SleepMs(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

Connection::~Connection() {
  close(socket_);
}

int Connection::Dial(int port, int receive_buffer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  SetNoDelay(fd);
  return fd;
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

bool Connection::Fill(TimePoint until) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      until - Clock::now());
  pollfd waiting{.fd = socket_, .events = POLLIN, .revents = 0};
  const int ready =
      poll(&waiting, 1, std::max(0, static_cast<int>(left.count())));
  if (ready <= 0) {
    timed_out_ = true;
    return false;
  }
  std::array<char, 65536> buffer{};
  const ssize_t received = recv(socket_, buffer.data(), buffer.size(), 0);
  if (received <= 0) {
    return false;
  }
  input_.append(buffer.data(), static_cast<size_t>(received));
  return true;
}

std::optional<std::string> Connection::Line(TimePoint until) {
  size_t end = input_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(until)) {
      return std::nullopt;
    }
    end = input_.find("\r\n");
  }
  std::string line = input_.substr(0, end);
  input_.erase(0, end + 2);
  return line;
}

std::optional<std::string> Connection::Bytes(size_t count, TimePoint until) {
  const size_t before = body_bytes_;
  body_bytes_ = before + std::min(count, input_.size());
  while (input_.size() < count) {
    if (!Fill(until)) {
      return std::nullopt;
    }
    body_bytes_ = before + std::min(count, input_.size());
  }
  std::string bytes = input_.substr(0, count);
  input_.erase(0, count);
  return bytes;
}

bool Connection::ReadChunks(Message& message, TimePoint until) {
  constexpr int kHexadecimal = 16;
  while (true) {
    const std::optional<std::string> size = Line(until);
    if (!size.has_value()) {
      return false;
    }
    const size_t count = std::strtoul(size->c_str(), nullptr, kHexadecimal);
    const std::optional<std::string> chunk = Bytes(count, until);
    if (!chunk.has_value() || !Line(until).has_value()) {
      return false;
    }
    message.body += *chunk;
    if (count == 0) {
      return true;
    }
  }
}

std::optional<Message> Connection::Read(
    TimePoint until,
    const std::function<void(const Message&)>& on_head) {
  timed_out_ = false;
  body_bytes_ = 0;
  Message message;
  std::optional<std::string> line = Line(until);
  if (!line.has_value()) {
    return std::nullopt;
  }
  message.first_line = *std::move(line);
  for (line = Line(until); line.has_value() && !line->empty();
       line = Line(until)) {
    const size_t colon = std::min(line->find(':'), line->size());
    std::string name = line->substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const size_t value = line->find_first_not_of(" \t", colon + 1);
    message.fields[name] =
        value == std::string::npos ? "" : line->substr(value);
  }
  if (!line.has_value()) {
    return std::nullopt;
  }
  if (on_head) {
    on_head(message);
  }
  if (message.Field("transfer-encoding") == "chunked") {
    return ReadChunks(message, until) ? std::optional(std::move(message))
                                      : std::nullopt;
  }
  const size_t length =
      std::strtoul(message.Field("content-length").c_str(), nullptr, 10);
  std::optional<std::string> body = Bytes(length, until);
  if (!body.has_value()) {
    return std::nullopt;
  }
  message.body = *std::move(body);
  return message;
}

Listener::Listener(Handler handler)
    : socket_(BindLoopback(port_)), handler_(std::move(handler)) {
  constexpr int kBacklog = 512;
  listen(socket_, kBacklog);
  thread_ = std::thread([this] {
    while (true) {
      const int accepted = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      SetNoDelay(accepted);
      std::thread([handler = handler_, accepted] {
        Connection connection(accepted);
        handler(connection);
      }).detach();
    }
  });
}

Listener::~Listener() {
  shutdown(socket_, SHUT_RDWR);
  thread_.join();
  close(socket_);
}

std::string Listener::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

ReservedPort::ReservedPort() : socket_(BindLoopback(number_)) {
  constexpr int kOn = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &kOn, sizeof(kOn));
}

ReservedPort::~ReservedPort() {
  close(socket_);
}

std::string ReservedPort::address() const {
  return "127.0.0.1:" + std::to_string(number_);
}

}  // namespace review
