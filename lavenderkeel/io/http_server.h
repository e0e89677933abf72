#ifndef LAVENDERKEEL_IO_HTTP_SERVER_H_
#define LAVENDERKEEL_IO_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "lavenderkeel/action/action.h"
#include "lavenderkeel/io/event_loop.h"

struct evhttp;
struct evhttp_connection;
struct evhttp_request;
struct evhttp_bound_socket;

namespace lavenderkeel {

/// A request as parsed by the HTTP library.
struct HttpRequest {
  CallerId id = 0;
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::function<std::optional<std::string>(const char* name)> header;
};

/// HTTP/1.1 server over evhttp.
class HttpServer {
 public:
  struct Options {
    /// A request with a larger body is rejected without a call of on_request.
    size_t max_body_bytes = size_t{4} << 20;
    size_t max_header_bytes = size_t{16} << 10;
    /// Time without a byte in either direction after which a connection is
    /// closed.
    int idle_seconds = 60;
  };
  using OnRequest = std::function<void(const HttpRequest&)>;
  using OnCaller = std::function<void(CallerId)>;

  struct Hooks {
    OnRequest on_request;
    /// Everything written so far has been sent to the caller's connection.
    OnCaller on_drained;
    /// The caller closed the connection before its answer ended.
    OnCaller on_gone;
    /// The body is too large; on_request is not called.
    OnCaller on_too_large;
  };

  HttpServer(EventLoop& loop, Options options, Hooks hooks);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return the bound address, or nothing on failure
  std::optional<std::string> Listen(const std::string& address);
  /// Stops accepting connections.
  void StopListening();

  void Handle(ReplyComplete reply);
  void Handle(const ReplyHead& reply);
  void Handle(const ReplyChunk& reply);
  void Handle(const ReplyEnd& reply);
  void Handle(const ReplyAbort& reply);

  /// Returns the number of exchanges whose answer is not fully written.
  size_t open() const { return exchanges_.size(); }

 private:
  struct Exchange;

  void OnHttp(evhttp_request* request);
  void OnClosed(CallerId id);
  /// Marks the answer as complete; the exchange stays until everything is
  /// written.
  void Finish(Exchange& exchange);
  /// Ends the exchange and stops watching its connection.
  /// @return the connection; null if the exchange has already ended
  evhttp_connection* Release(CallerId id);
  /// Ends an aborted exchange and its connection, unless the connection broke
  /// before.
  void CloseAborted(CallerId id);
  Exchange* FindOpen(CallerId id);

  EventLoop& loop_;
  Options options_;
  Hooks hooks_;
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  CallerId last_ = 0;
  std::unordered_map<CallerId, std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_HTTP_SERVER_H_
