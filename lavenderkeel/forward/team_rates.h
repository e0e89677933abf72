#ifndef LAVENDERKEEL_FORWARD_TEAM_RATES_H_
#define LAVENDERKEEL_FORWARD_TEAM_RATES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/rate_share.h"
#include "lavenderkeel/forward/route_table.h"
#include "lavenderkeel/forward/team_token_bucket.h"
#include "lavenderkeel/forward/usage_relay.h"

namespace lavenderkeel {

/// Rate limits of all teams, over all entries.
class TeamRates {
 public:
  struct Options {
    TeamTokenBucket::Tolerance tolerance;
    RateShare::Options share;
    /// Whether a team's rate is reserved for its more urgent routes.
    bool by_rank = false;
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

    friend bool operator==(const Shortage&, const Shortage&) = default;
  };

  /// @param start start time of this entry
  TeamRates(const Options& options, TimePoint start)
      : options_(options), start_(start), share_(options.share, start) {}

  /// Takes the units from the team's rate.
  /// @return nothing if the units were available
  std::optional<Shortage> Take(const TeamConfig& team,
                               double units,
                               TimePoint now);

  /// Returns the units that this entry let through, for reports to the others.
  UsageTotals totals() const;
  void OnPeerTotals(const std::string& peer,
                    const UsageTotals& totals,
                    TimePoint now);
  /// Counts the usage of other entries that a coordinator relays.
  void OnRelayedTotals(const std::string& coordinator,
                       const UsageTotals& totals,
                       TimePoint now);
  /// Forgets the peer; of a coordinator also the usage that it relayed.
  void ForgetPeer(const std::string& peer);

  RateShare& share() { return share_; }
  const RateShare& share() const { return share_; }

 private:
  /// @param first_total_after_join how the first total of a source counts,
  ///     unless this entry is still joining
  void CountTotals(const std::string& source,
                   const UsageTotals& totals,
                   TeamTokenBucket::FirstTotal first_total_after_join,
                   TimePoint now);
  TeamTokenBucket& BucketOf(uint64_t team);

  Options options_;
  TimePoint start_;
  RateShare share_;
  /// By the hash of the team's name.
  std::map<uint64_t, TeamTokenBucket> buckets_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_TEAM_RATES_H_
