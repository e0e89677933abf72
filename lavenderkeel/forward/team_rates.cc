#include "lavenderkeel/forward/team_rates.h"

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

/// A bucket counts the usage that a coordinator relays apart from the
/// coordinator's own.
std::string RelayName(const std::string& coordinator) {
  return coordinator + "/relay";
}

}  // namespace

std::optional<TeamRates::Shortage> TeamRates::Take(const TeamConfig& team,
                                                   double units,
                                                   TimePoint now) {
  TeamTokenBucket& bucket = BucketOf(HashBytes(team.name));
  const TeamRate target =
      TeamTokenBucket::TargetRate(team.rate, options_.tolerance);
  const bool is_joining = share_.IsJoining(now);
  std::optional<Duration> wait;
  if (!is_joining) {
    wait = bucket.Take(target, units, share_.ShareAt(now), now);
  } else if (!bucket.TakeShare(target, units, share_.ShareAt(now), now)) {
    wait = share_.join_deadline() - now;
  }
  if (!wait.has_value()) {
    return std::nullopt;
  }
  return Shortage{.wait = *wait,
                  .undecided = is_joining,
                  .level = bucket.level(),
                  .drawn_here = bucket.used(),
                  .share = share_.ShareAt(now)};
}

UsageTotals TeamRates::totals() const {
  UsageTotals totals;
  for (const auto& [team, bucket] : buckets_) {
    if (bucket.used() > 0) {
      totals.emplace_back(team, bucket.used());
    }
  }
  return totals;
}

void TeamRates::OnPeerTotals(const std::string& peer,
                             const UsageTotals& totals,
                             TimePoint now) {
  CountTotals(peer, totals, TeamTokenBucket::FirstTotal::kLongRunning, now);
}

void TeamRates::OnRelayedTotals(const std::string& coordinator,
                                const UsageTotals& totals,
                                TimePoint now) {
  CountTotals(RelayName(coordinator), totals,
              TeamTokenBucket::FirstTotal::kAlreadyCounted, now);
}

void TeamRates::CountTotals(const std::string& source,
                            const UsageTotals& totals,
                            TeamTokenBucket::FirstTotal first_total_after_join,
                            TimePoint now) {
  const TeamTokenBucket::FirstTotal first =
      share_.IsJoining(now) ? TeamTokenBucket::FirstTotal::kStartedTogether
                            : first_total_after_join;
  for (const auto& [team, total] : totals) {
    BucketOf(team).OnPeerTotal(source, total, first);
  }
}

void TeamRates::ForgetPeer(const std::string& peer) {
  for (auto& [team, bucket] : buckets_) {
    bucket.ForgetPeer(peer);
    bucket.ForgetPeer(RelayName(peer));
  }
}

TeamTokenBucket& TeamRates::BucketOf(uint64_t team) {
  const TeamTokenBucket::Tolerance& tolerance = options_.tolerance;
  const double initial_level =
      tolerance.slack * (1 - tolerance.used_fraction_of_slack);
  return buckets_.try_emplace(team, start_, initial_level).first->second;
}

}  // namespace lavenderkeel
