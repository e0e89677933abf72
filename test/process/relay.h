#ifndef LAVENDERKEEL_TEST_PROCESS_RELAY_H_
#define LAVENDERKEEL_TEST_PROCESS_RELAY_H_

#include <memory>
#include <string>
#include <vector>

#include "lavenderkeel/io/event_loop.h"

struct evconnlistener;
struct bufferevent;

namespace lavenderkeel::test {

/// Forwards TCP connections until told to forget the open ones: those go
/// silent for good, with no error at either end, while new ones work.
class Relay {
 public:
  explicit Relay(EventLoop& loop);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const std::string& address() const { return address_; }
  void set_target(const std::string& target) { target_ = target; }
  void ForgetOpen();

 private:
  struct Pair;

  void Accept(int socket);

  EventLoop& loop_;
  evconnlistener* listener_;
  std::string address_;
  std::string target_;
  std::vector<std::unique_ptr<Pair>> pairs_;
};

}  // namespace lavenderkeel::test

#endif  // LAVENDERKEEL_TEST_PROCESS_RELAY_H_
