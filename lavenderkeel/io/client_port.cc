#include "lavenderkeel/io/client_port.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "lavenderkeel/http/message_reader.h"
#include "lavenderkeel/io/address.h"
#include "lavenderkeel/io/internal/listener.h"
#include "lavenderkeel/io/socket_options.h"

namespace lavenderkeel {

namespace {

/// Time that a client has to read the answer to a request that was not read
/// completely, after the last byte that it sent. Closing a socket with unread
/// bytes would reset the connection, and the answer would be lost. A client
/// that goes on sending is read up to the size of a body and the second time.
constexpr Duration kLingerTime = std::chrono::seconds(1);
constexpr Duration kMaxLingerTime = std::chrono::seconds(10);

/// What a connection costs beside its buffers: this object, the parser, and
/// those of the library.
constexpr size_t kConnectionBytes = size_t{4} << 10;
/// What a request costs beside its head and body.
constexpr size_t kRequestBytes = size_t{4} << 10;
/// Free space that a body may have.
constexpr size_t kMaxSpareBytes = size_t{64} << 10;
/// Free space in a buffer that is not empty.
constexpr size_t kBufferSlackBytes = size_t{4} << 10;

/// A connection on which the client has made no progress for this time may
/// yield to others.
constexpr Duration kStallTime = std::chrono::seconds(1);

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

size_t BufferBytes(evbuffer* buffer) {
  const size_t length = evbuffer_get_length(buffer);
  return length == 0 ? 0 : length + kBufferSlackBytes;
}

ReadLimits LimitsOf(const ClientLimits& limits, bool strict) {
  return {.head_bytes = limits.head_bytes,
          .body_bytes = limits.body_bytes,
          .strict = strict};
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
  /// Whether the request is read under limits in force.
  bool limits_known = false;
  /// Start of the current wait: for a request, for the rest of it, or for the
  /// client.
  TimePoint wait_started_at;
  /// The body that is being read; zero: none, or it arrived with its head.
  BodyMemory::BodyId body = 0;
  /// Whether the body waits unread for memory.
  bool body_waits = false;
  /// Whether memory was reserved before.
  bool body_begun = false;
  /// Memory that is reserved for the body, or requested.
  size_t body_reserved = 0;
  bool reads = true;
  /// Whether the buffers of the socket no longer grow.
  bool buffers_fixed = false;
  /// What is held beside the body.
  MemoryCharge held;
  /// Bytes that were written for the client, and what was seen to be sent.
  uint64_t written = 0;
  uint64_t sent = 0;
  /// When the client was last seen to read.
  TimePoint read_at;
  /// What was read and discarded since the last answer, and since when.
  size_t discarded = 0;
  TimePoint linger_started_at;
};

ClientPort::ClientPort(EventLoop& loop,
                       Options options,
                       const Clock& clock,
                       BodyMemory& bodies,
                       Hooks hooks)
    : loop_(loop),
      options_(std::move(options)),
      clock_(clock),
      bodies_(bodies),
      hooks_(std::move(hooks)) {}

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
  const TimePoint now = clock_.Now();
  if (connections_.size() >= options_.max_connections) {
    Connection* yielding = FindYielding(now, /*frees_memory=*/false);
    if (yielding == nullptr) {
      if (hooks_.on_limit) {
        hooks_.on_limit({.port = options_.name,
                         .limit = "descriptors",
                         .state = "connects",
                         .address = PeerAddress(socket),
                         .used_bytes = bodies_.budget().used(),
                         .limit_bytes = bodies_.budget().limit(),
                         .connections = connections_.size()});
      }
      evutil_closesocket(socket);
      return;
    }
    Report(*yielding, "descriptors", StateName(*yielding));
    Close(yielding->id);
  }
  evutil_make_socket_nonblocking(socket);
  SetStreamOptions(socket, options_.unread_answer_time);
  const ConnectionId id = ++last_connection_;
  auto connection = std::make_unique<Connection>(
      *this, id, ReadLimits{.strict = options_.strict});
  connection->events =
      bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
  connection->wait_started_at = now;
  connection->held = MemoryCharge(bodies_.budget(), kConnectionBytes);
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
    Discard(connection);
    return;
  }
  if (connection.state == Connection::State::kReading) {
    ReadRequest(connection);
    return;
  }
  if (!connection.keep_alive) {
    Discard(connection);
  } else if (evbuffer_get_length(bufferevent_get_input(connection.events)) >=
             options_.read_ahead_bytes) {
    // A client that sends without end can't exhaust the memory.
    SetReading(connection, false);
  }
  Account(connection);
}

