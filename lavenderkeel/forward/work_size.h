#ifndef LAVENDERKEEL_FORWARD_WORK_SIZE_H_
#define LAVENDERKEEL_FORWARD_WORK_SIZE_H_

#include <cstdint>

namespace lavenderkeel {

/// Estimated work of a request for a model server. A value is zero if it is
/// unknown or there is none.
struct WorkSize {
  uint32_t prompt_tokens = 0;
  /// Number of events of the answer.
  uint32_t events = 0;

  friend bool operator==(const WorkSize&, const WorkSize&) = default;
};

/// Measurement of one prompt that a server read.
struct PromptRead {
  uint32_t tokens = 0;
  /// Milliseconds from sending the request to the first event.
  double ms = 0;

  friend bool operator==(const PromptRead&, const PromptRead&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_WORK_SIZE_H_
