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

/// Connections of clients: reads one request at a time from each, strictly,
/// and writes its answer. Bytes behind a request wait until it is answered.
class ClientPort {
 public:
  struct Hooks {
    std::function<void(ExchangeId, RequestHead, std::string body)> on_request;
    /// A request that can't be read; the connection ends with its answer.
    std::function<void(ExchangeId, ResultCode)> on_bad_request;
    /// The client closed before the answer was written whole.
    std::function<void(ExchangeId)> on_gone;
    /// The bounds in force.
    std::function<ClientLimits()> limits;
  };

  ClientPort(EventLoop& loop, const Clock& clock, Hooks hooks);
  ~ClientPort();
  ClientPort(const ClientPort&) = delete;
  ClientPort& operator=(const ClientPort&) = delete;

  /// @return the address bound, nothing on failure
  std::optional<std::string> Listen(const std::string& address);
  void StopListening();
  /// Closes connections on which no request has begun; those of a request that
  /// crosses the close are not read, so its client may send it elsewhere.
  void CloseIdle();
  /// From now on each answer closes its connection.
  void set_leaving() { leaving_ = true; }

  void Respond(ExchangeId exchange,
               const ResponseHead& head,
               std::string_view body);
  void RespondHead(ExchangeId exchange, const ResponseHead& head);
  void RespondPart(ExchangeId exchange, std::string_view bytes);
  void RespondEnd(ExchangeId exchange);
  void Abort(ExchangeId exchange);

  /// Closes what is idle or slow for too long.
  void Tick();

  /// Requests that are not answered and written whole.
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