void ClientPort::Discard(Connection& connection) {
  const size_t length =
      evbuffer_get_length(bufferevent_get_input(connection.events));
  Consume(connection.events, length);
  connection.discarded += length;
  connection.wait_started_at = clock_.Now();
  if (connection.discarded > CurrentLimits().body_bytes) {
    SetReading(connection, false);
  }
}

void ClientPort::SetReading(Connection& connection, bool reads) {
  if (std::exchange(connection.reads, reads) == reads) {
    return;
  }
  if (reads) {
    bufferevent_enable(connection.events, EV_READ);
  } else {
    bufferevent_disable(connection.events, EV_READ);
  }
}

void ClientPort::Account(Connection& connection) {
  /// More than this waits only for a client that does not read.
  constexpr size_t kUnreadBytes = size_t{16} << 10;
  const RequestReader& reader = connection.reader;
  const size_t output = BufferBytes(bufferevent_get_output(connection.events));
  size_t bytes = kConnectionBytes +
                 BufferBytes(bufferevent_get_input(connection.events)) + output;
  if (connection.state == Connection::State::kReading && reader.started()) {
    bytes += reader.head_capacity();
    bytes += connection.body == 0 ? reader.body_capacity() : 0;
  }
  // The buffers of the socket fill up while one end does not read.
  const auto socket_bytes = static_cast<size_t>(options_.socket_buffer_bytes);
  bytes += connection.reads ? 0 : socket_bytes;
  bytes += output < kUnreadBytes ? 0 : socket_bytes;
  const bool fills_up = !connection.reads || output >= kUnreadBytes;
  if (fills_up && !std::exchange(connection.buffers_fixed, true)) {
    SetBufferSizes(bufferevent_getfd(connection.events),
                   options_.socket_buffer_bytes);
  }
  connection.held.Resize(bytes);
  // Deferred, since a caller up the stack may still use a connection.
  if (bodies_.budget().is_over() && !std::exchange(reclaims_, true)) {
    loop_.Defer([this] { ReclaimMemory(); });
  }
}

void ClientPort::UpdateLimits(Connection& connection) {
  const std::optional<ClientLimits> limits = hooks_.limits();
  // The defaults are no limits that were in force: a body that began under them
  // does not keep them.
  connection.reader.SetLimits(
      LimitsOf(limits.value_or(ClientLimits()), options_.strict),
      /*keeps_higher=*/connection.limits_known);
  connection.limits_known = limits.has_value();
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
  UpdateLimits(connection);
  while (!input.empty() && !reader.done() &&
         reader.fault() == ReadFault::kNone) {
    const size_t consumed = reader.Feed(input);
    Consume(connection.events, consumed);
    input = InputOf(connection.events);
    if (reader.head_done() && !reader.done() && !MayReadBody(connection)) {
      Account(connection);
      return;
    }
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
  Account(connection);
}

bool ClientPort::MayReadBody(Connection& connection) {
  const RequestReader& reader = connection.reader;
  if (connection.body_waits) {
    return false;
  }
  if (connection.body == 0) {
    const HeadDecision decision =
        hooks_.check_head ? hooks_.check_head(reader.head()) : HeadDecision();
    if (decision.refusal.has_value()) {
      Fail(connection, *decision.refusal);
      return false;
    }
    return RequestMemory(connection, decision.rank);
  }
  bodies_.OnProgress(connection.body, reader.body_bytes());
  const uint64_t limit = CurrentLimits().body_bytes;
  // The capacity of a body without a stated length grows by doubling.
  if (reader.body_length().has_value() || connection.body_reserved >= limit ||
      reader.body_bytes() < connection.body_reserved / 2) {
    return true;
  }
  connection.body_reserved = limit;
  connection.body_waits = !bodies_.Extend(connection.body, limit);
  if (connection.body_waits) {
    SetReading(connection, false);
    return false;
  }
  connection.reader.ReserveBody(limit);
  return true;
}

bool ClientPort::RequestMemory(Connection& connection, int rank) {
  /// Reserved at first for a body that does not state its length.
  constexpr size_t kFirstBytes = size_t{64} << 10;
  const ConnectionId id = connection.id;
  connection.body_reserved =
      connection.reader.body_length().value_or(kFirstBytes);
  const BodyMemory::Reservation reservation = bodies_.Request(
      connection.body_reserved, rank,
      {.on_granted = [this, id] { OnMemoryGranted(id); },
       .on_ended = [this,
                    id](BodyMemory::End end) { OnMemoryRefused(id, end); }});
  connection.body = reservation.body;
  connection.body_waits = !reservation.granted;
  if (connection.body_waits) {
    SetReading(connection, false);
    return false;
  }
  BeginBody(connection);
  return true;
}

void ClientPort::BeginBody(Connection& connection) {
  connection.body_begun = true;
  const RequestReader& reader = connection.reader;
  if (reader.body_length().has_value()) {
    connection.reader.ReserveBody(*reader.body_length());
  }
  if (FieldHasToken(reader.head().fields, "Expect", "100-continue")) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    Write(connection, kContinue);
  }
}

