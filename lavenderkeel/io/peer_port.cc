#include "lavenderkeel/io/peer_port.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "lavenderkeel/io/address.h"
#include "lavenderkeel/io/internal/listener.h"
#include "lavenderkeel/membership/greeting.h"
#include "lavenderkeel/wire.h"

namespace lavenderkeel {

namespace {

/// A handshake has a few short texts.
constexpr size_t kMaxHelloBytes = size_t{16} << 10;

}  // namespace

struct PeerPort::Connection {
  ~Connection() { bufferevent_free(events); }

  PeerPort* port = nullptr;
  LinkId id = 0;
  bufferevent* events = nullptr;
  /// Empty for an accepted connection.
  std::string dialed;
  bool handshake_done = false;
  /// Bytes of an incomplete frame, and when its first ones arrived.
  size_t partial_frame_bytes = 0;
  TimePoint partial_frame_since;
  /// True once the connection is dropped; it is freed after the current event.
  bool dropped = false;
  TimePoint opened;
};

PeerPort::PeerPort(EventLoop& loop,
                   Options options,
                   const InstanceInfo& self,
                   const EventLog& log)
    : loop_(loop), options_(options), self_(self), log_(log) {}

PeerPort::~PeerPort() {
  connections_.clear();
  if (listener_ != nullptr) {
    evconnlistener_free(listener_);
  }
}

std::optional<std::string> PeerPort::Listen(const std::string& text) {
  constexpr int kBacklog = 512;
  listener_ = internal::NewListener<PeerPort, &PeerPort::Accept>(
      loop_.base(), text, kBacklog, *this);
  return internal::AddressOf(listener_);
}

void PeerPort::Accept(int socket) {
  // Peers that connect without a handshake must not exhaust the file
  // descriptors.
  const bool too_many_pending =
      pending_handshakes_ >= options_.max_pending_handshakes;
  if (too_many_pending || accepted_ >= options_.max_accepted) {
    ++refused_;
    log_.Info("peer_refused",
              {{"limit", "descriptors"},
               {"reason", too_many_pending ? "handshakes" : "connections"},
               {"accepted", accepted_},
               {"handshakes", pending_handshakes_}});
    evutil_closesocket(socket);
    return;
  }
  ++accepted_;
  Open(bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE), "");
}

PeerPort::Connection& PeerPort::Open(bufferevent* events,
                                     const std::string& dialed) {
  const LinkId id = ++last_;
  auto connection = std::make_unique<Connection>();
  Connection& opened = *connection;
  opened.port = this;
  opened.id = id;
  opened.events = events;
  opened.dialed = dialed;
  opened.opened = SystemClock().Now();
  connections_[id] = std::move(connection);
  ++pending_handshakes_;
  bufferevent_setcb(
      events,
      [](bufferevent*, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        self->port->OnReadable(*self);
      },
      nullptr,
      [](bufferevent* source, short what, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
          constexpr int kOn = 1;
          setsockopt(bufferevent_getfd(source), IPPROTO_TCP, TCP_NODELAY, &kOn,
                     sizeof(kOn));
          self->port->SendHello(*self);
          return;
        }
        self->port->Drop(self->id, "closed");
      },
      &opened);
  bufferevent_setwatermark(events, EV_READ, 0,
                           kMaxFrameSize + kFrameHeaderSize);
  bufferevent_enable(events, EV_READ | EV_WRITE);
  if (dialed.empty()) {
    constexpr int kOn = 1;
    setsockopt(bufferevent_getfd(events), IPPROTO_TCP, TCP_NODELAY, &kOn,
               sizeof(kOn));
    SendHello(opened);
  }
  return opened;
}

void PeerPort::SendHello(Connection& connection) {
  Hello hello = ToHello(self_);
  hello.protocol = kProtocolVersion;
  const std::string frame = EncodeFrame(hello);
  bufferevent_write(connection.events, frame.data(), frame.size());
}

