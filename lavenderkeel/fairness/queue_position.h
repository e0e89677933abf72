#ifndef LAVENDERKEEL_FAIRNESS_QUEUE_POSITION_H_
#define LAVENDERKEEL_FAIRNESS_QUEUE_POSITION_H_

#include <compare>
#include <string>
#include <utility>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/attempt.h"

namespace lavenderkeel {

/// Rank of a slot request; the smallest is served first.
struct RequestRank {
  int priority = 0;
  int route_priority = 0;

  friend auto operator<=>(const RequestRank&, const RequestRank&) = default;
};

/// Position of a waiting request among those of its team, and of its rank if
/// teams do not share the slots.
struct QueuePosition {
  RequestRank rank;
  bool late = false;
  /// At model servers `in_time_until`, or `due` if already late, plus the
  /// length penalty; at plain services newest first.
  TimePoint sort_time;
  /// The requesting entry and its attempt.
  std::pair<std::string, AttemptId> attempt;

  friend auto operator<=>(const QueuePosition&, const QueuePosition&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FAIRNESS_QUEUE_POSITION_H_
