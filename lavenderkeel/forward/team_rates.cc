#include "lavenderkeel/forward/team_rates.h"

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

/// A bucket counts what a coordinator passes on apart from its own draws.
std::string RelayName(const std::string& coordinator) {
  return coordinator + "/relay";
}

}  // namespace

std::optional<TeamRates::Shortage> TeamRates::Take(const TeamTerms& team,
                                                   double units,
                                                   TimePoint now) {
  TeamBucket& bucket = BucketOf(HashBytes(team.name));
  const TeamRate aim = TeamBucket::Aim(team.rate, options_.tolerance);
  const bool joining = share_.Joining(now);
  std::optional<Duration> wait;
  if (!joining) {
    wait = bucket.Take(aim, units, share_.At(now), now);
  } else if (!bucket.TakePart(aim, units, share_.At(now), now)) {
    wait = share_.joined_by() - now;
  }
  if (!wait.has_value()) {
    return std::nullopt;
  }
  return Shortage{.wait = *wait,
                  .undecided = joining,
                  .level = bucket.level(),
                  .drawn_here = bucket.used(),
                  .share = share_.At(now)};
}

DrawTotals TeamRates::totals() const {
  DrawTotals totals;
  for (const auto& [team, bucket] : buckets_) {
    if (bucket.used() > 0) {
      totals.emplace_back(team, bucket.used());
    }
  }
  return totals;
}

void TeamRates::OnPeerTotals(const std::string& peer,
                             const DrawTotals& totals,
                             TimePoint now) {
  Count(peer, totals, TeamBucket::FirstTotal::kOld, now);
}

void TeamRates::OnRelayedTotals(const std::string& coordinator,
                                const DrawTotals& totals,
                                TimePoint now) {
  Count(RelayName(coordinator), totals, TeamBucket::FirstTotal::kCounted, now);
}

void TeamRates::Count(const std::string& source,
                      const DrawTotals& totals,
                      TeamBucket::FirstTotal first_when_joined,
                      TimePoint now) {
  const TeamBucket::FirstTotal first =
      share_.Joining(now) ? TeamBucket::FirstTotal::kRecent : first_when_joined;
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

TeamBucket& TeamRates::BucketOf(uint64_t team) {
  const TeamBucket::Tolerance& tolerance = options_.tolerance;
  const double unused = tolerance.slack * (1 - tolerance.used_slack);
  return buckets_.try_emplace(team, started_, unused).first->second;
}

}  // namespace lavenderkeel
