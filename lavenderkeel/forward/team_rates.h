#ifndef LAVENDERKEEL_FORWARD_TEAM_RATES_H_
#define LAVENDERKEEL_FORWARD_TEAM_RATES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/rate_share.h"
#include "lavenderkeel/forward/route_table.h"
#include "lavenderkeel/forward/team_token_bucket.h"
#include "lavenderkeel/forward/usage_relay.h"
#include "lavenderkeel/rates/ranked_rates.h"

namespace lavenderkeel {

/// Rate limits of all teams, over all entries.
class TeamRates {
 public:
  struct Options {
    TeamTokenBucket::Tolerance tolerance;
    RateShare::Options share;
    /// Whether a team's rate is reserved for its more urgent routes.
    bool by_rank = false;
    RankedRates::Options ranked = {};
  };

  /// A request as the rate of its team sees it.
  struct Request {
    double units = 1;
    /// Priority of the route; nothing if the routes have no different ones.
    std::optional<int> rank;
    std::string_view id;
    /// When the client gives up.
    TimePoint deadline;
    /// The client was refused before and is back.
    bool is_retry = false;
    /// The longest time that the client can wait before it is back.
    Duration max_wait{};
  };

  /// Reason why units were not taken, and the values behind the decision.
  struct Shortage {
    /// Time until the units are available, or until that is known.
    Duration wait{};
    /// Whether this entry does not know the usage of the others yet.
    bool undecided = false;
    double level = 0;
    double drawn_here = 0;
    double share = 1;
  };

  struct Outcome {
    /// Nothing if the units were taken.
    std::optional<Shortage> shortage;
    /// Nothing if the rank of the request was not considered.
    std::optional<RankedRates::Decision> by_rank;
    /// Units that this entry let through, and its share of the rate.
    double drawn_here = 0;
    double share = 1;
  };

  /// @param start start time of this entry
  TeamRates(const Options& options, TimePoint start)
      : options_(options),
        start_(start),
        share_(options.share, start),
        ranked_(options.ranked) {}

  /// Takes the units of the request from the team's rate.
  Outcome Take(const TeamConfig& team, const Request& request, TimePoint now);

  /// Returns the units that this entry let through, for reports to the others.
  UsageTotals totals() const;
  void OnPeerTotals(const std::string& peer,
                    const UsageTotals& totals,
                    TimePoint now);
  /// Counts the usage of other entries that a coordinator relays.
  void OnRelayedTotals(const std::string& coordinator,
                       const UsageTotals& totals,
                       TimePoint now);
  /// Returns what teams asked for at this entry, as far as it changed since the
  /// last call.
  DemandTotals TakeDemand(TimePoint now) { return ranked_.TakeReport(now); }
  void OnPeerDemand(const std::string& peer,
                    const DemandTotals& totals,
                    TimePoint now);
  /// Counts the demand at other entries that a coordinator relays.
  void OnRelayedDemand(const std::string& coordinator,
                       const DemandTotals& totals,
                       TimePoint now);
  /// Forgets the demand of teams that the configuration does not have.
  void OnRouteTable(const RouteTable& table);
  uint64_t expired_promises() const { return ranked_.expired_promises(); }
  /// Forgets the peer; of a coordinator also the usage that it relayed.
  void ForgetPeer(const std::string& peer);

  RateShare& share() { return share_; }
  const RateShare& share() const { return share_; }

 private:
  /// @param first_total_after_join how the first total of a source counts,
  ///     unless this entry has just started together with all others
  void CountTotals(const std::string& source,
                   const UsageTotals& totals,
                   TeamTokenBucket::FirstTotal first_total_after_join,
                   TimePoint now);
  TeamTokenBucket& BucketOf(uint64_t team);

  /// Decides by the rank of the request and takes the units if it is admitted.
  Outcome TakeByRank(const TeamConfig& team,
                     const Request& request,
                     TeamTokenBucket& bucket,
                     TimePoint now);

  Options options_;
  TimePoint start_;
  RateShare share_;
  RankedRates ranked_;
  /// By the hash of the team's name.
  std::map<uint64_t, TeamTokenBucket> buckets_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_TEAM_RATES_H_
