#ifndef LAVENDERKEEL_ADMISSION_RESERVATION_QUEUE_H_
#define LAVENDERKEEL_ADMISSION_RESERVATION_QUEUE_H_

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/admission/reservation.h"

namespace lavenderkeel {

/// A priority queue of reservations, ordered by tier, then earliest deadline,
/// then weighted fair queueing between teams by token cost.
///
/// A reservation without a deadline that has waited for the aging time precedes
/// those with a deadline in its tier, but never a higher tier.
class ReservationQueue {
 public:
  struct Options {
    Duration aging = std::chrono::seconds(30);
  };
  /// Returns true if reservations of the tier may start now.
  using IsTierOpen = std::function<bool(uint32_t tier)>;

  ReservationQueue() = default;
  explicit ReservationQueue(Options options) : options_(options) {}

  /// Adds a reservation; replaces one with the same id.
  void Add(const Reservation& reservation);
  std::optional<Reservation> Remove(const ReservationId& id);
  const Reservation* Find(const ReservationId& id) const;

  /// Returns the next reservation to start, or null, without removing it.
  const Reservation* Next(TimePoint now, const IsTierOpen& is_open) const;
  /// Removes a reservation and charges its cost to its team.
  Reservation Dequeue(const ReservationId& id);

  std::vector<ReservationId> Select(
      const std::function<bool(const Reservation&)>& matches) const;
  size_t size() const { return by_id_.size(); }
  size_t waiting_count(uint32_t tier) const;

 private:
  using ReservationList = std::list<Reservation>;
  struct TeamQueue {
    ReservationList reservations;
    /// Virtual start time of the team's next reservation.
    double virtual_start = 0;
  };
  struct TierQueue {
    std::set<std::pair<TimePoint, ReservationId>> by_deadline;
    std::map<std::string, TeamQueue> teams;
    double virtual_now = 0;
    size_t size = 0;
  };

  const Reservation* NextInTier(const TierQueue& queue, TimePoint now) const;

  Options options_;
  std::map<uint32_t, TierQueue> tiers_;
  std::map<ReservationId, ReservationList::iterator> by_id_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ADMISSION_RESERVATION_QUEUE_H_
