#ifndef LAVENDERKEEL_FORWARD_USAGE_RELAY_H_
#define LAVENDERKEEL_FORWARD_USAGE_RELAY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/base/peer_id.h"

namespace lavenderkeel {

/// Units used since an entry's start, by the hash of the team's name.
using UsageTotals = std::vector<std::pair<uint64_t, double>>;

/// Usage that a coordinator relays between the entries that report to it.
///
/// Entries that are not coordinators receive each other's usage through one
/// coordinator each, which adds it up: a report is as long as the list of
/// teams, however many entries there are. The sums only grow, so what was lost
/// with a connection is in the next full report.
class UsageRelay {
 public:
  /// @param is_relay whether this coordinator relays for the entry now; usage
  ///     before the entry's first report here, or while another one relayed, is
  ///     not counted
  void OnTotals(const PeerId& entry, const UsageTotals& totals, bool is_relay) {
    const auto [position, inserted] = entries_.try_emplace(entry.instance);
    Entry& source = position->second;
    const bool is_first = inserted || source.incarnation != entry.incarnation;
    if (is_first) {
      source = {.incarnation = entry.incarnation, .teams = {}};
    }
    for (const auto& [team, total] : totals) {
      TeamUsage& team_usage = source.teams[team];
      const double new_usage = total - team_usage.reported;
      if (new_usage <= 0) {
        continue;
      }
      team_usage.reported = total;
      if (is_relay && !is_first) {
        team_usage.relayed += new_usage;
        relayed_sums_[team] += new_usage;
        changed_teams_.insert(team);
      }
    }
  }

  /// Returns the totals for one entry, without its own usage, which that entry
  /// counts itself.
  /// @param all whether to include teams unchanged since the last ClearChanges
  UsageTotals TotalsFor(const PeerId& entry, bool all) const {
    UsageTotals totals;
    for (const auto& [team, sum] : relayed_sums_) {
      if (all || changed_teams_.contains(team)) {
        totals.emplace_back(team, sum - Relayed(entry, team));
      }
    }
    return totals;
  }

  /// Clears the set of changes, after all entries received them.
  void ClearChanges() { changed_teams_.clear(); }

 private:
  struct TeamUsage {
    double reported = 0;
    double relayed = 0;
  };
  /// Kept while the entry is lost: if it was only disconnected, the usage
  /// relayed for it must still be excluded from its totals.
  struct Entry {
    uint64_t incarnation = 0;
    std::map<uint64_t, TeamUsage> teams;
  };

  double Relayed(const PeerId& entry, uint64_t team) const {
    const auto found = entries_.find(entry.instance);
    if (found == entries_.end() ||
        found->second.incarnation != entry.incarnation) {
      return 0;
    }
    const auto team_usage = found->second.teams.find(team);
    return team_usage == found->second.teams.end() ? 0
                                                   : team_usage->second.relayed;
  }

  std::map<std::string, Entry> entries_;
  std::map<uint64_t, double> relayed_sums_;
  std::set<uint64_t> changed_teams_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_USAGE_RELAY_H_
