#ifndef LAVENDERKEEL_FORWARD_WORK_SIZE_H_
#define LAVENDERKEEL_FORWARD_WORK_SIZE_H_

#include <cstdint>

namespace lavenderkeel {

/// What a request asks of a model server, by estimate. Zero: nothing is known,
/// or it asks for none.
struct WorkSize {
  uint32_t prompt_tokens = 0;
  /// Events of the answer.
  uint32_t events = 0;

  friend bool operator==(const WorkSize&, const WorkSize&) = default;
};

/// One prompt that a server read.
struct PromptRead {
  uint32_t tokens = 0;
  /// From the sending to the first event, in milliseconds.
  double ms = 0;

  friend bool operator==(const PromptRead&, const PromptRead&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_WORK_SIZE_H_
