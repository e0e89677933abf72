#ifndef LAVENDERKEEL_MEMBERSHIP_COORDINATORS_H_
#define LAVENDERKEEL_MEMBERSHIP_COORDINATORS_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/membership/instance_info.h"

namespace lavenderkeel {

/// Which entries of a fleet the others report to.
///
/// Load it answers: where every entry reports to every other, 103 of them send
/// 105,000 reports a second, and each of a tenth of a core spends more on the
/// others than on its clients. With some coordinators that hear of all and tell
/// all, an entry's reports are as many as there are coordinators, however large
/// the fleet is.
struct CoordinatorRules {
  /// More speed nothing up: there are fewer groups of servers than that, and a
  /// group has its gate at one of them.
  size_t most = 16;
  /// The loss of two at a time must leave some that everybody is connected to.
  size_t fewest = 4;
  /// Beyond the square root of the number of entries so many more are chosen at
  /// most. Each reads the store and hears of all: with 18 equal entries before
  /// 30 servers 16 coordinators made as many calls to the store as all.
  size_t beyond_root = 2;
  /// An entry with less than this part of the largest processor share is one
  /// only where there are too few others: a coordinator's work grows with the
  /// fleet, and every entry gets the same part of the clients, so what is left
  /// of a large share is idle.
  double least_part_of_share = 0.5;

  friend bool operator==(const CoordinatorRules&,
                         const CoordinatorRules&) = default;
};

/// The names of the coordinators among the entries, which lists no name twice.
/// Entries that know of the same others choose the same ones; a join or a leave
/// changes one at most.
std::set<std::string> ChooseCoordinators(const std::vector<InstanceInfo>& all,
                                         const CoordinatorRules& rules);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_COORDINATORS_H_