void ClientPort::OnMemoryGranted(ConnectionId id) {
  Connection& connection = *connections_.at(id);
  connection.body_waits = false;
  // The time to send the body begins.
  connection.wait_started_at = clock_.Now();
  if (connection.body_begun) {
    connection.reader.ReserveBody(connection.body_reserved);
  } else {
    BeginBody(connection);
  }
  SetReading(connection, true);
  ReadRequest(connection);
}

void ClientPort::OnMemoryRefused(ConnectionId id, BodyMemory::End end) {
  Connection& connection = *connections_.at(id);
  connection.body = 0;
  const bool too_large = end == BodyMemory::End::kTooLarge;
  Report(connection, "memory",
         too_large                          ? "body_too_large"
         : end == BodyMemory::End::kStalled ? "body_stalled"
                                            : "body_waits");
  Fail(connection,
       too_large ? ResultCode::kBodyTooLarge : ResultCode::kMemoryLimit);
}

void ClientPort::ReleaseBody(Connection& connection) {
  connection.body_waits = false;
  connection.body_begun = false;
  connection.body_reserved = 0;
  if (connection.body == 0) {
    return;
  }
  bodies_.Release(std::exchange(connection.body, 0));
  if (bodies_.waiting() > 0 && !std::exchange(processes_bodies_, true)) {
    loop_.Defer([this] {
      processes_bodies_ = false;
      bodies_.Process();
    });
  }
}

void ClientPort::StartExchange(Connection& connection) {
  RequestReader& reader = connection.reader;
  connection.keep_alive = reader.head().keep_alive;
  ReleaseBody(connection);
  MemoryCharge memory(bodies_.budget(), kRequestBytes + reader.head_capacity() +
                                            reader.body_capacity());
  if (bodies_.budget().is_over()) {
    ReclaimMemory();
    if (bodies_.budget().is_over()) {
      memory.Resize(0);
      Report(connection, "memory", "request");
      Fail(connection, ResultCode::kMemoryLimit);
      return;
    }
  }
  connection.state = Connection::State::kBusy;
  connection.exchange = ++last_exchange_;
  exchanges_[connection.exchange] = connection.id;
  RequestHead head = reader.TakeHead();
  std::string body = reader.TakeBody();
  // Memory that was reserved for a body of unknown length.
  if (body.capacity() > kMaxSpareBytes + body.size()) {
    memory.Resize(memory.bytes() - body.capacity() + body.size());
    body.shrink_to_fit();
  }
  Account(connection);
  hooks_.on_request(connection.exchange, std::move(head), std::move(body),
                    std::move(memory));
}

