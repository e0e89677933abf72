#ifndef LAVENDERKEEL_TEST_FAKES_SCRIPTED_SERVER_H_
#define LAVENDERKEEL_TEST_FAKES_SCRIPTED_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "lavenderkeel/io/event_loop.h"

struct evconnlistener;

namespace lavenderkeel::fakes {

/// TCP server that answers requests with the bytes of a script, whether or not
/// they are valid HTTP.
class ScriptedServer {
 public:
  /// Number of an accepted connection, from 1.
  using ConnectionId = int;
  /// Called with each request up to the end of its head; returns the bytes of
  /// the answer.
  using Script =
      std::function<std::string(ConnectionId, std::string_view request)>;

  ScriptedServer(EventLoop& loop, Script script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  const std::string& address() const { return address_; }
  /// Sends bytes on an open connection.
  void Send(ConnectionId connection, std::string_view bytes);
  /// From now on sends these bytes on the connection again and again, as fast
  /// as they are read, until the peer closes it.
  void SendWithoutEnd(ConnectionId connection, std::string bytes);
  /// Stops or resumes reading on all connections, present and future ones.
  void SetReading(bool reads);
  /// Closes the connection once all bytes are written.
  /// @param reset whether the peer gets an error after these bytes
  void CloseAfterWriting(ConnectionId connection, bool reset);
  /// Whether the connection was accepted and has not been closed.
  bool IsOpen(ConnectionId connection) const {
    return connections_.contains(connection);
  }
  size_t open() const { return connections_.size(); }
  int accepted() const { return last_; }
  /// Bytes that were written without end.
  size_t endless_bytes() const { return endless_bytes_; }
  /// Returns the value of a request's Request-Id field.
  static std::string RequestIdOf(std::string_view request);

 private:
  struct Connection;

  void Accept(int socket);
  void OnReadable(Connection& connection);
  void OnWritable(Connection& connection);

  EventLoop& loop_;
  Script script_;
  evconnlistener* listener_;
  std::string address_;
  ConnectionId last_ = 0;
  std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
  size_t endless_bytes_ = 0;
  bool reads_ = true;
};

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_SCRIPTED_SERVER_H_
