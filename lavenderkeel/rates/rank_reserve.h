#ifndef LAVENDERKEEL_RATES_RANK_RESERVE_H_
#define LAVENDERKEEL_RATES_RANK_RESERVE_H_

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// What a team's token bucket keeps back from a request for more urgent ranks,
/// and which part of the requests of its rank is admitted above that.
///
/// The reserve is the more urgent demand of a short horizon. Reports of other
/// entries are old, so if every entry admitted all less urgent requests as soon
/// as the level is above the reserve, they would together overdraw the bucket
/// and refuse urgent requests until the debt is paid. Above the reserve, the
/// admitted part therefore grows with the level, from none to several times
/// what the refill leaves to the rank; the level settles where as much is
/// admitted as is refilled.
class RankReserve {
 public:
  struct Options {
    /// Time in which a refused urgent client can be back and reports of a
    /// higher demand arrive.
    Duration horizon = std::chrono::milliseconds(500);
    /// Age of what is known of other entries.
    Duration report_delay = std::chrono::milliseconds(200);
    /// Admitted units, relative to the refill that is left to the rank, just
    /// below the level from which all are admitted.
    double max_admitted_per_refill = 3;
    /// Largest part of the bucket that is kept back.
    double max_part = 0.5;
    /// A bucket that holds no more than the refill of this time keeps nothing
    /// back: it would be full between two reports of the others, and refill
    /// would be lost.
    Duration smallest_bucket = std::chrono::milliseconds(100);
    /// From this size on all of the above applies, in between a part of it.
    Duration full_size_bucket = std::chrono::milliseconds(250);
    /// More urgent units of the last second below which nothing is kept back.
    double min_units = 0.1;
  };

  /// Units and units per second.
  struct Inputs {
    double level = 0;
    double capacity = 0;
    double refill = 0;
    /// What the bucket must hold for the request without a reserve.
    double need = 0;
    double more_urgent_demand = 0;
    double rank_demand = 0;
    /// Of all ranks but the least urgent one.
    double all_but_last_demand = 0;
    /// Promised to clients that are about to be back.
    double held = 0;

    friend bool operator==(const Inputs&, const Inputs&) = default;
  };

  struct Result {
    /// Kept back for more urgent ranks.
    double reserve = 0;
    /// Kept back for promises.
    double held = 0;
    /// Part of the requests of the rank that is admitted, 0 to 1.
    double admitted_part = 1;

    friend bool operator==(const Result&, const Result&) = default;
  };

  explicit RankReserve(const Options& options) : options_(options) {}

  Result For(const Inputs& inputs) const;
  /// Returns the refill that the more urgent demand leaves to the rank; never
  /// zero, so that times stay finite.
  static double RefillLeft(const Inputs& inputs);

 private:
  /// Returns which part of the rules applies to a bucket of this size.
  double PartForSize(const Inputs& inputs) const;

  Options options_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RATES_RANK_RESERVE_H_
