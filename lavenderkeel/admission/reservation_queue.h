#ifndef LAVENDERKEEL_ADMISSION_RESERVATION_QUEUE_H_
#define LAVENDERKEEL_ADMISSION_RESERVATION_QUEUE_H_

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
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

  /// Adds, replacing one with the same key.
  void Add(const Reservation& reservation);
  std::optional<Reservation> Remove(const RequestKey& key);
  const Reservation* Find(const RequestKey& key) const;

  /// The next to start, or null. Nothing is removed.
  const Reservation* Next(TimePoint now, const TierOpen& open) const;
  /// Removes it and charges its cost to its team.
  Reservation Take(const RequestKey& key);

  std::vector<RequestKey> KeysOf(const PeerId& entry) const;
  std::vector<RequestKey> KeysOfTier(uint32_t tier) const;
  std::vector<RequestKey> Keys() const;
  size_t size() const { return by_key_.size(); }
  size_t waiting(uint32_t tier) const;

 private:
  using Line = std::list<Reservation>;
  struct TeamLine {
    Line line;
    /// Virtual time at which its next reservation may start.
    double virtual_start = 0;
  };
  struct TierQueue {
    std::set<std::pair<TimePoint, RequestKey>> by_deadline;
    std::map<std::string, TeamLine> teams;
    double virtual_now = 0;
    size_t size = 0;
  };

  const Reservation* NextInTier(const TierQueue& queue, TimePoint now) const;

  Options options_;
  std::map<uint32_t, TierQueue> tiers_;
  std::unordered_map<RequestKey, Line::iterator, RequestKeyHash> by_key_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ADMISSION_RESERVATION_QUEUE_H_
