#ifndef LAVENDERKEEL_IO_CLIENT_PORT_H_
#define LAVENDERKEEL_IO_CLIENT_PORT_H_

#include <functional>
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
#include "lavenderkeel/io/event_loop.h"

struct bufferevent;
struct evconnlistener;

namespace lavenderkeel {

/// HTTP server for clients. Reads one request at a time from each connection,
/// with strict framing, and writes its answer. Bytes that follow a request wait
/// until it is answered.
class ClientPort {
 public:
  struct Hooks {
    std::function<void(ExchangeId, RequestHead, std::string body)> on_request;
    /// A request can't be parsed; the connection closes after its answer.
    std::function<void(ExchangeId, ResultCode)> on_bad_request;
    /// The client closed the connection before the answer was fully written.
    std::function<void(ExchangeId)> on_gone;
    /// All that was written of an answer so far has been sent.
    std::function<void(ExchangeId)> on_written;
    /// Returns the limits in force.
    std::function<ClientLimits()> limits;
  };

  ClientPort(EventLoop& loop, const Clock& clock, Hooks hooks);
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
  void Fail(Connection& connection, ResultCode code);
  Connection* FindExchange(ExchangeId exchange);
  ResponseHead WithConnection(Connection& connection,
                              const ResponseHead& head) const;
  void Finish(Connection& connection);
  void BeginLinger(Connection& connection);
  void Close(ConnectionId id);

  EventLoop& loop_;
  const Clock& clock_;
  Hooks hooks_;
  evconnlistener* listener_ = nullptr;
  bool leaving_ = false;
  ConnectionId last_connection_ = 0;
  ExchangeId last_exchange_ = 0;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::unordered_map<ExchangeId, ConnectionId> exchanges_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_CLIENT_PORT_H_
