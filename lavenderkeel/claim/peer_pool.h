#ifndef LAVENDERKEEL_CLAIM_PEER_POOL_H_
#define LAVENDERKEEL_CLAIM_PEER_POOL_H_

#include <cassert>
#include <cstdint>
#include <map>
#include <vector>

#include "lavenderkeel/base/peer_id.h"

namespace lavenderkeel {

/// Reference-counted pool that gives each incarnation in use a small index.
class PeerPool {
 public:
  using Index = uint32_t;

  /// Adds a use of the incarnation and returns its index.
  Index Acquire(const PeerId& peer) {
    const auto [position, inserted] = indexes_.try_emplace(peer, 0);
    if (inserted) {
      position->second = AllocateIndex(peer);
    }
    ++records_[position->second].uses;
    return position->second;
  }

  /// Ends one use; the index is reused after the last one ends.
  void Release(Index index) {
    Record& record = records_[index];
    assert(record.uses > 0);
    --record.uses;
    if (record.uses == 0) {
      indexes_.erase(record.peer);
      free_indexes_.push_back(index);
    }
  }

  const PeerId& Get(Index index) const { return records_[index].peer; }
  size_t size() const { return indexes_.size(); }

 private:
  struct Record {
    PeerId peer;
    uint32_t uses = 0;
  };

  Index AllocateIndex(const PeerId& peer) {
    if (free_indexes_.empty()) {
      records_.push_back({.peer = peer, .uses = 0});
      return static_cast<Index>(records_.size() - 1);
    }
    const Index index = free_indexes_.back();
    free_indexes_.pop_back();
    records_[index] = {.peer = peer, .uses = 0};
    return index;
  }

  std::map<PeerId, Index> indexes_;
  std::vector<Record> records_;
  std::vector<Index> free_indexes_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CLAIM_PEER_POOL_H_
