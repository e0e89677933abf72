#ifndef LAVENDERKEEL_TEST_PROCESS_RELAY_H_
#define LAVENDERKEEL_TEST_PROCESS_RELAY_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/io/event_loop.h"

struct evconnlistener;
struct bufferevent;

namespace lavenderkeel::test {

/// TCP proxy that injects network faults into the connections that it forwards.
class Relay {
 public:
  explicit Relay(EventLoop& loop);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const std::string& address() const { return address_; }
  void set_target(const std::string& target) { target_ = target; }
  /// Stops forwarding on the open connections for good, without an error at
  /// either end. New connections work.
  void StallOpenConnections();
  /// Resets the open connections.
  void ResetOpenConnections();
  /// Delays bytes that are received from now on.
  void set_delay(Duration delay) { delay_ = delay; }
  /// Sets which directions are blocked. Bytes of a blocked direction are queued
  /// until it is unblocked; new connections are accepted but carry nothing in
  /// that direction.
  void SetBlocked(bool to_target, bool from_target);
  /// Sets how often an HTTP answer is sent a second time, when the next request
  /// on its connection has been forwarded: after each so many answers; zero:
  /// never.
  void set_repeat_period(int period) { repeat_period_ = period; }
  /// Makes the target seem to send bytes without end after each answer that is
  /// not cut, on all connections that it answers on from now on.
  void set_endless(bool endless) { endless_ = endless; }
  /// Sets how often bytes from the target end at some byte, by a close or a
  /// reset: after each so many receipts; zero: never.
  void set_cut_period(int period) { cut_period_ = period; }
  /// Sends an interim response before each HTTP answer.
  void set_interim(bool interim) { interim_ = interim; }
  /// Sets a function that is called with the bytes that go to the target.
  void set_on_forwarded(std::function<void(const std::string&)> on_forwarded) {
    on_forwarded_ = std::move(on_forwarded);
  }

 private:
  struct ConnectionPair;
  class AnswerRecorder;

  void Accept(int socket);
  void Forward(ConnectionPair& pair, bool to_target);
  /// Forwards queued bytes that are due and not blocked.
  void Flush();
  /// Writes bytes of the target to the client.
  void Return(ConnectionPair& pair, std::string bytes);
  static void SendEndless(ConnectionPair& pair);

  EventLoop& loop_;
  evconnlistener* listener_;
  std::string address_;
  std::string target_;
  std::vector<std::unique_ptr<ConnectionPair>> pairs_;
  SystemClock clock_;
  Duration delay_{};
  bool to_target_blocked_ = false;
  bool from_target_blocked_ = false;
  int repeat_period_ = 0;
  int answers_ = 0;
  bool endless_ = false;
  int cut_period_ = 0;
  int receipts_ = 0;
  bool interim_ = false;
  std::minstd_rand random_;
  std::function<void(const std::string&)> on_forwarded_;
};

}  // namespace lavenderkeel::test

#endif  // LAVENDERKEEL_TEST_PROCESS_RELAY_H_
