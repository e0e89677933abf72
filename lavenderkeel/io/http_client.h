#ifndef LAVENDERKEEL_IO_HTTP_CLIENT_H_
#define LAVENDERKEEL_IO_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/action/action.h"
#include "lavenderkeel/io/event_loop.h"

namespace lavenderkeel {

/// Outcome of a client call.
struct HttpResult {
  enum class Kind {
    kAnswered,
    /// No connection was established, so no byte of the request was sent.
    kNotSent,
    /// The connection ended before the end of the answer, the bytes are none,
    /// or the answer did not arrive in time.
    kNoAnswer,
    /// The answer is larger than the call allows.
    kTooLarge,
  };

  Kind kind = Kind::kNoAnswer;
  int status = 0;
  std::string etag;
  std::string content_type;
  /// Values of the Retry-After fields, in order.
  std::vector<std::string> retry_after;
  std::string body;
};

/// HTTP client with the strict parsing of the module http. Each call has its
/// own connection, so that calls to an unresponsive server don't delay others.
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
    /// For the whole call.
    Duration timeout = std::chrono::seconds(5);
    size_t max_body_bytes = size_t{16} << 20;
    /// Receives a streamed answer; the body of the result is empty then.
    OnData on_data;
    OnDone on_done;
  };

  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  CallId Start(Call call);
  /// Closes the connection; neither hook is called afterwards.
  void Cancel(CallId id);

 private:
  struct Pending;

  /// @return false if no connection can be established
  bool Connect(Pending& pending);
  void OnEvent(Pending& pending, short what);
  void OnReadable(Pending& pending);
  /// Handles what was parsed of the answer.
  void OnParsed(Pending& pending);
  void FinishWithAnswer(Pending& pending);
  /// Ends a call without an answer; one that was not sent is reported as such.
  void Fail(Pending& pending, HttpResult::Kind kind);
  void Finish(Pending& pending, HttpResult result);

  EventLoop& loop_;
  CallId last_ = 0;
  std::unordered_map<CallId, std::unique_ptr<Pending>> pending_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_HTTP_CLIENT_H_
