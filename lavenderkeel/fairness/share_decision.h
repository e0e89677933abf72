#ifndef LAVENDERKEEL_FAIRNESS_SHARE_DECISION_H_
#define LAVENDERKEEL_FAIRNESS_SHARE_DECISION_H_

#include <cstdint>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/fairness/granted_work.h"
#include "lavenderkeel/fairness/queue_position.h"
#include "lavenderkeel/fairness/slot_queue.h"
#include "lavenderkeel/fairness/team_work.h"

namespace lavenderkeel {

/// A request left the queue of a group of servers, and what decided on it.
struct ShareDecision {
  /// Whether it was granted a slot; otherwise the entry withdrew it.
  bool granted = false;
  std::string service;
  QueuePosition position;
  TeamWork work;
  Duration waited{};
  SlotQueue::TeamState state;
  /// Work granted to the rank before.
  GrantedWork::Summary recent;

  friend bool operator==(const ShareDecision&, const ShareDecision&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FAIRNESS_SHARE_DECISION_H_
