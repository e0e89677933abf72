#include "lavenderkeel/rollout/rollout_order.h"

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

uint64_t KeyOf(const RolloutOrder& order) {
  const auto duration = static_cast<uint64_t>(order.duration.count());
  return HashBytes(
      order.service,
      HashBytes(order.to, HashBytes(std::to_string(duration), order.created)));
}

}  // namespace lavenderkeel
