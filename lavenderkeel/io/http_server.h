#ifndef LAVENDERKEEL_IO_HTTP_SERVER_H_
#define LAVENDERKEEL_IO_HTTP_SERVER_H_

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include "lavenderkeel/action/action.h"
#include "lavenderkeel/io/client_port.h"
#include "lavenderkeel/io/event_loop.h"

namespace lavenderkeel {

/// A request of a caller, an operator or a peer of a test.
struct HttpRequest {
  CallerId id = 0;
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::function<std::optional<std::string>(const char* name)> header;
  /// What is held for the request.
  std::shared_ptr<MemoryCharge> memory;
};

/// HTTP/1.1 server for requests that are handled as a whole, over ClientPort.
class HttpServer {
 public:
  struct Options {
    /// Name of the port in logs and metrics.
    std::string name = "callers";
    /// A request with a larger body is rejected.
    size_t max_body_bytes = size_t{4} << 20;
    size_t max_header_bytes = size_t{16} << 10;
    /// Time in which the head of a request arrives.
    Duration head_time = std::chrono::seconds(10);
    /// Time in which the body of a request arrives, and after which a
    /// connection without a request is closed.
    Duration idle_time = std::chrono::seconds(60);
    size_t max_connections = std::numeric_limits<size_t>::max();
  };
  using OnCaller = std::function<void(CallerId)>;

  struct Hooks {
    std::function<void(const HttpRequest&)> on_request;
    /// Everything written so far has been sent to the caller's connection.
    OnCaller on_drained;
    /// The caller closed the connection before its answer ended.
    OnCaller on_gone;
    /// The request is refused unread; the body of the argument is empty. Empty:
    /// the answer is the status of the code.
    std::function<void(const HttpRequest&, ResultCode)> on_refused = {};
    /// Decides whether the body of a request is read; empty: always.
    std::function<ClientPort::HeadDecision(const HttpRequest&)> check_head = {};
    std::function<void(const ClientLimitEvent&)> on_limit = {};
  };

  /// @param bodies shared by all ports of the process
  HttpServer(EventLoop& loop,
             Options options,
             const Clock& clock,
             BodyMemory& bodies,
             Hooks hooks);
  /// With a memory of its own.
  HttpServer(EventLoop& loop, Options options, Hooks hooks);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return the bound address, or nothing on failure
  std::optional<std::string> Listen(const std::string& address) {
    return port_->Listen(address);
  }
  /// Closes connections that are idle or slow for too long.
  void Tick();
  /// Stops accepting connections.
  void StopListening() { port_->StopListening(); }

  void Handle(ReplyComplete reply);
  void Handle(const ReplyHead& reply);
  void Handle(const ReplyChunk& reply);
  void Handle(const ReplyEnd& reply);
  void Handle(const ReplyAbort& reply);

  /// Returns the number of exchanges whose answer is not fully written.
  size_t open() const { return port_->unanswered(); }
  size_t connections() const { return port_->connections(); }

 private:
  struct OwnMemory;

  HttpServer(EventLoop& loop,
             Options options,
             std::unique_ptr<OwnMemory> memory,
             Hooks hooks);
  void OnRequest(CallerId id,
                 RequestHead head,
                 std::string body,
                 MemoryCharge memory);

  Options options_;
  Hooks hooks_;
  std::unique_ptr<OwnMemory> own_memory_;
  std::unique_ptr<ClientPort> port_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_HTTP_SERVER_H_
