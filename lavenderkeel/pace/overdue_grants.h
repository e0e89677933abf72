#ifndef LAVENDERKEEL_PACE_OVERDUE_GRANTS_H_
#define LAVENDERKEEL_PACE_OVERDUE_GRANTS_H_

#include <algorithm>
#include <compare>
#include <cstddef>
#include <set>
#include <string>
#include <utility>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/attempt.h"

namespace lavenderkeel {

/// Entry and attempt that hold a slot.
using GrantId = std::pair<std::string, AttemptId>;

/// Grants of one server that have not ended, by the time at which they take
/// longer than most.
///
/// A server that stalls sends no answers, so samples show it only when it is
/// over.
class OverdueGrants {
 public:
  struct Options {
    /// Weight of an overdue grant as a sample. A server that stalls has a few
    /// overdue grants before its other slots are given away.
    double sample_weight = 0.25;
    /// Time of a grant that has just become overdue, in usual times.
    double first_ratio = 2;
    /// Limit of the time of an overdue grant, in usual times.
    double max_ratio = 4;
    /// Number of grants that count; more don't change the decision.
    int max_grants = 8;
  };

  OverdueGrants() = default;
  explicit OverdueGrants(const Options& options) : options_(options) {}

  /// @param limit time that most requests take at most
  void Add(const GrantId& grant, Duration limit, TimePoint granted_at) {
    running_.insert(
        {.overdue_at = granted_at + limit, .limit = limit, .id = grant});
  }
  void Remove(const GrantId& grant, Duration limit, TimePoint granted_at) {
    running_.erase(
        {.overdue_at = granted_at + limit, .limit = limit, .id = grant});
  }

  /// Returns the pace with each overdue grant as a sample of its age so far.
  ///
  /// @param tolerated number of overdue grants that say nothing: a request that
  ///     takes long or never ends must not take its server out of use
  double Apply(double relative_pace, int tolerated, TimePoint now) const {
    int count = 0;
    for (const Running& grant : running_) {
      if (grant.overdue_at > now || count == options_.max_grants + tolerated) {
        break;
      }
      if (count++ < tolerated) {
        continue;
      }
      const double ratio =
          options_.first_ratio *
          (1 + ToSeconds(now - grant.overdue_at) / ToSeconds(grant.limit));
      relative_pace +=
          options_.sample_weight *
          std::max(0.0, std::min(options_.max_ratio, ratio) - relative_pace);
    }
    return relative_pace;
  }
  size_t size() const { return running_.size(); }

 private:
  struct Running {
    TimePoint overdue_at;
    Duration limit{};
    GrantId id;

    friend auto operator<=>(const Running&, const Running&) = default;
  };

  Options options_;
  std::set<Running> running_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_PACE_OVERDUE_GRANTS_H_
