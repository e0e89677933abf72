#ifndef LAVENDERKEEL_RATES_REFILL_RESERVATIONS_H_
#define LAVENDERKEEL_RATES_REFILL_RESERVATIONS_H_

#include <cstddef>
#include <deque>
#include <map>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Future refill of one team's rate that this entry promised to clients it
/// refused.
///
/// Each promise is a place in a queue by rank. When it is about to be due, its
/// units are held until the client is back or a grace is over.
class RefillReservations {
 public:
  struct Options {
    /// Units are held from this time before the promise is due, so that they
    /// are there when the client is back.
    Duration lead = std::chrono::milliseconds(100);
    /// A client that is not back so long after its time counts as gone, or as
    /// served by another entry.
    Duration grace = std::chrono::milliseconds(500);
    size_t max_promises = 256;
    /// Time on the way by which the deadlines of two attempts of one client
    /// may differ.
    Duration deadline_tolerance = std::chrono::milliseconds(25);
  };

  explicit RefillReservations(const Options& options) : options_(options) {}

  /// Drops promises whose clients did not come back.
  /// @return number of promises dropped
  size_t Advance(TimePoint now);
  /// @param deadline when the client gives up, which tells its next attempt
  /// @return whether the promise is kept; false if there are too many
  bool Promise(int rank, double units, TimePoint due, TimePoint deadline);
  /// Returns the promised units that are not yet held, of this rank and the
  /// more urgent ones.
  double UnitsAhead(int rank) const;
  /// Returns the units held for this rank and the more urgent ones.
  double HeldUnits(int rank) const;
  /// Redeems the promise to a client of this rank that is back.
  /// @param any whether another promise of the rank will do, since the client
  ///     was refused by another entry
  /// @return false if none is due
  bool Redeem(int rank, TimePoint deadline, bool any);

  size_t size() const { return size_; }

 private:
  struct Entry {
    double units = 0;
    TimePoint due;
    TimePoint deadline;
  };
  struct Rank {
    /// By due time.
    std::multimap<TimePoint, Entry> waiting;
    double waiting_units = 0;
    std::deque<Entry> held;
    double held_units = 0;
  };

  Options options_;
  std::map<int, Rank> ranks_;
  size_t size_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RATES_REFILL_RESERVATIONS_H_
