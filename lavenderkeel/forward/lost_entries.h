#ifndef LAVENDERKEEL_FORWARD_LOST_ENTRIES_H_
#define LAVENDERKEEL_FORWARD_LOST_ENTRIES_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/peer_id.h"

namespace lavenderkeel {

/// Entries that were lost without having left. They may still run, cut off from
/// this one, and use their part of what all entries share.
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
    if (leaving_.erase(peer) == 0) {
      lost_[peer.instance] = now;
    }
  }
  /// Handles a connection to the entry or to its next incarnation.
  void OnConnected(const PeerId& peer) { lost_.erase(peer.instance); }

  void Tick(TimePoint now) {
    std::erase_if(lost_, [&](const auto& item) {
      return now - item.second > options_.forget_after;
    });
  }
  size_t size() const { return lost_.size(); }

 private:
  Options options_;
  std::set<PeerId> leaving_;
  /// Time of the loss by instance.
  std::map<std::string, TimePoint> lost_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_LOST_ENTRIES_H_
