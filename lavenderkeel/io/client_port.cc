#include "lavenderkeel/io/client_port.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <utility>
#include <vector>

#include "lavenderkeel/http/message_reader.h"
#include "lavenderkeel/io/internal/listener.h"
#include "lavenderkeel/io/socket_options.h"

namespace lavenderkeel {

namespace {

/// Bytes of following requests that are read ahead while a request is answered.
constexpr size_t kReadAheadBytes = size_t{64} << 10;

/// Time that a client has to read the answer to a request that was not read
/// completely. Closing a socket with unread bytes would reset the connection,
/// and the answer would be lost.
constexpr Duration kLingerTime = std::chrono::seconds(1);

std::string_view InputOf(bufferevent* events) {
  evbuffer* input = bufferevent_get_input(events);
  const size_t length = evbuffer_get_length(input);
  if (length == 0) {
    return {};
  }
  return {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length};
}

void Consume(bufferevent* events, size_t bytes) {
  evbuffer_drain(bufferevent_get_input(events), bytes);
}

size_t UnsentOf(bufferevent* events) {
  return evbuffer_get_length(bufferevent_get_output(events));
}

ReadLimits LimitsOf(const ClientLimits& limits) {
  return {.head_bytes = limits.head_bytes, .body_bytes = limits.body_bytes};
}

ResultCode CodeOf(ReadFault fault) {
  switch (fault) {
    case ReadFault::kHeadTooLarge:
      return ResultCode::kHeadTooLarge;
    case ReadFault::kBodyTooLarge:
      return ResultCode::kBodyTooLarge;
    default:
      return ResultCode::kMalformedRequest;
  }
}

}  // namespace

struct ClientPort::Connection {
  enum class State {
    kReading,
    /// The controller handles a request; no further request is parsed.
    kBusy,
    /// The answer is complete, but not fully written.
    kFlushing,
    /// The last answer is written; further input is discarded.
    kLingering,
  };

  Connection(ClientPort& port_in, ConnectionId id_in, ReadLimits limits)
      : port(port_in), id(id_in), reader(limits) {}
  ~Connection() { bufferevent_free(events); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  ClientPort& port;
  ConnectionId id;
  bufferevent* events = nullptr;
  State state = State::kReading;
  RequestReader reader;
  ExchangeId exchange = 0;
  bool keep_alive = true;
  bool continue_sent = false;
  /// Start of the current wait: for a request, for the rest of it, or for the
  /// client.
  TimePoint wait_started_at;
};

ClientPort::ClientPort(EventLoop& loop, const Clock& clock, Hooks hooks)
    : loop_(loop), clock_(clock), hooks_(std::move(hooks)) {}

ClientPort::~ClientPort() {
  StopListening();
  connections_.clear();
}

std::optional<std::string> ClientPort::Listen(const std::string& text) {
  /// Connections that may wait to be accepted; enough for a burst of all
  /// clients at once.
  constexpr int kBacklog = 1024;
  listener_ = internal::NewListener<ClientPort, &ClientPort::Accept>(
      loop_.base(), text, kBacklog, *this);
  return internal::AddressOf(listener_);
}

void ClientPort::StopListening() {
  if (listener_ != nullptr) {
    evconnlistener_free(std::exchange(listener_, nullptr));
  }
}

void ClientPort::CloseIdle() {
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : connections_) {
    if (connection->state == Connection::State::kReading &&
        !connection->reader.started() && InputOf(connection->events).empty()) {
      idle.push_back(id);
    }
  }
  for (const ConnectionId id : idle) {
    Close(id);
  }
}

void ClientPort::Accept(int socket) {
  evutil_make_socket_nonblocking(socket);
  SetStreamOptions(socket);
  const ConnectionId id = ++last_connection_;
  auto connection =
      std::make_unique<Connection>(*this, id, LimitsOf(hooks_.limits()));
  connection->events =
      bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
  connection->wait_started_at = clock_.Now();
  bufferevent_setcb(
      connection->events,
      [](bufferevent*, void* arg) {
        auto& self = *static_cast<Connection*>(arg);
        self.port.OnReadable(self);
      },
      [](bufferevent*, void* arg) {
        auto& self = *static_cast<Connection*>(arg);
        self.port.OnWritten(self);
      },
      [](bufferevent*, short, void* arg) {
        auto& self = *static_cast<Connection*>(arg);
        self.port.OnEnded(self);
      },
      connection.get());
  bufferevent_enable(connection->events, EV_READ | EV_WRITE);
  connections_[id] = std::move(connection);
}

void ClientPort::OnReadable(Connection& connection) {
  if (connection.state == Connection::State::kLingering) {
    Consume(connection.events, InputOf(connection.events).size());
    return;
  }
  if (connection.state == Connection::State::kReading) {
    ReadRequest(connection);
    return;
  }
  // Stops reading at the limit, so that a client can't exhaust the memory.
  if (InputOf(connection.events).size() >= kReadAheadBytes) {
    bufferevent_disable(connection.events, EV_READ);
  }
}

void ClientPort::ReadRequest(Connection& connection) {
  RequestReader& reader = connection.reader;
  std::string_view input = InputOf(connection.events);
  // Empty lines before a request are ignored, as HTTP recommends.
  while (!reader.started() && !input.empty() &&
         (input.front() == '\r' || input.front() == '\n')) {
    Consume(connection.events, 1);
    input.remove_prefix(1);
  }
  if (input.empty()) {
    return;
  }
  if (!reader.started()) {
    connection.wait_started_at = clock_.Now();
  }
  while (!input.empty() && !reader.done() &&
         reader.fault() == ReadFault::kNone) {
    const size_t consumed = reader.Feed(input);
    Consume(connection.events, consumed);
    input = InputOf(connection.events);
    if (consumed == 0) {
      break;
    }
  }
  if (reader.fault() != ReadFault::kNone) {
    Fail(connection, CodeOf(reader.fault()));
    return;
  }
  if (reader.done()) {
    StartExchange(connection);
    return;
  }
  if (reader.head_done() && !std::exchange(connection.continue_sent, true) &&
      FieldHasToken(reader.head().fields, "Expect", "100-continue")) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(connection.events, kContinue.data(), kContinue.size());
  }
}

