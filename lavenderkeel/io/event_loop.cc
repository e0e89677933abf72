#include "lavenderkeel/io/event_loop.h"

#include <event2/event.h>

#include <utility>

namespace lavenderkeel {

namespace {

timeval ToTimeval(Duration duration) {
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  return {.tv_sec = duration.count() / kMicrosecondsPerSecond,
          .tv_usec = duration.count() % kMicrosecondsPerSecond};
}

}  // namespace

struct EventLoop::Watch {
  explicit Watch(Task task_in) : task(std::move(task_in)) {}
  ~Watch() {
    if (handle != nullptr) {
      event_free(handle);
    }
  }
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  static void Fire(evutil_socket_t, short, void* self) {
    static_cast<Watch*>(self)->task();
  }

  Task task;
  event* handle = nullptr;
};

EventLoop::EventLoop() : base_(event_base_new()) {
  deferral_ = std::make_unique<Watch>([this] {
    std::vector<Task> tasks;
    tasks.swap(deferred_);
    for (const Task& task : tasks) {
      task();
    }
  });
  deferral_->handle = evtimer_new(base_, Watch::Fire, deferral_.get());
}

EventLoop::~EventLoop() {
  deferral_.reset();
  watches_.clear();
  event_base_free(base_);
}

void EventLoop::Run() {
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::Stop() {
  event_base_loopbreak(base_);
}

void EventLoop::Every(Duration period, Task task) {
  auto watch = std::make_unique<Watch>(std::move(task));
  watch->handle = event_new(base_, -1, EV_PERSIST, Watch::Fire, watch.get());
  const timeval interval = ToTimeval(period);
  event_add(watch->handle, &interval);
  watches_.push_back(std::move(watch));
}

void EventLoop::OnSignal(int signal, Task task) {
  auto watch = std::make_unique<Watch>(std::move(task));
  watch->handle = evsignal_new(base_, signal, Watch::Fire, watch.get());
  event_add(watch->handle, nullptr);
  watches_.push_back(std::move(watch));
}

void EventLoop::Defer(Task task) {
  deferred_.push_back(std::move(task));
  const timeval now = {};
  event_add(deferral_->handle, &now);
}

}  // namespace lavenderkeel
