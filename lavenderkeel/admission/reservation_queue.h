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

/// Orders reservations: tier, then deadline, then weighted fairness between
/// teams by token cost.
///
/// A reservation without a deadline that has waited for the aging time goes
/// before those with one, but never before another tier.
class ReservationQueue {
 public:
  struct Options {
    Duration aging = std::chrono::seconds(30);
  };
  /// True if reservations of this tier may start now.
  using TierOpen = std::function<bool(uint32_t tier)>;

  ReservationQueue() = default;
  explicit ReservationQueue(Options options) : options_(options) {}

  /// Adds, replacing one with the same id.
  void Add(const Reservation& reservation);
  std::optional<Reservation> Remove(const ReservationId& id);
  const Reservation* Find(const ReservationId& id) const;

  /// The next to start, or null. Nothing is removed.
  const Reservation* Next(TimePoint now, const TierOpen& open) const;
  /// Removes it and charges its cost to its team.
  Reservation Take(const ReservationId& id);

  std::vector<ReservationId> Select(
      const std::function<bool(const Reservation&)>& matches) const;
  size_t size() const { return by_id_.size(); }
  size_t waiting(uint32_t tier) const;

 private:
  using Line = std::list<Reservation>;
  struct TeamLine {
    Line line;
    /// Virtual time at which its next reservation may start.
    double virtual_start = 0;
  };
  struct TierQueue {
    std::set<std::pair<TimePoint, ReservationId>> by_deadline;
    std::map<std::string, TeamLine> teams;
    double virtual_now = 0;
    size_t size = 0;
  };

  const Reservation* NextInTier(const TierQueue& queue, TimePoint now) const;

  Options options_;
  std::map<uint32_t, TierQueue> tiers_;
  std::map<ReservationId, Line::iterator> by_id_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ADMISSION_RESERVATION_QUEUE_H_
