#ifndef LAVENDERKEEL_OVERLOAD_SLOT_RANK_H_
#define LAVENDERKEEL_OVERLOAD_SLOT_RANK_H_

#include <compare>

namespace lavenderkeel {

/// Rank of a request in the queue for slots, the most urgent first.
struct SlotRank {
  int priority = 0;
  int route_priority = 0;

  friend auto operator<=>(const SlotRank&, const SlotRank&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_OVERLOAD_SLOT_RANK_H_
