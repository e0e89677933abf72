#ifndef LAVENDERKEEL_IO_HTTP_CLIENT_H_
#define LAVENDERKEEL_IO_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "lavenderkeel/action/action.h"
#include "lavenderkeel/io/event_loop.h"

struct evhttp_request;

namespace lavenderkeel {

/// How a client call ended.
struct HttpResult {
  enum class Kind {
    kAnswered,
    /// No connection came about, so the request was not sent.
    kNotSent,
    /// The connection broke or the answer did not come in time.
    kNoAnswer,
  };

  Kind kind = Kind::kNoAnswer;
  int status = 0;
  std::string etag;
  std::string content_type;
  std::string body;
};

/// Client calls over evhttp, each on a connection of its own: what hangs on a
/// silent one does not hold up the next.
class HttpClient {
 public:
  using CallId = uint64_t;
  using OnData = std::function<void(std::string_view bytes)>;
  using OnDone = std::function<void(const HttpResult&)>;

  struct Call {
    std::string address;
    std::string method = "GET";
    std::string path;
    HttpHeaders headers;
    std::string body;
    Duration timeout = std::chrono::seconds(5);
    /// Set for a streamed answer; the result's body stays empty then.
    OnData on_data;
    OnDone on_done;
  };

  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  CallId Start(Call call);
  /// Drops the connection; neither hook is called any more.
  void Cancel(CallId id);

 private:
  struct Pending;

  void OnDoneInLibrary(Pending& pending, evhttp_request* request);

  EventLoop& loop_;
  CallId last_ = 0;
  std::unordered_map<CallId, std::unique_ptr<Pending>> pending_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_HTTP_CLIENT_H_
