#ifndef LAVENDERKEEL_CLAIM_PEER_POOL_H_
#define LAVENDERKEEL_CLAIM_PEER_POOL_H_

#include <cassert>
#include <cstdint>
#include <map>
#include <vector>

#include "lavenderkeel/base/peer_id.h"

namespace lavenderkeel {

/// Gives each incarnation a small number while it is in use.
class PeerPool {
 public:
  using Index = uint32_t;

  /// Counts one more use.
  Index Take(const PeerId& peer) {
    const auto [position, inserted] = indexes_.try_emplace(peer, 0);
    if (inserted) {
      position->second = NewSlot(peer);
    }
    ++slots_[position->second].uses;
    return position->second;
  }

  /// Ends one use; the number is given out again after the last.
  void Release(Index index) {
    Slot& slot = slots_[index];
    assert(slot.uses > 0);
    --slot.uses;
    if (slot.uses == 0) {
      indexes_.erase(slot.peer);
      free_.push_back(index);
    }
  }

  const PeerId& Get(Index index) const { return slots_[index].peer; }
  size_t size() const { return indexes_.size(); }

 private:
  struct Slot {
    PeerId peer;
    uint32_t uses = 0;
  };

  Index NewSlot(const PeerId& peer) {
    if (free_.empty()) {
      slots_.push_back({.peer = peer, .uses = 0});
      return static_cast<Index>(slots_.size() - 1);
    }
    const Index index = free_.back();
    free_.pop_back();
    slots_[index] = {.peer = peer, .uses = 0};
    return index;
  }

  std::map<PeerId, Index> indexes_;
  std::vector<Slot> slots_;
  std::vector<Index> free_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CLAIM_PEER_POOL_H_
