#ifndef LAVENDERKEEL_RATES_TEAM_DEMAND_H_
#define LAVENDERKEEL_RATES_TEAM_DEMAND_H_

#include <cstdint>
#include <vector>

namespace lavenderkeel {

/// Units that the requests of a team on routes of one rank asked for, admitted
/// or not. Counted from an entry's start, and only while the team's rate is
/// short there.
struct TeamRankDemand {
  /// Hash of the team's name.
  uint64_t team = 0;
  /// Priority of the route.
  int rank = 0;
  double units = 0;

  friend bool operator==(const TeamRankDemand&,
                         const TeamRankDemand&) = default;
};

using DemandTotals = std::vector<TeamRankDemand>;

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RATES_TEAM_DEMAND_H_
