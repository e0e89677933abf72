#ifndef LAVENDERKEEL_EVIDENCE_NOT_RUN_STATUS_H_
#define LAVENDERKEEL_EVIDENCE_NOT_RUN_STATUS_H_

#include <algorithm>
#include <array>

namespace lavenderkeel {

/// Returns whether the HTTP status tells a caller that its request did not run
/// and never will, so that it may be sent again.
constexpr bool StatesNotRun(int status) {
  constexpr std::array<int, 4> kStatuses = {408, 421, 429, 503};
  return std::ranges::find(kStatuses, status) != kStatuses.end();
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_EVIDENCE_NOT_RUN_STATUS_H_