void PeerPort::OnReadable(Connection& connection) {
  const LinkId link = connection.id;
  evbuffer* input = bufferevent_get_input(connection.events);
  while (!connection.dropped) {
    std::array<uint8_t, kFrameHeaderSize> header{};
    if (evbuffer_copyout(input, header.data(), header.size()) <
        static_cast<ev_ssize_t>(header.size())) {
      return;
    }
    const auto length = Catch([&] { return DecodeFrameLength(header); });
    if (!length) {
      Drop(link, std::string(Describe(length.failure.code).name));
      return;
    }
    const bool too_large =
        !connection.handshake_done && *length.value > kMaxHelloBytes;
    if (too_large) {
      Drop(link, std::string(Describe(ResultCode::kFrameTooLarge).name));
      return;
    }
    const size_t whole = kFrameHeaderSize + *length.value;
    if (evbuffer_get_length(input) < whole) {
      AccountInput(connection);
      return;
    }
    std::vector<uint8_t> frame(whole);
    evbuffer_remove(input, frame.data(), frame.size());
    bytes_received_ += whole;
    EndPartialFrame(connection);
    if (!OnFrame(connection, frame)) {
      return;
    }
  }
}

bool PeerPort::OnFrame(Connection& connection,
                       const std::vector<uint8_t>& frame) {
  const LinkId link = connection.id;
  auto message = Catch([&] { return DecodeFrame(frame); });
  if (!message && message.failure.code == ResultCode::kUnknownMessage &&
      connection.handshake_done) {
    ++messages_skipped_;
    log_.Warn("message_skipped",
              {{"link", link},
               {"code", static_cast<uint32_t>(message.failure.code)},
               {"type", message.failure.message},
               {"skipped", messages_skipped_}});
    return true;
  }
  if (!message) {
    Drop(link, std::string(Describe(message.failure.code).name));
    return false;
  }
  if (!connection.handshake_done) {
    return OnHello(connection, *message.value);
  }
  signal_message_.emit(link, *message.value);
  return connections_.contains(link) && !connection.dropped;
}

bool PeerPort::OnHello(Connection& connection, const Message& message) {
  const LinkId link = connection.id;
  const auto* hello = std::get_if<Hello>(&message);
  const bool usable = hello != nullptr && !hello->instance.empty() &&
                      hello->role <= static_cast<uint8_t>(Role::kAgent);
  if (!usable || hello->protocol != kProtocolVersion) {
    Drop(link, usable ? "protocol_version" : "bad_frame");
    return false;
  }
  connection.handshake_done = true;
  --pending_handshakes_;
  signal_up_.emit(link, FromHello(*hello), connection.dialed);
  return connections_.contains(link) && !connection.dropped;
}

void PeerPort::Handle(const SendMessage& send) {
  const auto found = connections_.find(send.link);
  if (found == connections_.end() || found->second->dropped) {
    return;
  }
  const std::string frame = EncodeFrame(send.message);
  if (frame.size() > kFrameHeaderSize + kMaxFrameSize) {
    // The peer would drop the connection, and after a reconnect again.
    ++messages_too_large_;
    log_.Write(LogLevel::kError, "message_too_large",
               {{"link", send.link},
                {"type", MessageName(send.message)},
                {"bytes", frame.size()}});
    return;
  }
  bufferevent* events = found->second->events;
  bufferevent_write(events, frame.data(), frame.size());
  bytes_sent_ += frame.size();
  const size_t unsent = evbuffer_get_length(bufferevent_get_output(events));
  if (unsent > options_.max_unsent_bytes) {
    Drop(send.link, "too much unsent");
  } else if (unsent > frame.size()) {
    // The peer is slow. Otherwise the sum over all peers is not needed.
    DropLargestUnsent();
  }
}

PeerPort::Options PeerPort::OptionsFor(const ProcessLimits& limits) {
  /// A frame, and what follows it.
  constexpr size_t kMinBytes = 2 * kMaxFrameSize;
  Options options;
  options.max_total_unsent_bytes =
      std::max(kMinBytes, limits.peer_output_bytes());
  options.max_unsent_bytes = options.max_total_unsent_bytes;
  options.max_partial_frame_bytes =
      std::max(kMinBytes, limits.peer_input_bytes());
  options.max_accepted = limits.peer_connections();
  options.max_pending_handshakes =
      std::min(options.max_pending_handshakes, limits.peer_connections() / 2);
  return options;
}

void PeerPort::AccountInput(Connection& connection) {
  const size_t length =
      evbuffer_get_length(bufferevent_get_input(connection.events));
  if (connection.partial_frame_bytes == 0) {
    connection.partial_frame_since = SystemClock().Now();
  }
  partial_frame_bytes_ += length;
  partial_frame_bytes_ -= std::exchange(connection.partial_frame_bytes, length);
  if (partial_frame_bytes_ > options_.max_partial_frame_bytes) {
    DropOldestPartialFrame();
  }
}

void PeerPort::EndPartialFrame(Connection& connection) {
  partial_frame_bytes_ -= std::exchange(connection.partial_frame_bytes, 0);
}

