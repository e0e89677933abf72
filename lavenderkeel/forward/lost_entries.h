#ifndef LAVENDERKEEL_FORWARD_LOST_ENTRIES_H_
#define LAVENDERKEEL_FORWARD_LOST_ENTRIES_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/peer_id.h"

namespace lavenderkeel {

/// Entries that were lost without having left, or that are registered and were
/// never connected. They may run, cut off from this one, and use their part of
/// what all entries share.
class LostEntries {
 public:
  struct Options {
    /// A cut that lasts longer is taken for the end of the entries.
    Duration forget_after = std::chrono::minutes(1);
  };

  LostEntries() = default;
  explicit LostEntries(Options options) : options_(options) {}

  void OnLeaving(const PeerId& peer) { leaving_.insert(peer); }
  void OnLost(const PeerId& peer, TimePoint now) {
    lost_[peer.instance] = {.since = now, .left = leaving_.erase(peer) != 0};
  }
  /// Handles that the entry is registered in the store, but not connected.
  void OnRegistered(const std::string& instance, TimePoint now) {
    lost_.try_emplace(instance, Loss{.since = now});
  }
  /// Handles a connection to the entry or to its next incarnation.
  void OnConnected(const PeerId& peer) { lost_.erase(peer.instance); }

  /// Returns the number of entries that may still run.
  size_t CountAt(TimePoint now) const {
    return static_cast<size_t>(
        std::ranges::count_if(lost_, [&](const auto& item) {
          return !item.second.left &&
                 now - item.second.since <= options_.forget_after;
        }));
  }

 private:
  struct Loss {
    TimePoint since;
    bool left = false;
  };

  Options options_;
  std::set<PeerId> leaving_;
  /// By instance.
  std::map<std::string, Loss> lost_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_LOST_ENTRIES_H_
