#ifndef LAVENDERKEEL_FORWARD_TEAM_DEMAND_H_
#define LAVENDERKEEL_FORWARD_TEAM_DEMAND_H_

#include <cstdint>
#include <vector>

namespace lavenderkeel {

/// Units that the requests of a team on routes of one rank asked for since an
/// entry's start, admitted or not.
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

#endif  // LAVENDERKEEL_FORWARD_TEAM_DEMAND_H_