void PeerPort::DropOldestPartialFrame() {
  const Connection* oldest = nullptr;
  for (const auto& [link, connection] : connections_) {
    if (connection->partial_frame_bytes > 0 && !connection->dropped &&
        (oldest == nullptr ||
         connection->partial_frame_since < oldest->partial_frame_since)) {
      oldest = connection.get();
    }
  }
  if (oldest != nullptr) {
    Drop(oldest->id, "memory: partial frame");
  }
}

void PeerPort::DropLargestUnsent() {
  size_t total = 0;
  size_t largest_bytes = 0;
  LinkId largest = 0;
  for (const auto& [link, connection] : connections_) {
    if (connection->dropped) {
      continue;
    }
    const size_t bytes =
        evbuffer_get_length(bufferevent_get_output(connection->events));
    total += bytes;
    if (bytes > largest_bytes) {
      largest_bytes = bytes;
      largest = link;
    }
  }
  if (total > options_.max_total_unsent_bytes) {
    Drop(largest, "memory: unsent");
  }
}

void PeerPort::Handle(const CloseLink& close) {
  const auto found = connections_.find(close.link);
  if (found == connections_.end() || found->second->dropped) {
    return;
  }
  // The node itself closes the link, so signal_down is not emitted.
  Connection& connection = *found->second;
  pending_handshakes_ -= connection.handshake_done ? 0 : 1;
  connection.dropped = true;
  EndPartialFrame(connection);
  accepted_ -= connection.dialed.empty() ? 1 : 0;
  bufferevent_disable(connection.events, EV_READ | EV_WRITE);
  loop_.Defer([this, link = close.link] { connections_.erase(link); });
}

void PeerPort::Handle(const Dial& dial) {
  const std::optional<Address> address = Address::Parse(dial.address);
  if (!address.has_value()) {
    loop_.Defer(
        [this, text = dial.address] { signal_dial_failed_.emit(text); });
    return;
  }
  sockaddr_storage storage{};
  const auto length = static_cast<int>(address->ToSocketAddress(storage));
  auto* target = reinterpret_cast<sockaddr*>(&storage);
  bufferevent* events =
      bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const LinkId link = Open(events, dial.address).id;
  if (bufferevent_socket_connect(events, target, length) != 0) {
    loop_.Defer([this, link] { Drop(link, "connect"); });
  }
}

void PeerPort::Drop(LinkId link, const std::string& why) {
  const auto found = connections_.find(link);
  if (found == connections_.end() || found->second->dropped) {
    return;
  }
  Connection& connection = *found->second;
  connection.dropped = true;
  const bool handshake_done = connection.handshake_done;
  const std::string dialed = connection.dialed;
  pending_handshakes_ -= handshake_done ? 0 : 1;
  EndPartialFrame(connection);
  accepted_ -= dialed.empty() ? 1 : 0;
  bufferevent_disable(connection.events, EV_READ | EV_WRITE);
  loop_.Defer([this, link] { connections_.erase(link); });
  if (why != "closed") {
    log_.Warn("peer_dropped",
              {{"link", link}, {"dialed", dialed}, {"reason", why}});
  }
  if (handshake_done) {
    signal_down_.emit(link);
  } else if (!dialed.empty()) {
    signal_dial_failed_.emit(dialed);
  }
}

size_t PeerPort::unsent() const {
  size_t bytes = 0;
  for (const auto& [link, connection] : connections_) {
    bytes +=
        connection->dropped
            ? 0
            : evbuffer_get_length(bufferevent_get_output(connection->events));
  }
  return bytes;
}

void PeerPort::Tick(TimePoint now) {
  if (listener_ != nullptr) {
    // It is disabled after a failure.
    evconnlistener_enable(listener_);
  }
  std::vector<LinkId> overdue;
  std::vector<LinkId> partial;
  for (const auto& [link, connection] : connections_) {
    if (connection->dropped) {
      continue;
    }
    if (!connection->handshake_done &&
        now - connection->opened > options_.handshake_timeout) {
      overdue.push_back(link);
    } else if (connection->partial_frame_bytes > 0 &&
               now - connection->partial_frame_since > options_.frame_timeout) {
      partial.push_back(link);
    }
  }
  for (const LinkId link : partial) {
    Drop(link, "partial frame");
  }
  for (const LinkId link : overdue) {
    Drop(link, "no greeting");
  }
}

}  // namespace lavenderkeel