void ClientPort::Fail(Connection& connection, ResultCode code) {
  ReleaseBody(connection);
  const RequestHead head = connection.reader.head_done()
                               ? connection.reader.TakeHead()
                               : RequestHead();
  connection.reader = RequestReader({.strict = options_.strict});
  connection.state = Connection::State::kBusy;
  connection.exchange = ++last_exchange_;
  connection.keep_alive = false;
  connection.discarded = 0;
  // Bytes that follow are discarded.
  SetReading(connection, true);
  Consume(connection.events,
          evbuffer_get_length(bufferevent_get_input(connection.events)));
  Account(connection);
  exchanges_[connection.exchange] = connection.id;
  hooks_.on_bad_request(connection.exchange, head, code);
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
  Write(*connection, bytes);
  Finish(*connection);
}

void ClientPort::RespondHead(ExchangeId exchange, const ResponseHead& head) {
  Connection* connection = FindExchange(exchange);
  if (connection == nullptr) {
    return;
  }
  const std::string bytes =
      EncodeChunkedHead(WithConnection(*connection, head));
  Write(*connection, bytes);
}

void ClientPort::RespondChunk(ExchangeId exchange, std::string_view part) {
  if (Connection* connection = FindExchange(exchange)) {
    Write(*connection, EncodeChunk(part));
  }
}

void ClientPort::RespondEnd(ExchangeId exchange) {
  if (Connection* connection = FindExchange(exchange)) {
    // A stream whose head was sent before set_leaving() keeps its connection
    // open; CloseIdle() closes it.
    Write(*connection, kLastChunk);
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
  Account(connection);
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
  connection.wait_started_at = clock_.Now();
  connection.reader = RequestReader({.strict = options_.strict});
  SetReading(connection, true);
  ReadRequest(connection);
}

void ClientPort::BeginLinger(Connection& connection) {
  connection.state = Connection::State::kLingering;
  connection.wait_started_at = clock_.Now();
  connection.linger_started_at = connection.wait_started_at;
  shutdown(bufferevent_getfd(connection.events), SHUT_WR);
  SetReading(connection, connection.discarded <= CurrentLimits().body_bytes);
  Consume(connection.events, InputOf(connection.events).size());
  Account(connection);
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
    connection->linger_started_at = clock_.Now();
    const ConnectionId id = connection->id;
    loop_.Defer([this, id] { Close(id); });
  }
}

void ClientPort::Close(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  ReleaseBody(*found->second);
  exchanges_.erase(found->second->exchange);
  connections_.erase(found);
}

std::string_view ClientPort::StateName(const Connection& connection) {
  switch (connection.state) {
    case Connection::State::kReading:
      break;
    case Connection::State::kBusy:
    case Connection::State::kFlushing:
    case Connection::State::kLingering:
      return "unread_answer";
  }
  if (!connection.reader.started()) {
    return "idle";
  }
  return connection.reader.head_done() ? "body_stalled" : "head";
}

std::optional<TimePoint> ClientPort::YieldsSince(Connection& connection,
                                                 TimePoint now,
                                                 bool frees_memory) {
  if (frees_memory && connection.held.bytes() <= kConnectionBytes) {
    return std::nullopt;
  }
  switch (connection.state) {
    case Connection::State::kBusy:
      if (!frees_memory) {
        return std::nullopt;
      }
      [[fallthrough]];
    case Connection::State::kFlushing: {
      const Duration unread_time = UnreadTime(connection, now);
      return unread_time < kStallTime ? std::nullopt
                                      : std::optional(now - unread_time);
    }
    case Connection::State::kLingering:
      return frees_memory ? std::nullopt
                          : std::optional(connection.wait_started_at);
    case Connection::State::kReading:
      break;
  }
  if (connection.reader.head_done() &&
      (frees_memory || connection.body_waits ||
       now - connection.wait_started_at < kStallTime)) {
    // Bodies yield their memory by BodyMemory, which sees their progress.
    return std::nullopt;
  }
  return connection.wait_started_at;
}

ClientPort::Connection* ClientPort::FindYielding(TimePoint now,
                                                 bool frees_memory) {
  Connection* longest = nullptr;
  TimePoint longest_since;
  for (const auto& [id, connection] : connections_) {
    const std::optional<TimePoint> since =
        YieldsSince(*connection, now, frees_memory);
    if (since.has_value() && (longest == nullptr || *since < longest_since)) {
      longest = connection.get();
      longest_since = *since;
    }
  }
  return longest;
}

