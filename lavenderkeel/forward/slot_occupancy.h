#ifndef LAVENDERKEEL_FORWARD_SLOT_OCCUPANCY_H_
#define LAVENDERKEEL_FORWARD_SLOT_OCCUPANCY_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace lavenderkeel {

/// How many requests are at each server, from what a gate granted and from
/// what the entries report.
///
/// A grant counts at once, a report is a heartbeat old. An entry's part is the
/// larger of the two: the report also has what another gate granted, as after
/// a change of gates, and the grants have what was sent since the report.
class SlotOccupancy {
 public:
  void AddGrant(const std::string& asker, uint64_t server) {
    Part& part = parts_[asker][server];
    Change(server, part,
           {.granted = part.granted + 1, .reported = part.reported});
  }

  /// A granted request has ended, and with it its place in the last report.
  void RemoveGrant(const std::string& asker, uint64_t server) {
    Part& part = parts_[asker][server];
    Change(server, part,
           {.granted = std::max(0, part.granted - 1),
            .reported = std::max(0, part.reported - 1)});
  }

  /// A grant that its asker never had, so that no report counts it.
  void VoidGrant(const std::string& asker, uint64_t server) {
    Part& part = parts_[asker][server];
    Change(
        server, part,
        {.granted = std::max(0, part.granted - 1), .reported = part.reported});
  }

  /// Replaces the asker's report. Servers that it leaves out have none.
  /// @return whether a place became free
  template <typename Counts>
  bool SetReport(const std::string& asker, const Counts& counts) {
    auto& parts = parts_[asker];
    std::unordered_map<uint64_t, int> reported;
    for (const auto& count : counts) {
      reported[count.server_hash] = count.in_flight;
      parts.try_emplace(count.server_hash);
    }
    bool freed = false;
    for (auto& [server, part] : parts) {
      const auto found = reported.find(server);
      const int before = part.count();
      Change(server, part,
             {.granted = part.granted,
              .reported = found == reported.end() ? 0 : found->second});
      freed |= part.count() < before;
    }
    // Else every report would go through each server that the asker ever used.
    std::erase_if(parts,
                  [](const auto& item) { return item.second.count() == 0; });
    return freed;
  }

  void Forget(const std::string& asker) {
    const auto found = parts_.find(asker);
    if (found == parts_.end()) {
      return;
    }
    for (auto& [server, part] : found->second) {
      Change(server, part, {});
    }
    parts_.erase(found);
  }

  int At(uint64_t server) const {
    const auto found = totals_.find(server);
    return found == totals_.end() ? 0 : found->second;
  }

  /// What the asker's last report says of the server.
  int Reported(const std::string& asker, uint64_t server) const {
    const auto parts = parts_.find(asker);
    if (parts == parts_.end()) {
      return 0;
    }
    const auto found = parts->second.find(server);
    return found == parts->second.end() ? 0 : found->second.reported;
  }

 private:
  struct Part {
    int granted = 0;
    int reported = 0;

    int count() const { return std::max(granted, reported); }
  };

  void Change(uint64_t server, Part& part, const Part& next) {
    int& total = totals_[server];
    total += next.count() - part.count();
    if (total == 0) {
      totals_.erase(server);
    }
    part = next;
  }

  std::map<std::string, std::unordered_map<uint64_t, Part>> parts_;
  std::unordered_map<uint64_t, int> totals_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SLOT_OCCUPANCY_H_
