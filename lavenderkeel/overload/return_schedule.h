#ifndef LAVENDERKEEL_OVERLOAD_RETURN_SCHEDULE_H_
#define LAVENDERKEEL_OVERLOAD_RETURN_SCHEDULE_H_

#include <cstdint>
#include <deque>
#include <map>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/overload/slot_rank.h"

namespace lavenderkeel {

/// Schedule of the times at which refused clients of one service were told to
/// come back, in steps of 100 ms.
///
/// A step takes as many promises as its capacity. Promises of a rank leave room
/// for those of more urgent ranks, which return first. Size is bounded by the
/// horizon and by the number of ranks.
class ReturnSchedule {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(100);

  struct Query {
    SlotRank rank;
    /// The return is to lie between these times from now.
    Duration earliest{};
    Duration latest{};
    /// Returns a second that can be served.
    double capacity = 0;
    /// Chooses among equal steps if none has capacity left, and the time within
    /// the step.
    uint64_t hash = 0;
  };

  /// Records a promise.
  /// @return time from now; at most `latest`
  Duration Promise(const Query& query, TimePoint now);
  /// Returns the promised returns that are not over yet.
  int promised(TimePoint now) const;

 private:
  using Steps = std::deque<std::map<SlotRank, int>>;

  static int64_t StepOf(TimePoint time) {
    return time.time_since_epoch() / kStep;
  }
  /// Drops the steps that are over.
  void DropOld(TimePoint now);
  /// Returns the promises of a step to this and more urgent ranks.
  int Load(int64_t step, const SlotRank& rank) const;

  /// Index of the first step in `steps_`.
  int64_t first_step_ = 0;
  Steps steps_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_OVERLOAD_RETURN_SCHEDULE_H_