void ClientPort::DropReadAhead() {
  for (const auto& [id, connection] : connections_) {
    if (connection->state == Connection::State::kBusy && !connection->reads) {
      connection->keep_alive = false;
      SetReading(*connection, true);
      Discard(*connection);
      Account(*connection);
    }
  }
}

void ClientPort::ReclaimMemory() {
  reclaims_ = false;
  /// The rest is closed in later iterations of the event loop.
  constexpr int kMaxClosed = 32;
  const TimePoint now = clock_.Now();
  DropReadAhead();
  bodies_.Reclaim();
  for (int i = 0; i < kMaxClosed && bodies_.budget().is_over(); ++i) {
    Connection* yielding = FindYielding(now, /*frees_memory=*/true);
    if (yielding == nullptr) {
      return;
    }
    Report(*yielding, "memory", StateName(*yielding));
    OnEnded(*yielding);
  }
}

void ClientPort::Report(const Connection& connection,
                        std::string_view limit,
                        std::string_view state) {
  if (!hooks_.on_limit) {
    return;
  }
  hooks_.on_limit(
      {.port = options_.name,
       .limit = std::string(limit),
       .state = std::string(state),
       .address = PeerAddress(bufferevent_getfd(connection.events)),
       // The next exchange is the refusal of an unread request.
       .exchange = connection.state == Connection::State::kReading
                       ? last_exchange_ + 1
                       : connection.exchange,
       .age = clock_.Now() - connection.wait_started_at,
       .held_bytes = connection.held.bytes() + connection.body_reserved,
       .used_bytes = bodies_.budget().used(),
       .limit_bytes = bodies_.budget().limit(),
       .connections = connections_.size()});
}

void ClientPort::Write(Connection& connection, std::string_view bytes) {
  if (UnsentOf(connection.events) == 0) {
    connection.read_at = clock_.Now();
  }
  bufferevent_write(connection.events, bytes.data(), bytes.size());
  connection.written += bytes.size();
  Account(connection);
}

Duration ClientPort::UnreadTime(Connection& connection, TimePoint now) {
  const size_t unsent = UnsentOf(connection.events);
  const uint64_t sent = connection.written - unsent;
  if (std::exchange(connection.sent, sent) != sent || unsent == 0) {
    connection.read_at = now;
  }
  return now - connection.read_at;
}

void ClientPort::Tick() {
  const TimePoint now = clock_.Now();
  if (listener_ != nullptr) {
    // It is disabled after a failure.
    evconnlistener_enable(listener_);
  }
  bodies_.Process();
  if (bodies_.budget().is_over()) {
    ReclaimMemory();
  }
  const ClientLimits limits = CurrentLimits();
  std::vector<ConnectionId> expired;
  std::vector<ConnectionId> slow;
  for (const auto& [id, connection] : connections_) {
    const Duration age = now - connection->wait_started_at;
    const RequestReader& reader = connection->reader;
    if (connection->state == Connection::State::kLingering) {
      if (age > kLingerTime ||
          now - connection->linger_started_at > kMaxLingerTime) {
        expired.push_back(id);
      }
      continue;
    }
    const Duration unread_time = UnreadTime(*connection, now);
    if (connection->state == Connection::State::kFlushing &&
        unread_time > options_.unread_answer_time) {
      expired.push_back(id);
      Report(*connection, "time", "unread_answer");
    }
    if (connection->state != Connection::State::kReading ||
        connection->body_waits) {
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
  return unanswered() + static_cast<size_t>(std::ranges::count_if(
                            connections_, [](const auto& item) {
                              return item.second->state ==
                                         Connection::State::kReading &&
                                     item.second->reader.started();
                            }));
}

size_t ClientPort::unanswered() const {
  return static_cast<size_t>(
      std::ranges::count_if(connections_, [](const auto& item) {
        return item.second->state == Connection::State::kBusy ||
               item.second->state == Connection::State::kFlushing;
      }));
}

}  // namespace lavenderkeel
