#ifndef LAVENDERKEEL_RATES_RANK_DEMAND_H_
#define LAVENDERKEEL_RATES_RANK_DEMAND_H_

#include <cstddef>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/rates/decaying_rate.h"
#include "lavenderkeel/rates/team_demand.h"

namespace lavenderkeel {

/// Recent demand of one team by rank: at this entry, and at the others as they
/// report it.
class RankDemand {
 public:
  /// Ranks beyond this number are not distinguished: their demand counts for
  /// the least urgent one that is known.
  static constexpr size_t kMaxRanks = 16;
  /// Own demand counts for the share of this entry when it is about as old as
  /// what others report. Otherwise every entry would believe itself alone at
  /// the start of a load.
  static constexpr Duration kReportDelay = std::chrono::milliseconds(200);

  struct Rates {
    /// Units per second of all entries: of the more urgent ranks, of the rank.
    double more_urgent = 0;
    double rank = 0;
    /// Of all ranks but the least urgent one.
    double all_but_last = 0;
    /// Fraction of the demand that arrives at this entry; nothing known: 0.
    double own_share = 0;

    friend bool operator==(const Rates&, const Rates&) = default;
  };

  void OnRequest(int rank, double units, TimePoint now);
  /// Handles demand at other entries since their last report.
  void OnReported(int rank, double units, TimePoint now);
  Rates RatesFor(int rank, TimePoint now) const;

 private:
  struct Rank {
    int rank = 0;
    DecayingRate own;
    /// Own demand, counted kReportDelay later.
    DecayingRate own_delayed;
    double pending = 0;
    TimePoint pending_since;
    DecayingRate others;
  };

  Rank& RankOf(int rank);

  /// The most urgent first.
  std::vector<Rank> ranks_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RATES_RANK_DEMAND_H_
