#ifndef LAVENDERKEEL_TEST_SOAK_CLIENT_H_
#define LAVENDERKEEL_TEST_SOAK_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "lavenderkeel/http.h"
#include "lavenderkeel/io/event_loop.h"

struct bufferevent;

namespace lavenderkeel::soak {

/// One request as its client saw it.
struct Seen {
  std::string id;
  /// stream, once, lookup, or a route of one configuration version.
  std::string route;
  /// The id of the last event it had already.
  int resumed_behind = 0;
  TimePoint sent;
  TimePoint ended;
  /// Nothing if the connection ended without a whole answer.
  std::optional<int> status;
  HttpFields fields;
  std::string body;
  /// What came before the connection ended.
  bool got_head = false;
};

/// Sends one request after another on a connection that it keeps open until
/// the other side ends it.
class Client {
 public:
  using OnSeen = std::function<void(const Seen&)>;

  Client(EventLoop& loop, std::string address, OnSeen on_seen);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool busy() const { return busy_; }
  void Send(const std::string& id, const std::string& route);
  /// Gives a request up that has no answer long after its time.
  void Tick();

 private:
  void Connect();
  void OnReadable();
  void OnEnded(bool in_order);
  void Finish(bool whole);
  void Drop();

  EventLoop& loop_;
  SystemClock clock_;
  std::string address_;
  OnSeen on_seen_;
  bufferevent* events_ = nullptr;
  bool busy_ = false;
  Seen seen_;
  ResponseReader reader_;
};

}  // namespace lavenderkeel::soak

#endif  // LAVENDERKEEL_TEST_SOAK_CLIENT_H_