void ClientPort::StartExchange(Connection& connection) {
  connection.state = Connection::State::kBusy;
  connection.exchange = ++last_exchange_;
  connection.keep_alive = connection.reader.head().keep_alive;
  exchanges_[connection.exchange] = connection.id;
  hooks_.on_request(connection.exchange, connection.reader.head(),
                    connection.reader.TakeBody());
}

void ClientPort::Fail(Connection& connection, ResultCode code) {
  connection.state = Connection::State::kBusy;
  connection.exchange = ++last_exchange_;
  connection.keep_alive = false;
  exchanges_[connection.exchange] = connection.id;
  hooks_.on_bad_request(connection.exchange, code);
}

ClientPort::Connection* ClientPort::FindExchange(ExchangeId exchange) {
  const auto found = exchanges_.find(exchange);
  return found == exchanges_.end() ? nullptr
                                   : connections_.at(found->second).get();
}

ResponseHead ClientPort::WithConnection(Connection& connection,
                                        const ResponseHead& head) const {
  connection.keep_alive = connection.keep_alive && !leaving_;
  ResponseHead sent = head;
  if (!connection.keep_alive) {
    sent.fields.push_back({.name = "Connection", .value = "close"});
  }
  return sent;
}

void ClientPort::Respond(ExchangeId exchange,
                         const ResponseHead& head,
                         std::string_view body) {
  Connection* connection = FindExchange(exchange);
  if (connection == nullptr) {
    return;
  }
  const std::string bytes =
      EncodeResponse(WithConnection(*connection, head), body);
  bufferevent_write(connection->events, bytes.data(), bytes.size());
  Finish(*connection);
}

void ClientPort::RespondHead(ExchangeId exchange, const ResponseHead& head) {
  Connection* connection = FindExchange(exchange);
  if (connection == nullptr) {
    return;
  }
  const std::string bytes =
      EncodeChunkedHead(WithConnection(*connection, head));
  bufferevent_write(connection->events, bytes.data(), bytes.size());
}

void ClientPort::RespondChunk(ExchangeId exchange, std::string_view part) {
  if (Connection* connection = FindExchange(exchange)) {
    const std::string bytes = EncodeChunk(part);
    bufferevent_write(connection->events, bytes.data(), bytes.size());
  }
}

