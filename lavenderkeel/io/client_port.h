#ifndef LAVENDERKEEL_IO_CLIENT_PORT_H_
#define LAVENDERKEEL_IO_CLIENT_PORT_H_

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/result_code.h"
#include "lavenderkeel/forward/attempt.h"
#include "lavenderkeel/forward/route_table.h"
#include "lavenderkeel/http/message_head.h"
#include "lavenderkeel/io/client_limit_event.h"
#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/memory/body_memory.h"

struct bufferevent;
struct evconnlistener;

namespace lavenderkeel {

/// HTTP server for clients. Reads one request at a time from each connection,
/// with strict framing, and writes its answer. Bytes that follow a request wait
/// until it is answered.
///
/// What is held for a connection is accounted, and bounded by the budget of the
/// process and the number of connections. A body is read only once its memory
/// is reserved. When the connections or the memory are used up, connections
/// yield that wait for their client, the longest waiting first: idle ones,
/// those with a part of a request, and those whose client does not read its
/// answer. A connection whose request is being handled yields only memory, and
/// only if its client does not read.
class ClientPort {
 public:
  struct Options {
    /// Name of the port in logs and metrics.
    std::string name = "clients";
    /// Open connections, including those that are being closed.
    size_t max_connections = std::numeric_limits<size_t>::max();
    /// See ReadLimits.
    bool strict = true;
    /// Bytes of following requests that are read while one is answered.
    size_t read_ahead_bytes = size_t{16} << 10;
    /// Size of the buffers of a socket of which one end does not read.
    int socket_buffer_bytes = 128 << 10;
    /// A client that reads nothing of its answer for this time is disconnected,
    /// and one that has vanished with a part of its answer unread.
    Duration unread_answer_time = std::chrono::seconds(30);
  };

  /// What the head of a request says about its body.
  struct HeadDecision {
    /// Why the request is refused whatever its body is, which is not read.
    std::optional<ResultCode> refusal = std::nullopt;
    /// Order in which bodies get memory; 0 is the most urgent.
    int rank = 0;
  };

  struct Hooks {
    /// @param memory what is held for the head and the body
    std::function<
        void(ExchangeId, RequestHead, std::string body, MemoryCharge memory)>
        on_request;
    /// Decides whether the body of a request is read; empty: always. Called
    /// only for a body that has not arrived with its head.
    std::function<HeadDecision(const RequestHead&)> check_head;
    /// A request can't be parsed or is refused unread; the connection closes
    /// after its answer. The head is empty if it was not read whole.
    std::function<void(ExchangeId, const RequestHead&, ResultCode)>
        on_bad_request;
    /// The client closed the connection before the answer was fully written.
    std::function<void(ExchangeId)> on_gone;
    /// All that was written of an answer so far has been sent.
    std::function<void(ExchangeId)> on_written;
    /// Returns the limits in force; nothing while they are not known, in which
    /// time the defaults hold.
    std::function<std::optional<ClientLimits>()> limits;
    /// A limit was reached; empty: ignored.
    std::function<void(const ClientLimitEvent&)> on_limit;
  };

  /// @param bodies shared by all ports of the process
  ClientPort(EventLoop& loop,
             Options options,
             const Clock& clock,
             BodyMemory& bodies,
             Hooks hooks);
  ~ClientPort();
  ClientPort(const ClientPort&) = delete;
  ClientPort& operator=(const ClientPort&) = delete;

  /// @return the bound address, or nothing on failure
  std::optional<std::string> Listen(const std::string& address);
  void StopListening();
  /// Closes connections on which no request has begun. A request that arrives
  /// at the same time is not read, so its client may send it to another entry.
  void CloseIdle();
  /// Makes each further answer close its connection.
  void set_leaving() { leaving_ = true; }

  void Respond(ExchangeId exchange,
               const ResponseHead& head,
               std::string_view body);
  void RespondHead(ExchangeId exchange, const ResponseHead& head);
  void RespondChunk(ExchangeId exchange, std::string_view bytes);
  void RespondEnd(ExchangeId exchange);
  void Abort(ExchangeId exchange);
  /// Returns the size of what was written to the client and is not sent yet.
  size_t UnsentBytes(ExchangeId exchange);

  /// Closes connections that are idle or slow for too long.
  void Tick();

  /// Returns the number of requests that are not yet answered or whose answer
  /// is not fully written.
  size_t busy() const;
  /// The same without requests that are not read whole.
  size_t unanswered() const;
  size_t connections() const { return connections_.size(); }

 private:
  struct Connection;
  using ConnectionId = uint64_t;

  void Accept(int socket);
  void OnReadable(Connection& connection);
  void OnWritten(Connection& connection);
  void OnEnded(Connection& connection);
  void ReadRequest(Connection& connection);
  void StartExchange(Connection& connection);
  /// Decides whether the body of the request is read on.
  bool MayReadBody(Connection& connection);
  /// Reads and drops what follows a request that was not read whole.
  void Discard(Connection& connection);
  bool RequestMemory(Connection& connection, int rank);
  void BeginBody(Connection& connection);
  void OnMemoryGranted(ConnectionId id);
  void OnMemoryRefused(ConnectionId id, BodyMemory::End end);
  void ReleaseBody(Connection& connection);
  void Fail(Connection& connection, ResultCode code);
  /// Accounts what is held for the connection.
  void Account(Connection& connection);
  void SetReading(Connection& connection, bool reads);
  ClientLimits CurrentLimits() const {
    return hooks_.limits().value_or(ClientLimits());
  }
  /// Applies the limits in force to the request that is being read.
  void UpdateLimits(Connection& connection);
  /// Returns since when a connection that may yield waits for its client.
  static std::optional<TimePoint> YieldsSince(Connection& connection,
                                              TimePoint now,
                                              bool frees_memory);
  /// Returns the connection that yields first; null if none does.
  Connection* FindYielding(TimePoint now, bool frees_memory);
  /// Gives up what was read beyond the requests that are being handled.
  void DropReadAhead();
  /// Closes connections while the budget is exceeded.
  void ReclaimMemory();
  static std::string_view StateName(const Connection& connection);
  void Report(const Connection& connection,
              std::string_view limit,
              std::string_view state);
  void Write(Connection& connection, std::string_view bytes);
  /// Returns for how long the client has read nothing of its answer.
  static Duration UnreadTime(Connection& connection, TimePoint now);
  Connection* FindExchange(ExchangeId exchange);
  ResponseHead WithConnection(Connection& connection,
                              const ResponseHead& head) const;
  void Finish(Connection& connection);
  void BeginLinger(Connection& connection);
  void Close(ConnectionId id);

  EventLoop& loop_;
  Options options_;
  const Clock& clock_;
  BodyMemory& bodies_;
  Hooks hooks_;
  bool reclaims_ = false;
  bool processes_bodies_ = false;
  evconnlistener* listener_ = nullptr;
  bool leaving_ = false;
  ConnectionId last_connection_ = 0;
  ExchangeId last_exchange_ = 0;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::unordered_map<ExchangeId, ConnectionId> exchanges_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_CLIENT_PORT_H_
