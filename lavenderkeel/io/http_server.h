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

/// A request as the HTTP library read it.
struct HttpRequest {
  CallerId id = 0;
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::function<std::optional<std::string>(const char* name)> header;
};

/// HTTP/1.1 over evhttp.
class HttpServer {
 public:
  struct Options {
    /// Above this the request is refused before it is handed out.
    size_t max_body_bytes = size_t{4} << 20;
    size_t max_header_bytes = size_t{16} << 10;
    /// Without a byte either way, a connection is closed after this.
    int idle_seconds = 60;
  };
  using OnRequest = std::function<void(const HttpRequest&)>;
  using OnCaller = std::function<void(CallerId)>;

  struct Hooks {
    OnRequest on_request;
    /// The caller's connection has taken all that was written.
    OnCaller on_drained;
    /// The caller went away before its answer ended.
    OnCaller on_gone;
    /// The body is too large; the request is not handed out.
    OnCaller on_too_large;
  };

  HttpServer(EventLoop& loop, Options options, Hooks hooks);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return the address bound, or nothing
  std::optional<std::string> Listen(const std::string& address);
  /// Takes no new connections.
  void StopListening();

  void Handle(ReplyWhole reply);
  void Handle(const ReplyHead& reply);
  void Handle(const ReplyData& reply);
  void Handle(const ReplyEnd& reply);
  void Handle(const ReplyAbort& reply);

  /// Exchanges whose answer has not left this process whole.
  size_t open() const { return exchanges_.size(); }

 private:
  struct Exchange;

  void OnHttp(evhttp_request* request);
  void OnClosed(CallerId id);
  /// No more replies follow; the exchange stays until all is written.
  void Finish(Exchange& exchange);
  /// Ends the exchange; its connection reports nothing more here.
  /// @return the connection; null if the exchange has ended before
  evhttp_connection* Release(CallerId id);
  /// Ends an aborted exchange with its connection, unless that broke before.
  void CloseAborted(CallerId id);
  Exchange* Find(CallerId id);

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
