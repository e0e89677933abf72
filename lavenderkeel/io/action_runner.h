#ifndef LAVENDERKEEL_IO_ACTION_RUNNER_H_
#define LAVENDERKEEL_IO_ACTION_RUNNER_H_

#include <utility>
#include <variant>
#include <vector>

#include "lavenderkeel/action.h"

namespace lavenderkeel {

/// Executor of the actions of an outbox, until the outbox stays empty.
///
/// An action may cause further events, and these may cause further actions; the
/// outermost call executes all of them in order.
class ActionRunner {
 public:
  template <typename Visitor>
  void Run(Outbox& outbox, Visitor&& visitor) {
    if (std::exchange(running_, true)) {
      return;
    }
    for (std::vector<Action> actions = outbox.Take(); !actions.empty();
         actions = outbox.Take()) {
      for (Action& action : actions) {
        std::visit(visitor, action);
      }
    }
    running_ = false;
  }

 private:
  bool running_ = false;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_ACTION_RUNNER_H_
