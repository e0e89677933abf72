#ifndef LAVENDERKEEL_PACE_LEAST_URGENT_RANK_H_
#define LAVENDERKEEL_PACE_LEAST_URGENT_RANK_H_

#include <utility>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// The least urgent rank among the recent requests of a service; its requests
/// are used as probes.
class LeastUrgentRank {
 public:
  /// Priority of the team or route, then of the route.
  using Rank = std::pair<int, int>;

  void OnRequest(const Rank& rank, TimePoint now) {
    if (rank >= rank_ || now - seen_at_ > kPeriod) {
      rank_ = rank;
      seen_at_ = now;
    }
  }
  /// Returns whether no less urgent request came recently.
  bool Contains(const Rank& rank, TimePoint now) const {
    return rank >= rank_ || now - seen_at_ > kPeriod;
  }

 private:
  /// Twice the probe period: while the rank has a request in each period, more
  /// urgent ones are not used.
  static constexpr Duration kPeriod = std::chrono::seconds(1);

  Rank rank_;
  TimePoint seen_at_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_PACE_LEAST_URGENT_RANK_H_
