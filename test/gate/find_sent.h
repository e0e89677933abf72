#ifndef LAVENDERKEEL_TEST_GATE_FIND_SENT_H_
#define LAVENDERKEEL_TEST_GATE_FIND_SENT_H_

#include <variant>
#include <vector>

#include "lavenderkeel/gate.h"

namespace lavenderkeel {

/// Returns the first message of type T that is sent on the link, or null.
template <typename T>
const T* FindSent(const std::vector<Action>& actions, LinkId link) {
  for (const Action& action : actions) {
    const auto* send = std::get_if<SendMessage>(&action);
    if (send != nullptr && send->link == link) {
      if (const T* message = std::get_if<T>(&send->message)) {
        return message;
      }
    }
  }
  return nullptr;
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_GATE_FIND_SENT_H_
