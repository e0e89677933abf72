#ifndef LAVENDERKEEL_IO_ACTION_RUNNER_H_
#define LAVENDERKEEL_IO_ACTION_RUNNER_H_

#include <utility>
#include <variant>
#include <vector>

#include "lavenderkeel/action.h"

namespace lavenderkeel {

/// Carries out the actions of an outbox until it stays empty.
///
/// An action may lead to further events, and those to further actions; they
/// are run in order by the outermost call.
class ActionRunner {
 public:
  template <typename Carry>
  void Run(Outbox& outbox, Carry&& carry) {
    if (std::exchange(running_, true)) {
      return;
    }
    for (std::vector<Action> actions = outbox.Take(); !actions.empty();
         actions = outbox.Take()) {
      for (Action& action : actions) {
        std::visit(carry, action);
      }
    }
    running_ = false;
  }

 private:
  bool running_ = false;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_ACTION_RUNNER_H_
