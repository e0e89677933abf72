#include "lavenderkeel/io/upstream_port.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <unordered_set>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"
#include "lavenderkeel/io/address.h"
#include "lavenderkeel/io/socket_options.h"

namespace lavenderkeel {

namespace {

constexpr int kFirstFinalStatus = 200;

/// Returns the `timeout` of the Keep-Alive field, which is in whole seconds.
std::optional<Duration> KeepAliveTime(const ResponseHead& head) {
  const std::string* field = FindField(head.fields, "Keep-Alive");
  constexpr std::string_view kTimeout = "timeout=";
  const size_t at =
      field == nullptr ? std::string::npos : field->find(kTimeout);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const char* begin = field->data() + at + kTimeout.size();
  int64_t seconds = 0;
  const auto [end, error] =
      std::from_chars(begin, field->data() + field->size(), seconds);
  if (error != std::errc() || end == begin) {
    return std::nullopt;
  }
  return FromSeconds(static_cast<double>(seconds));
}

/// Appends a text without copying it.
void AddShared(evbuffer* output, std::shared_ptr<const std::string> text) {
  if (text == nullptr || text->empty()) {
    return;
  }
  auto held =
      std::make_unique<std::shared_ptr<const std::string>>(std::move(text));
  const std::string& bytes = **held;
  evbuffer_add_reference(
      output, bytes.data(), bytes.size(),
      [](const void*, size_t, void* arg) {
        delete static_cast<std::shared_ptr<const std::string>*>(arg);
      },
      held.release());
}

}  // namespace

struct UpstreamPort::Connection {
  Connection(UpstreamPort& port_in, ConnectionId id_in, ReadLimits limits)
      : port(port_in), id(id_in), reader(limits) {}
  ~Connection() {
    if (events != nullptr) {
      bufferevent_free(events);
    }
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  UpstreamPort& port;
  ConnectionId id;
  /// Incarnation of the server that the connection was opened to.
  std::string server;
  bufferevent* events = nullptr;
  ResponseReader reader;
  AttemptId attempt = 0;
  /// Hashes of the ids of all requests sent on this connection.
  std::unordered_set<uint64_t> requests;
  bool connected = false;
  /// True until the first answer has arrived.
  bool fresh = true;
  bool head_taken = false;
  /// True if no further request may be sent.
  bool is_last = false;
  /// True if the request has a long body.
  bool uploads = false;
  /// True if the current message is discarded, since it does not answer the
  /// current request.
  bool skipping = false;
  /// What was discarded for the current request.
  size_t skipped_messages = 0;
  size_t skipped_bytes = 0;
  TimePoint connecting_since;
  TimePoint idle_since;
  Duration idle_time{};
};

UpstreamPort::UpstreamPort(EventLoop& loop,
                           Options options,
                           const Clock& clock,
                           Hooks hooks)
    : loop_(loop), options_(options), clock_(clock), hooks_(std::move(hooks)) {}

UpstreamPort::~UpstreamPort() = default;

void UpstreamPort::Send(AttemptId attempt,
                        const ForwardPort::OutgoingRequest& outgoing) {
  Connection* connection = TakeIdle(outgoing);
  if (connection == nullptr) {
    connection = Connect(outgoing);
  }
  if (connection == nullptr) {
    // Reported later, since the controller is still in its call of Send().
    loop_.Defer([this, attempt] {
      hooks_.on_failed(attempt, AttemptFailure::kNotConnected);
    });
    return;
  }
  connection->attempt = attempt;
  connection->requests.insert(HashBytes(outgoing.request_id));
  connection->head_taken = false;
  connection->skipping = false;
  connection->skipped_messages = 0;
  connection->skipped_bytes = 0;
  connection->reader = ResponseReader(options_.answer);
  attempts_[attempt] = connection->id;
  // A server may read a body as slowly as it likes; the request has a time
  // limit of its own.
  const bool uploads = outgoing.body != nullptr &&
                       outgoing.body->size() > options_.max_short_body_bytes;
  if (std::exchange(connection->uploads, uploads) != uploads) {
    SetUserTimeout(bufferevent_getfd(connection->events),
                   uploads ? Duration::zero() : kVanishedPeerTime);
  }
  bufferevent_write(connection->events, outgoing.head.data(),
                    outgoing.head.size());
  AddShared(bufferevent_get_output(connection->events), outgoing.body);
}

UpstreamPort::Connection* UpstreamPort::TakeIdle(
    const ForwardPort::OutgoingRequest& outgoing) {
  const auto idle = idle_.find(outgoing.server);
  if (idle == idle_.end()) {
    return nullptr;
  }
  const TimePoint now = clock_.Now();
  const uint64_t request = HashBytes(outgoing.request_id);
  std::vector<ConnectionId>& ids = idle->second;
  for (size_t i = ids.size(); i-- > 0;) {
    Connection& connection = *connections_.at(ids[i]);
    if (now - connection.idle_since >
        std::min(outgoing.max_reuse_idle_time, connection.idle_time)) {
      continue;
    }
    if (connection.requests.contains(request)) {
      ++passed_over_;
      continue;
    }
    ids.erase(ids.begin() + static_cast<ptrdiff_t>(i));
    ++reuses_;
    return &connection;
  }
  return nullptr;
}

UpstreamPort::Connection* UpstreamPort::Connect(
    const ForwardPort::OutgoingRequest& outgoing) {
  const std::optional<Address> address = Address::Parse(outgoing.address);
  if (!address.has_value()) {
    return nullptr;
  }
  ++connects_;
  const ConnectionId id = ++last_;
  auto connection = std::make_unique<Connection>(*this, id, options_.answer);
  connection->server = outgoing.server;
  connection->connecting_since = clock_.Now();
  connection->events =
      bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      connection->events,
      [](bufferevent*, void* arg) {
        auto& self = *static_cast<Connection*>(arg);
        self.port.OnReadable(self);
      },
      nullptr,
      [](bufferevent*, short what, void* arg) {
        auto& self = *static_cast<Connection*>(arg);
        self.port.OnEvent(self, what);
      },
      connection.get());
  sockaddr_storage storage{};
  const socklen_t length = address->ToSocketAddress(storage);
  Connection& result = *connection;
  connections_[id] = std::move(connection);
  const int started = bufferevent_socket_connect(
      result.events, reinterpret_cast<sockaddr*>(&storage),
      static_cast<int>(length));
  if (started != 0 || !connections_.contains(id)) {
    connections_.erase(id);
    return nullptr;
  }
  SetStreamOptions(bufferevent_getfd(result.events), kVanishedPeerTime);
  bufferevent_enable(result.events, EV_READ | EV_WRITE);
  return &result;
}

void UpstreamPort::OnEvent(Connection& connection, short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connection.connected = true;
    return;
  }
  const ConnectionId id = connection.id;
  if (connection.attempt == 0) {
    Close(id);
    return;
  }
  if (!connection.connected) {
    FailAndClose(id, AttemptFailure::kNotConnected);
    return;
  }
  // An orderly close may end an answer without a length; a reset may not.
  if ((what & BEV_EVENT_EOF) != 0) {
    OnReadable(connection);
    if (!connections_.contains(id) || connection.attempt == 0) {
      return;
    }
    connection.reader.FeedEnd();
    if (connection.head_taken && !connection.skipping &&
        connection.reader.done()) {
      const AttemptId attempt = connection.attempt;
      attempts_.erase(attempt);
      Close(id);
      hooks_.on_end(attempt);
      return;
    }
  }
  FailAndClose(id, AttemptFailure::kDisconnected);
}

