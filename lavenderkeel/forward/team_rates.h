#ifndef LAVENDERKEEL_FORWARD_TEAM_RATES_H_
#define LAVENDERKEEL_FORWARD_TEAM_RATES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/draw_relay.h"
#include "lavenderkeel/forward/rate_share.h"
#include "lavenderkeel/forward/route_table.h"
#include "lavenderkeel/forward/team_bucket.h"

namespace lavenderkeel {

/// What each team may still ask for, over all entries.
class TeamRates {
 public:
  struct Options {
    TeamBucket::Tolerance tolerance;
    RateShare::Options share;
  };

  /// Why units were not taken, and what was decided on.
  struct Shortage {
    /// Until they are there, or until it is known whether they are.
    Duration wait{};
    /// This entry does not know yet what the others let through.
    bool undecided = false;
    double level = 0;
    double drawn_here = 0;
    double share = 1;

    friend bool operator==(const Shortage&, const Shortage&) = default;
  };

  /// @param started when this entry did
  TeamRates(const Options& options, TimePoint started)
      : options_(options), started_(started), share_(options.share, started) {}

  /// Takes the units from the team's rate.
  /// @return nothing if they were there
  std::optional<Shortage> Take(const TeamTerms& team,
                               double units,
                               TimePoint now);

  /// What this entry let through, for the others.
  DrawTotals totals() const;
  void OnPeerTotals(const std::string& peer,
                    const DrawTotals& totals,
                    TimePoint now);
  /// What a coordinator passes on of other entries' draws.
  void OnRelayedTotals(const std::string& coordinator,
                       const DrawTotals& totals,
                       TimePoint now);
  /// Of a coordinator also what it passed on.
  void ForgetPeer(const std::string& peer);

  RateShare& share() { return share_; }
  const RateShare& share() const { return share_; }

 private:
  /// @param first_when_joined how the first total of a source is taken, unless
  ///     this entry joins together with it
  void Count(const std::string& source,
             const DrawTotals& totals,
             TeamBucket::FirstTotal first_when_joined,
             TimePoint now);
  TeamBucket& BucketOf(uint64_t team);

  Options options_;
  TimePoint started_;
  RateShare share_;
  /// By the hash of the team's name.
  std::map<uint64_t, TeamBucket> buckets_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_TEAM_RATES_H_
