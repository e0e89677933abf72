#include "lavenderkeel/fairness/granted_work.h"

#include <utility>

namespace lavenderkeel {

void GrantedWork::Add(const TeamWork& work, TimePoint now) {
  if (now - current_.start >= kPeriod) {
    const bool is_recent = now - current_.start < 2 * kPeriod;
    former_ = is_recent ? std::move(current_) : Period();
    current_ = {.start = now};
    top_team_ = former_.top_team;
    top_ = former_.top;
  }
  current_.total += work.units;
  double& team = current_.by_team[work.team];
  team += work.units;
  if (team > current_.top) {
    current_.top = team;
    current_.top_team = work.team;
  }
  if (const double both = team + former_.Of(work.team); both > top_) {
    top_ = both;
    top_team_ = work.team;
  }
}

GrantedWork::Summary GrantedWork::SummaryFor(uint64_t team,
                                             TimePoint now) const {
  const Period& first = former_.by_team.empty() ? current_ : former_;
  if (first.by_team.empty()) {
    return {};
  }
  return {.total = former_.total + current_.total,
          .team = former_.Of(team) + current_.Of(team),
          .top_team = top_team_,
          .top = top_,
          .age = now - first.start};
}

}  // namespace lavenderkeel