void UpstreamPort::OnReadable(Connection& connection) {
  const ConnectionId id = connection.id;
  if (connection.attempt == 0) {
    // Unsolicited bytes: later bytes of this connection can't be trusted.
    Close(id);
    return;
  }
  while (ParseInput(connection)) {
  }
}

bool UpstreamPort::ParseInput(Connection& connection) {
  evbuffer* input = bufferevent_get_input(connection.events);
  const size_t length = evbuffer_get_length(input);
  if (length == 0) {
    return false;
  }
  const ConnectionId id = connection.id;
  const std::string_view bytes(
      reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length);
  ResponseReader& reader = connection.reader;
  const size_t consumed = reader.Feed(bytes);
  evbuffer_drain(input, consumed);
  if (reader.fault() != ReadFault::kNone) {
    FailAndClose(id, AttemptFailure::kBroken);
    return false;
  }
  if (reader.head_done() && !connection.head_taken && !TakeHead(connection)) {
    return false;
  }
  if (connection.skipping && !MaySkip(connection, consumed)) {
    return false;
  }
  if (std::string chunk = reader.TakeBody();
      !chunk.empty() && !connection.skipping) {
    if (!hooks_.on_chunk(connection.attempt, std::move(chunk))) {
      Close(id);
      return false;
    }
    if (!connections_.contains(id)) {
      return false;
    }
  }
  if (!reader.done()) {
    return consumed > 0 && evbuffer_get_length(input) > 0;
  }
  if (connection.skipping) {
    ++connection.skipped_messages;
    connection.skipping = false;
    connection.head_taken = false;
    connection.fresh = false;
    reader = ResponseReader(options_.answer);
    return true;
  }
  OnComplete(connection);
  return false;
}

bool UpstreamPort::MaySkip(Connection& connection, size_t bytes) {
  connection.skipped_bytes += bytes;
  if (connection.skipped_bytes <= options_.max_skipped_bytes &&
      connection.skipped_messages < options_.max_skipped_messages) {
    return true;
  }
  FailAndClose(connection.id, AttemptFailure::kBroken);
  return false;
}

