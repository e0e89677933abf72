#ifndef LAVENDERKEEL_OVERLOAD_GROUP_LOAD_H_
#define LAVENDERKEEL_OVERLOAD_GROUP_LOAD_H_

#include <deque>
#include <map>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/overload/slot_rank.h"

namespace lavenderkeel {

/// Queue of one rank, and the rates at which it changed while the slots were
/// full.
struct RankRates {
  /// Requests that can still be in time.
  double in_time = 0;
  /// Requests that can't, which go behind the others of their rank.
  double late = 0;
  double granted_per_second = 0;
  /// Growth of the queue, of its requests in time and of all.
  double in_time_growth_per_second = 0;
  double growth_per_second = 0;

  RankRates& operator+=(const RankRates& other) {
    in_time += other.in_time;
    late += other.late;
    granted_per_second += other.granted_per_second;
    in_time_growth_per_second += other.in_time_growth_per_second;
    growth_per_second += other.growth_per_second;
    return *this;
  }
  friend bool operator==(const RankRates&, const RankRates&) = default;
};

/// Recent load of one group of servers by the reports of its scheduler.
///
/// Rates are taken only between reports that both show waiting requests. At
/// other times grants follow the arrivals and say nothing about the capacity.
class GroupLoad {
 public:
  /// Only reports of this time are kept.
  static constexpr Duration kWindow = std::chrono::seconds(1);

  /// @param scheduler the entry that reports; another one counts its grants
  ///     anew
  void OnReport(const std::string& scheduler,
                const SlotGroupReport& report,
                TimePoint now);

  TimePoint reported_at() const { return reports_.back().at; }
  int free() const { return reports_.back().report.free; }
  int waiting() const { return reports_.back().report.waiting; }
  /// Returns whether the scheduler reports its queues by rank.
  bool has_ranks() const { return !reports_.back().report.ranks.empty(); }
  /// Returns the grants that the rates are taken from.
  uint64_t grants_seen() const { return grants_seen_; }
  const std::map<SlotRank, RankRates>& ranks() const { return ranks_; }

 private:
  struct Report {
    TimePoint at;
    SlotGroupReport report;
  };

  void UpdateRates();

  std::string scheduler_;
  std::deque<Report> reports_;
  std::map<SlotRank, RankRates> ranks_;
  uint64_t grants_seen_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_OVERLOAD_GROUP_LOAD_H_
