#ifndef LAVENDERKEEL_IO_UPSTREAM_PORT_H_
#define LAVENDERKEEL_IO_UPSTREAM_PORT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/attempt.h"
#include "lavenderkeel/forward/forward_controller.h"
#include "lavenderkeel/forward/forward_port.h"
#include "lavenderkeel/http/message_head.h"
#include "lavenderkeel/http/message_reader.h"
#include "lavenderkeel/io/event_loop.h"

struct bufferevent;

namespace lavenderkeel {

/// Connections to backend servers, with one request at a time on each.
///
/// An idle connection is kept only if its state is certain: the answer ended
/// exactly where its framing said, the request was written completely, and no
/// byte followed the answer.
///
/// A server may send an answer again, at the point where the answer to a later
/// request on that connection is expected. A request that is sent again
/// therefore gets a connection that has not carried its id.
class UpstreamPort {
 public:
  struct Options {
    /// A request whose connection is not accepted within this time is tried at
    /// another server. Twice the longest round trip plus the retransmission of
    /// a lost packet.
    Duration connect_timeout = std::chrono::milliseconds(400);
    /// Idle connections are closed after this time, or a second before the
    /// timeout that the server announces.
    Duration idle_time = std::chrono::seconds(8);
    /// A connection is closed after this many requests, which bounds the ids
    /// that it remembers.
    size_t max_requests = 1000;
    /// Idle connections to one server above which the one that was used longest
    /// ago is closed: a client that sends the same id again and again needs a
    /// new connection each time, and a server accepts a limited number.
    size_t max_idle = 32;
    /// A server may take longer to read a body beyond this size than a
    /// vanished peer is waited for.
    size_t max_short_body_bytes = size_t{16} << 10;
    /// Limits on a server's answer.
    ReadLimits answer = {.head_bytes = size_t{32} << 10,
                         .body_bytes = uint64_t{64} << 20};
    /// Limits on what is read and discarded before the answer of an attempt:
    /// answers to other requests, and interim responses.
    size_t max_skipped_messages = 64;
    size_t max_skipped_bytes = size_t{8} << 20;
  };

  struct Hooks {
    std::function<ForwardController::HeadVerdict(AttemptId,
                                                 const ResponseHead&,
                                                 bool fresh)>
        on_head;
    /// Returns false if the attempt is no longer wanted.
    std::function<bool(AttemptId, std::string bytes)> on_chunk;
    std::function<void(AttemptId)> on_end;
    std::function<void(AttemptId, AttemptFailure)> on_failed;
  };

  UpstreamPort(EventLoop& loop,
               Options options,
               const Clock& clock,
               Hooks hooks);
  ~UpstreamPort();
  UpstreamPort(const UpstreamPort&) = delete;
  UpstreamPort& operator=(const UpstreamPort&) = delete;

  void Send(AttemptId attempt, const ForwardPort::OutgoingRequest& outgoing);
  void Cancel(AttemptId attempt);
  /// Stops or resumes reading the answer of an attempt, so that the server
  /// sends no more than the client takes.
  void SetReading(AttemptId attempt, bool reads);
  bool Has(AttemptId attempt) const { return attempts_.contains(attempt); }
  /// Fails overdue connection attempts and closes connections that are idle for
  /// too long.
  void Tick();

  uint64_t connects() const { return connects_; }
  uint64_t reuses() const { return reuses_; }
  /// Number of idle connections that were not reused because they had carried
  /// the same request.
  uint64_t passed_over() const { return passed_over_; }

 private:
  struct Connection;
  using ConnectionId = uint64_t;

  Connection* TakeIdle(const ForwardPort::OutgoingRequest& outgoing);
  Connection* Connect(const ForwardPort::OutgoingRequest& outgoing);
  void OnReadable(Connection& connection);
  /// Parses received bytes.
  /// @return false once the connection is closed or needs more bytes
  bool ParseInput(Connection& connection);
  bool TakeHead(Connection& connection);
  /// Returns false and closes the connection if too much was discarded.
  bool MaySkip(Connection& connection, size_t bytes);
  void OnComplete(Connection& connection);
  void OnEvent(Connection& connection, short what);
  void FailAndClose(ConnectionId id, AttemptFailure failure);
  void Close(ConnectionId id);

  EventLoop& loop_;
  Options options_;
  const Clock& clock_;
  Hooks hooks_;
  ConnectionId last_ = 0;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::unordered_map<AttemptId, ConnectionId> attempts_;
  /// By the server's incarnation, the most recently used last.
  std::map<std::string, std::vector<ConnectionId>> idle_;
  uint64_t connects_ = 0;
  uint64_t reuses_ = 0;
  uint64_t passed_over_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_UPSTREAM_PORT_H_