bool UpstreamPort::TakeHead(Connection& connection) {
  const ResponseHead& head = connection.reader.head();
  connection.head_taken = true;
  if (head.status < kFirstFinalStatus) {
    connection.skipping = true;
    return true;
  }
  const ConnectionId id = connection.id;
  const auto verdict =
      hooks_.on_head(connection.attempt, head, connection.fresh);
  switch (verdict) {
    case ForwardController::HeadVerdict::kTake:
    case ForwardController::HeadVerdict::kTakeLast:
      if (!connections_.contains(id)) {
        return false;
      }
      connection.is_last = verdict == ForwardController::HeadVerdict::kTakeLast;
      return true;
    case ForwardController::HeadVerdict::kSkip:
      connection.skipping = true;
      return true;
    case ForwardController::HeadVerdict::kDrop:
      Close(id);
      return false;
  }
  return false;
}

void UpstreamPort::OnComplete(Connection& connection) {
  const AttemptId attempt = connection.attempt;
  const ResponseHead& head = connection.reader.head();
  evbuffer* input = bufferevent_get_input(connection.events);
  evbuffer* output = bufferevent_get_output(connection.events);
  // A server may answer before it has read the whole request. The rest of the
  // request is still to be sent then, so no other request may use this
  // connection.
  const bool reusable = head.keep_alive && !connection.is_last &&
                        head.framing != BodyFraming::kUntilClose &&
                        connection.requests.size() < options_.max_requests &&
                        evbuffer_get_length(input) == 0 &&
                        evbuffer_get_length(output) == 0;
  attempts_.erase(attempt);
  if (reusable) {
    constexpr Duration kIdleTimeMargin = std::chrono::seconds(1);
    connection.attempt = 0;
    connection.fresh = false;
    connection.idle_since = clock_.Now();
    connection.idle_time = options_.idle_time;
    // The answer may have ended while its client was behind.
    bufferevent_enable(connection.events, EV_READ);
    if (const std::optional<Duration> bound = KeepAliveTime(head)) {
      connection.idle_time =
          std::min(connection.idle_time,
                   std::max(Duration::zero(), *bound - kIdleTimeMargin));
    }
    std::vector<ConnectionId>& idle = idle_[connection.server];
    idle.push_back(connection.id);
    if (idle.size() > options_.max_idle) {
      Close(idle.front());
    }
  } else {
    Close(connection.id);
  }
  hooks_.on_end(attempt);
}

void UpstreamPort::Cancel(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  // Without a reset, a request that a broken link holds up would still reach
  // the server, seconds after it was given up here.
  ResetOnClose(bufferevent_getfd(connections_.at(found->second)->events));
  Close(found->second);
}

void UpstreamPort::SetReading(AttemptId attempt, bool reads) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  bufferevent* events = connections_.at(found->second)->events;
  if (reads) {
    bufferevent_enable(events, EV_READ);
  } else {
    bufferevent_disable(events, EV_READ);
  }
}

void UpstreamPort::FailAndClose(ConnectionId id, AttemptFailure failure) {
  const AttemptId attempt = connections_.at(id)->attempt;
  Close(id);
  hooks_.on_failed(attempt, failure);
}

void UpstreamPort::Close(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  Connection& connection = *found->second;
  if (connection.attempt != 0) {
    attempts_.erase(connection.attempt);
  } else if (const auto idle = idle_.find(connection.server);
             idle != idle_.end()) {
    std::erase(idle->second, id);
    if (idle->second.empty()) {
      idle_.erase(idle);
    }
  }
  // The object is freed only after the current event.
  bufferevent_setcb(connection.events, nullptr, nullptr, nullptr, nullptr);
  bufferevent_free(std::exchange(connection.events, nullptr));
  auto closed =
      std::make_shared<std::unique_ptr<Connection>>(std::move(found->second));
  connections_.erase(found);
  loop_.Defer([closed] {});
}

void UpstreamPort::Tick() {
  const TimePoint now = clock_.Now();
  std::vector<ConnectionId> overdue;
  std::vector<ConnectionId> stale;
  for (const auto& [id, connection] : connections_) {
    const bool busy = connection->attempt != 0;
    if (busy && !connection->connected &&
        now - connection->connecting_since > options_.connect_timeout) {
      overdue.push_back(id);
    } else if (!busy && now - connection->idle_since > connection->idle_time) {
      stale.push_back(id);
    }
  }
  for (const ConnectionId id : stale) {
    Close(id);
  }
  for (const ConnectionId id : overdue) {
    if (connections_.contains(id)) {
      FailAndClose(id, AttemptFailure::kNotConnected);
    }
  }
}

}  // namespace lavenderkeel
