#ifndef LAVENDERKEEL_TEST_SOAK_CLIENT_H_
#define LAVENDERKEEL_TEST_SOAK_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "lavenderkeel/http.h"
#include "lavenderkeel/io/event_loop.h"

struct bufferevent;

namespace lavenderkeel::soak {

/// Sizes and pace of a request.
struct RequestShape {
  size_t head_bytes = 0;
  size_t body_bytes = 0;
  /// Size of the answer if it is no stream; zero: as the server has it.
  size_t answer_bytes = 0;
  /// Pause in the middle of the head.
  Duration head_pause{};
  /// Time in which the client reads nothing.
  Duration read_pause{};
};

/// A request and what its client received.
struct RequestRecord {
  std::string id;
  /// "stream", "once", "lookup", or the route of one configuration version.
  std::string route;
  RequestShape shape;
  /// Id of the last event that an earlier attempt had received.
  int resumed_after_event = 0;
  TimePoint sent;
  TimePoint ended;
  /// Unset if the connection ended before the complete answer.
  std::optional<int> status;
  HttpFields fields;
  std::string body;
  /// Whether the head of the answer was received.
  bool got_head = false;
};

/// HTTP client that sends one request at a time on a persistent connection,
/// which it keeps until the other side closes it.
class Client {
 public:
  using OnRequestDone = std::function<void(const RequestRecord&)>;

  /// @param address returns the address for a new connection; empty: none
  Client(EventLoop& loop,
         std::function<std::string()> address,
         OnRequestDone on_request_done);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool busy() const { return busy_; }
  bool CanSend() const { return connection_ != nullptr || !address_().empty(); }
  /// @param prompt value of the field Prompt-Prefix
  void Send(const std::string& id,
            const std::string& route,
            const std::string& prompt,
            const RequestShape& shape);
  /// Goes on after a pause. Ends a request that has no answer within the
  /// request timeout.
  void Tick();

 private:
  void Connect();
  void OnReadable();
  void OnConnectionEnded(bool orderly);
  void Finish(bool complete);
  void CloseConnection();

  EventLoop& loop_;
  SystemClock clock_;
  std::function<std::string()> address_;
  OnRequestDone on_request_done_;
  bufferevent* connection_ = nullptr;
  bool busy_ = false;
  RequestRecord record_;
  /// What is sent after the pause in the head.
  std::string rest_;
  ResponseReader reader_;
};

}  // namespace lavenderkeel::soak

#endif  // LAVENDERKEEL_TEST_SOAK_CLIENT_H_
