#ifndef LAVENDERKEEL_RATES_RANKED_RATES_H_
#define LAVENDERKEEL_RATES_RANKED_RATES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/rates/rank_demand.h"
#include "lavenderkeel/rates/rank_reserve.h"
#include "lavenderkeel/rates/refill_reservations.h"
#include "lavenderkeel/rates/team_demand.h"

namespace lavenderkeel {

/// Decision which requests of a team are admitted while its rate is short, and
/// when refused clients are to come back.
///
/// Admits nothing beyond the team's token bucket, which the caller keeps.
class RankedRates {
 public:
  struct Options {
    RankReserve::Options reserve;
    RefillReservations::Options reservations;
    /// Part of the refill left to a rank that is promised to refused clients.
    /// The rest is for first attempts, whose answers can still be in time.
    double promised_part = 0.3;
    /// Part of the reserve that a client with a promise sees. The level swings
    /// around the reserve with the reports of other entries.
    double redeemed_reserve_part = 0.5;
    /// A rate counts as short while its bucket is below this part of its
    /// capacity, and for a time after that.
    double short_below = 0.9;
    Duration short_for = std::chrono::seconds(3);
    /// Clients that are told the same time come back spread over this time.
    Duration spread = std::chrono::milliseconds(100);
    /// Demand of more teams and ranks than this is reported in turn, so that
    /// the reports stay short.
    size_t max_reported = 64;
    /// Bound on the promises of all teams together.
    size_t max_promises = 16'384;
  };

  struct Request {
    /// Hash of the team's name.
    uint64_t team = 0;
    int rank = 0;
    double units = 1;
    /// Hash of the request's id; decides what is left to chance.
    uint64_t id_hash = 0;
    /// When the client gives up.
    TimePoint deadline;
    /// The client was refused before, here or elsewhere, and is back. Clients
    /// that are back soon can be told only by their deadlines.
    bool is_retry = false;
    /// The longest time that the client can wait before it is back.
    Duration max_wait{};
  };

  /// The team's token bucket as this entry counts it.
  struct Bucket {
    double level = 0;
    double capacity = 0;
    /// Units per second.
    double refill = 0;
  };

  struct Decision {
    bool admitted = false;
    /// Whether the rate was short, so that the rank could matter.
    bool is_short = false;
    /// For a refused request: when the client is to be back.
    Duration retry_after{};
    /// Whether refill is reserved for then.
    bool promised = false;
    /// Whether a promise to the client was redeemed.
    bool redeemed = false;
    RankReserve::Inputs inputs;
    RankReserve::Result reserve;
    double own_share = 0;
    /// Units promised before to this rank and more urgent ones.
    double promised_before = 0;
    /// Age of the last report of demand at other entries; negative: none.
    Duration report_age{};
  };

  explicit RankedRates(const Options& options)
      : options_(options), reserve_(options.reserve) {}

  /// @param entries number of known entries, which share the refill while
  ///     nothing is known of the demand at others
  Decision Decide(const Request& request,
                  const Bucket& bucket,
                  size_t entries,
                  TimePoint now);

  /// Returns the totals that changed since they were reported last.
  DemandTotals TakeReport(TimePoint now);
  /// Counts demand at other entries.
  /// @param source the entry, or the relay whose totals these are
  void OnTotals(const std::string& source,
                const DemandTotals& totals,
                TimePoint now);
  void ForgetSource(const std::string& source) { sources_.erase(source); }
  /// Forgets teams that are not in the configuration.
  void KeepTeams(const std::set<uint64_t>& teams);

  /// Number of promises that were dropped since their clients did not come
  /// back.
  uint64_t expired_promises() const { return expired_promises_; }

 private:
  using TeamRank = std::pair<uint64_t, int>;

  struct Team {
    RankDemand demand;
    RefillReservations reservations;
    TimePoint last_short;
    /// Own demand while the rate was short, by rank, and what of it was
    /// reported.
    std::map<int, double> totals;
    std::set<int> unreported;

    explicit Team(const RefillReservations::Options& options)
        : reservations(options) {}
  };

  Team& TeamOf(uint64_t team) {
    return teams_.try_emplace(team, options_.reservations).first->second;
  }
  /// Drops promises whose clients did not come back.
  void Expire(Team& team, TimePoint now);
  /// Returns whether another promise may be kept; drops the old ones of all
  /// teams, at most once a second, if there are too many.
  bool HasRoomForPromise(TimePoint now);
  void CountDemand(Team& team, const Request& request, TimePoint now);
  void SetRetryAfter(Team& team,
                     const Request& request,
                     size_t entries,
                     TimePoint now,
                     Decision& decision);

  Options options_;
  RankReserve reserve_;
  std::unordered_map<uint64_t, Team> teams_;
  /// Teams with demand that is not reported yet.
  std::set<uint64_t> unreported_teams_;
  /// Where the next report begins.
  uint64_t report_from_ = 0;
  /// Totals of others, by source.
  std::map<std::string, std::map<TeamRank, double>> sources_;
  TimePoint last_report_;
  uint64_t expired_promises_ = 0;
  size_t promises_ = 0;
  TimePoint last_sweep_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RATES_RANKED_RATES_H_
