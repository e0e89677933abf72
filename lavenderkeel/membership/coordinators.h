#ifndef LAVENDERKEEL_MEMBERSHIP_COORDINATORS_H_
#define LAVENDERKEEL_MEMBERSHIP_COORDINATORS_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/membership/instance_info.h"

namespace lavenderkeel {

/// Rules for choosing the coordinators, the entries that all others report to.
///
/// If every entry reported to every other, 103 entries would send 105,000
/// reports per second, and an entry with a tenth of a core would spend more on
/// the other entries than on its clients. With some coordinators that collect
/// the reports of all and pass them on to all, an entry sends as many reports
/// as there are coordinators, however large the fleet is.
struct CoordinatorRules {
  /// More coordinators bring no speed-up: there are fewer groups of servers
  /// than this maximum, and each group has its slot scheduler at one
  /// coordinator.
  size_t max = 16;
  /// The loss of two at a time must leave some that all entries are connected
  /// to.
  size_t min = 4;
  /// Maximum number of coordinators beyond the square root of the number of
  /// entries. Each coordinator reads the store and receives the reports of all:
  /// in front of 30 servers, 16 coordinators among 18 equal entries made as
  /// many calls to the store as all 18.
  size_t max_beyond_root = 2;
  /// An entry with less than this fraction of the largest processor share is
  /// chosen only if there are too few others: the work of a coordinator grows
  /// with the fleet, and every entry gets the same fraction of the clients, so
  /// the rest of a large share is idle.
  double min_share_fraction = 0.5;

  friend bool operator==(const CoordinatorRules&,
                         const CoordinatorRules&) = default;
};

/// Returns the names of the coordinators among the entries, whose names must be
/// unique. Entries that know the same others choose the same coordinators; a
/// join or a leave changes at most one.
std::set<std::string> ChooseCoordinators(const std::vector<InstanceInfo>& all,
                                         const CoordinatorRules& rules);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_COORDINATORS_H_
