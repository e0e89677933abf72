#ifndef LAVENDERKEEL_ACTION_OUTBOX_H_
#define LAVENDERKEEL_ACTION_OUTBOX_H_

#include <utility>
#include <vector>

#include "lavenderkeel/action/action.h"

namespace lavenderkeel {

/// The pending actions of one process's components, in order.
///
/// The driver of the components (daemon, fuzzer, benchmark) takes the actions
/// after each event and executes them.
class Outbox {
 public:
  void Push(Action action) { actions_.push_back(std::move(action)); }

  void Send(LinkId link, Message message) {
    actions_.push_back(
        SendMessage{.link = link, .message = std::move(message)});
  }

  std::vector<Action> Take() { return std::exchange(actions_, {}); }

 private:
  std::vector<Action> actions_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ACTION_OUTBOX_H_
