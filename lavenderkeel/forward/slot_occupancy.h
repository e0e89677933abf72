#ifndef LAVENDERKEEL_FORWARD_SLOT_OCCUPANCY_H_
#define LAVENDERKEEL_FORWARD_SLOT_OCCUPANCY_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace lavenderkeel {

/// Number of requests at each server, from the grants of a scheduler and the
/// reports of the entries.
///
/// A grant counts at once, a report is a heartbeat old. For each entry the
/// larger of the two counts: the report includes requests that another
/// scheduler granted, as after a change of schedulers, and the grants include
/// requests sent since the report.
class SlotOccupancy {
 public:
  void AddGrant(const std::string& entry, uint64_t server) {
    EntryCounts& entry_counts = by_entry_[entry][server];
    Update(server, entry_counts,
           {.granted = entry_counts.granted + 1,
            .reported = entry_counts.reported});
  }

  /// Counts the end of a granted request, also in the last report.
  void RemoveGrant(const std::string& entry, uint64_t server) {
    EntryCounts& entry_counts = by_entry_[entry][server];
    Update(server, entry_counts,
           {.granted = std::max(0, entry_counts.granted - 1),
            .reported = std::max(0, entry_counts.reported - 1)});
  }

  /// Removes a grant that the entry never received, so that no report includes
  /// it.
  void VoidGrant(const std::string& entry, uint64_t server) {
    EntryCounts& entry_counts = by_entry_[entry][server];
    Update(server, entry_counts,
           {.granted = std::max(0, entry_counts.granted - 1),
            .reported = entry_counts.reported});
  }

  /// Replaces the entry's report. Servers missing from it have no requests.
  /// @return whether a slot became free
  template <typename Counts>
  bool SetReport(const std::string& entry, const Counts& counts) {
    auto& by_server = by_entry_[entry];
    std::unordered_map<uint64_t, int> reported;
    for (const auto& count : counts) {
      reported[count.server_hash] = count.in_flight;
      by_server.try_emplace(count.server_hash);
    }
    bool slot_freed = false;
    for (auto& [server, entry_counts] : by_server) {
      const auto found = reported.find(server);
      const int before = entry_counts.count();
      Update(server, entry_counts,
             {.granted = entry_counts.granted,
              .reported = found == reported.end() ? 0 : found->second});
      slot_freed |= entry_counts.count() < before;
    }
    // Otherwise every report would iterate over each server that the entry ever
    // used.
    std::erase_if(by_server,
                  [](const auto& item) { return item.second.count() == 0; });
    return slot_freed;
  }

  void Forget(const std::string& entry) {
    const auto found = by_entry_.find(entry);
    if (found == by_entry_.end()) {
      return;
    }
    for (auto& [server, entry_counts] : found->second) {
      Update(server, entry_counts, {});
    }
    by_entry_.erase(found);
  }

  int InFlight(uint64_t server) const {
    const auto found = totals_.find(server);
    return found == totals_.end() ? 0 : found->second;
  }

  /// Requests at the server by the entry's last report.
  int ReportedInFlight(const std::string& entry, uint64_t server) const {
    const auto by_server = by_entry_.find(entry);
    if (by_server == by_entry_.end()) {
      return 0;
    }
    const auto found = by_server->second.find(server);
    return found == by_server->second.end() ? 0 : found->second.reported;
  }

 private:
  struct EntryCounts {
    int granted = 0;
    int reported = 0;

    int count() const { return std::max(granted, reported); }
  };

  void Update(uint64_t server,
              EntryCounts& entry_counts,
              const EntryCounts& next) {
    int& total = totals_[server];
    total += next.count() - entry_counts.count();
    if (total == 0) {
      totals_.erase(server);
    }
    entry_counts = next;
  }

  std::map<std::string, std::unordered_map<uint64_t, EntryCounts>> by_entry_;
  std::unordered_map<uint64_t, int> totals_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SLOT_OCCUPANCY_H_
