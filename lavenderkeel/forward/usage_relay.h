#ifndef LAVENDERKEEL_FORWARD_USAGE_RELAY_H_
#define LAVENDERKEEL_FORWARD_USAGE_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/base/peer_id.h"

namespace lavenderkeel {

/// Units used since an entry's start, by the hash of the team's name.
using UsageTotals = std::vector<std::pair<uint64_t, double>>;

/// Totals that a coordinator relays between the entries that report to it, such
/// as the usage of teams.
///
/// Entries that are not coordinators receive each other's totals through one
/// coordinator each, which adds them up: a report is as long as the list of
/// keys, however many entries there are. The sums only grow, so what was lost
/// with a connection is in the next report of the key.
template <typename Key>
class TotalsRelay {
 public:
  using Totals = std::vector<std::pair<Key, double>>;

  /// @param is_relay whether this coordinator relays for the entry now; what
  ///     was counted before the entry's first report here, or while another one
  ///     relayed, is not counted
  void OnTotals(const PeerId& entry, const Totals& totals, bool is_relay) {
    const auto [position, inserted] = entries_.try_emplace(entry.instance);
    Entry& source = position->second;
    const bool is_first = inserted || source.incarnation != entry.incarnation;
    if (is_first) {
      source = {.incarnation = entry.incarnation, .items = {}};
    }
    for (const auto& [key, total] : totals) {
      Item& item = source.items[key];
      const double added = total - item.reported;
      if (added <= 0) {
        continue;
      }
      item.reported = total;
      if (is_relay && !is_first) {
        item.relayed += added;
        relayed_sums_[key] += added;
        changed_.insert(key);
      }
    }
  }

  /// Returns the totals for one entry, without its own, which that entry counts
  /// itself.
  /// @param all whether to include totals unchanged since the last
  ///     ClearChanges
  Totals TotalsFor(const PeerId& entry, bool all) const {
    Totals totals;
    for (const auto& [key, sum] : relayed_sums_) {
      if (all || changed_.contains(key)) {
        totals.emplace_back(key, sum - Relayed(entry, key));
      }
    }
    return totals;
  }

  /// Clears the set of changes, after all entries received them.
  void ClearChanges() { changed_.clear(); }

  /// Removes up to a number of keys from the set of changes and returns them,
  /// each call continuing where the last one ended.
  std::vector<Key> TakeChanges(size_t max) {
    std::vector<Key> keys;
    auto next = last_taken_.has_value() ? changed_.upper_bound(*last_taken_)
                                        : changed_.begin();
    while (!changed_.empty() && keys.size() < max) {
      if (next == changed_.end()) {
        next = changed_.begin();
      }
      keys.push_back(*next);
      next = changed_.erase(next);
    }
    if (!keys.empty()) {
      last_taken_ = keys.back();
    }
    return keys;
  }

  /// Returns the total of one key for one entry, without its own.
  double TotalFor(const PeerId& entry, const Key& key) const {
    const auto found = relayed_sums_.find(key);
    return found == relayed_sums_.end() ? 0
                                        : found->second - Relayed(entry, key);
  }

 private:
  struct Item {
    double reported = 0;
    double relayed = 0;
  };
  /// Kept while the entry is lost: if it was only disconnected, what was
  /// relayed for it must still be excluded from its totals.
  struct Entry {
    uint64_t incarnation = 0;
    std::map<Key, Item> items;
  };

  double Relayed(const PeerId& entry, const Key& key) const {
    const auto found = entries_.find(entry.instance);
    if (found == entries_.end() ||
        found->second.incarnation != entry.incarnation) {
      return 0;
    }
    const auto item = found->second.items.find(key);
    return item == found->second.items.end() ? 0 : item->second.relayed;
  }

  std::map<std::string, Entry> entries_;
  std::map<Key, double> relayed_sums_;
  std::set<Key> changed_;
  std::optional<Key> last_taken_;
};

/// Usage by team.
using UsageRelay = TotalsRelay<uint64_t>;
/// Demand by team and rank.
using DemandRelay = TotalsRelay<std::pair<uint64_t, int>>;

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_USAGE_RELAY_H_
