#ifndef LAVENDERKEEL_ADMISSION_RESERVATION_H_
#define LAVENDERKEEL_ADMISSION_RESERVATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/peer_id.h"
#include "lavenderkeel/base/request_key.h"

namespace lavenderkeel {

/// Identifies a reservation. A caller may retry at another entry, so two
/// entries may hold a reservation for the same key.
using ReservationId = std::pair<RequestKey, PeerId>;

/// An item in an agent's queue for a request that waits at its entry.
struct Reservation {
  RequestKey key;
  PeerId entry;
  std::string team;
  double weight = 1;
  /// Rank of the tier; 0 has the highest priority.
  uint32_t tier = 0;
  std::optional<TimePoint> deadline;
  uint32_t prompt_tokens = 0;
  uint32_t max_tokens = 0;
  bool repeatable = false;
  bool deadline_bound = false;
  TimePoint arrived;

  ReservationId id() const { return {key, entry}; }

  /// Cost in tokens for fair queueing between teams.
  double cost() const {
    return static_cast<double>(prompt_tokens) + max_tokens + 1;
  }

  friend bool operator==(const Reservation&, const Reservation&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ADMISSION_RESERVATION_H_
