#ifndef LAVENDERKEEL_FAIRNESS_GRANTED_WORK_H_
#define LAVENDERKEEL_FAIRNESS_GRANTED_WORK_H_

#include <cstdint>
#include <unordered_map>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/fairness/team_work.h"

namespace lavenderkeel {

/// Work that the teams of a rank were granted in the second up to the last
/// grant, and in the second before if there were grants in it.
class GrantedWork {
 public:
  struct Summary {
    double total = 0;
    double team = 0;
    /// The team with the most work, and its work.
    uint64_t top_team = 0;
    double top = 0;
    /// How far back the sums go.
    Duration age{};

    friend bool operator==(const Summary&, const Summary&) = default;
  };

  void Add(const TeamWork& work, TimePoint now);
  /// Returns the work of all teams and of one of them.
  Summary SummaryFor(uint64_t team, TimePoint now) const;

 private:
  static constexpr Duration kPeriod = std::chrono::seconds(1);

  struct Period {
    TimePoint start;
    double total = 0;
    /// The team with the most work in this period.
    uint64_t top_team = 0;
    double top = 0;
    std::unordered_map<uint64_t, double> by_team;

    double Of(uint64_t team) const {
      const auto found = by_team.find(team);
      return found == by_team.end() ? 0 : found->second;
    }
  };

  Period current_;
  Period former_;
  /// The team with the most work in both periods.
  uint64_t top_team_ = 0;
  double top_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FAIRNESS_GRANTED_WORK_H_
