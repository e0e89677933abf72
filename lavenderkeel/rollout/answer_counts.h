#ifndef LAVENDERKEEL_ROLLOUT_ANSWER_COUNTS_H_
#define LAVENDERKEEL_ROLLOUT_ANSWER_COUNTS_H_

#include <cstdint>
#include <map>
#include <utility>

#include "lavenderkeel/rollout/rollout_plan.h"

namespace lavenderkeel {

/// Outcomes of first attempts at a version. Counts only grow.
struct AnswerCounts {
  /// Runs whose outcome was observed.
  uint32_t answered = 0;
  /// Of `answered`: answers that report a server failure.
  uint32_t failed = 0;
  /// Of `answered`: connections that ended before the answer was complete.
  uint32_t broken = 0;
  /// Latencies that were measured.
  uint32_t timed = 0;
  /// Of `timed`: much longer than at the baseline.
  uint32_t slow = 0;

  friend bool operator==(const AnswerCounts&, const AnswerCounts&) = default;

  /// Returns the increase since `former`; zero for a count that was reset.
  AnswerCounts Since(const AnswerCounts& former) const {
    const auto increase = [](uint32_t now, uint32_t before) {
      return now > before ? now - before : 0;
    };
    return {.answered = increase(answered, former.answered),
            .failed = increase(failed, former.failed),
            .broken = increase(broken, former.broken),
            .timed = increase(timed, former.timed),
            .slow = increase(slow, former.slow)};
  }
};

/// One entry's observations of a rollout since it received the order.
struct RolloutCounts {
  /// Hashes of a route and of a server.
  using RouteAndServer = std::pair<uint64_t, uint64_t>;

  uint64_t order = 0;
  /// Requests sent to the service, and those of them sent to the new version.
  uint32_t sent = 0;
  uint32_t sent_to_canary = 0;
  /// The phase that the entry applies.
  RolloutPhase follows = RolloutPhase::kCanary;
  /// The entry's requests that are running at the baseline.
  uint32_t running_at_baseline = 0;
  std::map<RouteAndServer, AnswerCounts> canary;
  /// By hash of the route.
  std::map<uint64_t, AnswerCounts> baseline;

  friend bool operator==(const RolloutCounts&, const RolloutCounts&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ROLLOUT_ANSWER_COUNTS_H_
