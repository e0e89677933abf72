#ifndef LAVENDERKEEL_IO_EVENT_LOOP_H_
#define LAVENDERKEEL_IO_EVENT_LOOP_H_

#include <functional>
#include <memory>
#include <vector>

#include "lavenderkeel/base/clock.h"

struct event_base;
struct event;

namespace lavenderkeel {

/// Event loop of a process, over libevent.
class EventLoop {
 public:
  using Task = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* base() const { return base_; }

  void Run();
  void Stop();
  /// Calls the task every period until the loop ends.
  void Every(Duration period, Task task);
  void OnSignal(int signal, Task task);
  /// Calls the task once, after the current event is handled, when the library
  /// up the stack no longer uses what the task frees.
  void Defer(Task task);

 private:
  struct Watch;

  event_base* base_;
  std::vector<std::unique_ptr<Watch>> watches_;
  std::vector<Task> deferred_;
  std::unique_ptr<Watch> deferral_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_EVENT_LOOP_H_
