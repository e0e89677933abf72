#ifndef LAVENDERKEEL_FORWARD_DRAW_RELAY_H_
#define LAVENDERKEEL_FORWARD_DRAW_RELAY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/base/peer_id.h"

namespace lavenderkeel {

/// Units drawn since an entry's start, by the hash of the team's name.
using DrawTotals = std::vector<std::pair<uint64_t, double>>;

/// What a coordinator passes on of the draws that entries report to it.
///
/// Entries that are no coordinators hear of each other's draws through one
/// coordinator each, which adds them up: a report is as long as the list of
/// teams, however many entries there are. The sums only grow, so what a broken
/// connection lost is in the next whole report.
class DrawRelay {
 public:
  /// @param passes_on this coordinator speaks for the entry now. What the entry
  ///     drew before its first report here, or while another spoke for it, is
  ///     not counted
  void OnTotals(const PeerId& entry, const DrawTotals& totals, bool passes_on) {
    const auto [position, inserted] = entries_.try_emplace(entry.instance);
    Entry& from = position->second;
    const bool first = inserted || from.incarnation != entry.incarnation;
    if (first) {
      from = {.incarnation = entry.incarnation, .teams = {}};
    }
    for (const auto& [team, total] : totals) {
      Part& part = from.teams[team];
      const double drawn = total - part.heard;
      if (drawn <= 0) {
        continue;
      }
      part.heard = total;
      if (passes_on && !first) {
        part.passed_on += drawn;
        sums_[team] += drawn;
        changed_.insert(team);
      }
    }
  }

  /// For one entry, which counts its own draws itself.
  /// @param all or only the teams whose sums changed since the last EndRound
  DrawTotals For(const PeerId& entry, bool all) const {
    DrawTotals totals;
    for (const auto& [team, sum] : sums_) {
      if (all || changed_.contains(team)) {
        totals.emplace_back(team, sum - PassedOn(entry, team));
      }
    }
    return totals;
  }

  /// Everyone was told of the changes.
  void EndRound() { changed_.clear(); }

 private:
  struct Part {
    double heard = 0;
    double passed_on = 0;
  };
  /// Kept while the entry is lost: it may only have been cut off, and what was
  /// passed on for it must still be left out of what it is told.
  struct Entry {
    uint64_t incarnation = 0;
    std::map<uint64_t, Part> teams;
  };

  double PassedOn(const PeerId& entry, uint64_t team) const {
    const auto found = entries_.find(entry.instance);
    if (found == entries_.end() ||
        found->second.incarnation != entry.incarnation) {
      return 0;
    }
    const auto part = found->second.teams.find(team);
    return part == found->second.teams.end() ? 0 : part->second.passed_on;
  }

  std::map<std::string, Entry> entries_;
  std::map<uint64_t, double> sums_;
  std::set<uint64_t> changed_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_DRAW_RELAY_H_
