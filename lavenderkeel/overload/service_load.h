#ifndef LAVENDERKEEL_OVERLOAD_SERVICE_LOAD_H_
#define LAVENDERKEEL_OVERLOAD_SERVICE_LOAD_H_

#include <map>
#include <optional>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/overload/group_load.h"
#include "lavenderkeel/overload/slot_rank.h"

namespace lavenderkeel {

/// What is ahead of a request of some rank that arrives now.
struct QueueAhead {
  /// Requests that get their slots before it.
  double requests = 0;
  /// Late requests of the rank, which get theirs after it.
  double late = 0;
  /// Grants a second that reach the rank: all, less the arrivals of the more
  /// urgent ranks.
  double rank_rate = 0;
  /// Grants a second of all ranks.
  double total_rate = 0;
  /// Growth a second of the queue up to the rank.
  double growth = 0;
  /// Age of the oldest report that this is based on.
  Duration report_age{};

  friend bool operator==(const QueueAhead&, const QueueAhead&) = default;
};

/// Load of one service over all of its groups, and the slot requests that this
/// entry sent since the reports. The cost of Predict grows with the number of
/// ranks only.
class ServiceLoad {
 public:
  struct Options {
    /// Older reports count as no data; the slot requests go to another
    /// scheduler by then, see SlotRouter.
    Duration max_report_age = std::chrono::milliseconds(400);
    /// With fewer grants in the last second the rate is not known: a third of
    /// ten is their usual deviation.
    uint64_t min_grants = 10;
  };

  explicit ServiceLoad(const Options& options) : options_(options) {}

  void OnReport(const std::string& scheduler,
                const SlotGroupReport& report,
                TimePoint now);
  /// Records a slot request of this entry.
  /// @param late whether it can no longer be in time
  void OnSlotRequest(const SlotRank& rank, bool late);
  /// Returns what is ahead of a request that arrives now; nothing if a slot is
  /// free or the load is not known.
  std::optional<QueueAhead> Predict(const SlotRank& rank, TimePoint now) const;
  /// Returns the fraction of the slot requests of all entries that are this
  /// entry's.
  double own_share() const { return own_share_; }
  /// Returns whether no group was reported for so long that none exists.
  bool IsUnused(TimePoint now) const;

 private:
  struct Sent {
    double in_time = 0;
    double late = 0;
  };

  void UpdateSums(TimePoint now);

  Options options_;
  std::map<SlotGroup, GroupLoad> groups_;
  /// Sums over all groups.
  std::map<SlotRank, RankRates> ranks_;
  TimePoint oldest_report_;
  uint64_t grants_seen_ = 0;
  bool has_free_slots_ = true;
  bool all_have_ranks_ = false;
  /// Slot requests of this entry that the reports don't show yet.
  std::map<SlotRank, Sent> sent_;
  /// Slot requests of this entry, as a moving rate.
  double own_rate_ = 0;
  int sent_since_rate_ = 0;
  TimePoint own_rate_at_;
  double own_share_ = 1;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_OVERLOAD_SERVICE_LOAD_H_