void ClientPort::RespondEnd(ExchangeId exchange) {
  if (Connection* connection = FindExchange(exchange)) {
    // A stream whose head was sent before set_leaving() keeps its connection
    // open; CloseIdle() closes it.
    bufferevent_write(connection->events, kLastChunk.data(), kLastChunk.size());
    Finish(*connection);
  }
}

size_t ClientPort::UnsentBytes(ExchangeId exchange) {
  const Connection* connection = FindExchange(exchange);
  return connection == nullptr ? 0 : UnsentOf(connection->events);
}

void ClientPort::Finish(Connection& connection) {
  exchanges_.erase(connection.exchange);
  connection.exchange = 0;
  connection.state = Connection::State::kFlushing;
  connection.wait_started_at = clock_.Now();
  // Deferred to the next iteration of the event loop, since a caller up the
  // stack may still use this connection.
  if (UnsentOf(connection.events) == 0) {
    const ConnectionId id = connection.id;
    loop_.Defer([this, id] {
      const auto found = connections_.find(id);
      if (found != connections_.end()) {
        OnWritten(*found->second);
      }
    });
  }
}

void ClientPort::OnWritten(Connection& connection) {
  if (connection.state == Connection::State::kBusy) {
    hooks_.on_written(connection.exchange);
    return;
  }
  if (connection.state != Connection::State::kFlushing) {
    return;
  }
  if (!connection.keep_alive) {
    BeginLinger(connection);
    return;
  }
  connection.state = Connection::State::kReading;
  connection.continue_sent = false;
  connection.wait_started_at = clock_.Now();
  connection.reader = RequestReader(LimitsOf(hooks_.limits()));
  bufferevent_enable(connection.events, EV_READ);
  ReadRequest(connection);
}

void ClientPort::BeginLinger(Connection& connection) {
  connection.state = Connection::State::kLingering;
  connection.wait_started_at = clock_.Now();
  shutdown(bufferevent_getfd(connection.events), SHUT_WR);
  bufferevent_enable(connection.events, EV_READ);
  Consume(connection.events, InputOf(connection.events).size());
}

void ClientPort::OnEnded(Connection& connection) {
  const ExchangeId exchange = connection.exchange;
  Close(connection.id);
  if (exchange != 0) {
    hooks_.on_gone(exchange);
  }
}

void ClientPort::Abort(ExchangeId exchange) {
  if (Connection* connection = FindExchange(exchange)) {
    // Freed later, since the caller may be in an event of this connection.
    exchanges_.erase(exchange);
    connection->exchange = 0;
    connection->state = Connection::State::kLingering;
    const ConnectionId id = connection->id;
    loop_.Defer([this, id] { Close(id); });
  }
}

void ClientPort::Close(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  exchanges_.erase(found->second->exchange);
  connections_.erase(found);
}

void ClientPort::Tick() {
  const TimePoint now = clock_.Now();
  const ClientLimits limits = hooks_.limits();
  std::vector<ConnectionId> expired;
  std::vector<ConnectionId> slow;
  for (const auto& [id, connection] : connections_) {
    const Duration age = now - connection->wait_started_at;
    const RequestReader& reader = connection->reader;
    if (connection->state == Connection::State::kLingering) {
      if (age > kLingerTime) {
        expired.push_back(id);
      }
      continue;
    }
    if (connection->state != Connection::State::kReading) {
      continue;
    }
    const Duration max_age = reader.started() && !reader.head_done()
                                 ? limits.head_time
                                 : limits.idle_time;
    if (age > max_age) {
      (reader.started() ? slow : expired).push_back(id);
    }
  }
  for (const ConnectionId id : expired) {
    Close(id);
  }
  for (const ConnectionId id : slow) {
    Fail(*connections_.at(id), ResultCode::kHeadTooSlow);
  }
}

size_t ClientPort::busy() const {
  size_t count = 0;
  for (const auto& [id, connection] : connections_) {
    const bool partly_read = connection->state == Connection::State::kReading &&
                             connection->reader.started();
    count += partly_read || connection->state == Connection::State::kBusy ||
                     connection->state == Connection::State::kFlushing
                 ? 1
                 : 0;
  }
  return count;
}

}  // namespace lavenderkeel
