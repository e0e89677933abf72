#ifndef LAVENDERKEEL_TEST_PROCESS_RELAY_H_
#define LAVENDERKEEL_TEST_PROCESS_RELAY_H_

#include <memory>
#include <string>
#include <vector>

#include "lavenderkeel/io/event_loop.h"

struct evconnlistener;
struct bufferevent;

namespace lavenderkeel::test {

/// Forwards TCP connections and harms them when told to.
class Relay {
 public:
  explicit Relay(EventLoop& loop);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const std::string& address() const { return address_; }
  void set_target(const std::string& target) { target_ = target; }
  /// The open connections go silent for good, with no error at either end,
  /// while new ones work.
  void ForgetOpen();
  /// Resets the open connections.
  void ResetOpen();
  /// Bytes that come from now on are held up for this time.
  void set_delay(Duration delay) { delay_ = delay; }
  /// Bytes of one direction, or of both, are held back until it is let go;
  /// new connections come about but carry nothing that way.
  void Hold(bool to_target, bool from_target);

 private:
  struct Pair;

  void Accept(int socket);
  void Forward(Pair& pair, bool to_target);
  /// Passes on what was held up for long enough.
  void Flush();

  EventLoop& loop_;
  evconnlistener* listener_;
  std::string address_;
  std::string target_;
  std::vector<std::unique_ptr<Pair>> pairs_;
  SystemClock clock_;
  Duration delay_{};
  bool hold_to_ = false;
  bool hold_from_ = false;
};

}  // namespace lavenderkeel::test

#endif  // LAVENDERKEEL_TEST_PROCESS_RELAY_H_
