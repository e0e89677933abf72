#include "lavenderkeel/forward/team_rates.h"

#include <set>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

/// A bucket counts the usage that a coordinator relays apart from the
/// coordinator's own.
std::string RelayName(const std::string& coordinator) {
  return coordinator + "/relay";
}

}  // namespace

TeamRates::Outcome TeamRates::Take(const TeamConfig& team,
                                   const Request& request,
                                   TimePoint now) {
  TeamTokenBucket& bucket = BucketOf(HashBytes(team.name));
  const TeamRate target =
      TeamTokenBucket::TargetRate(team.rate, options_.tolerance);
  const bool is_joining = share_.IsJoining(now);
  const bool is_limited = target.per_second > 0 && target.burst > 0;
  if (options_.by_rank && request.rank.has_value() && is_limited &&
      !is_joining) {
    return TakeByRank(team, request, bucket, now);
  }
  std::optional<Duration> wait;
  if (!is_joining) {
    wait = bucket.Take(target, request.units, share_.ShareAt(now), now);
  } else if (!bucket.TakeShare(target, request.units, share_.ShareAt(now),
                               now)) {
    wait = share_.join_deadline() - now;
  }
  if (!wait.has_value()) {
    return {};
  }
  return {.shortage = Shortage{.wait = *wait,
                               .undecided = is_joining,
                               .level = bucket.level(),
                               .drawn_here = bucket.used(),
                               .share = share_.ShareAt(now)}};
}

TeamRates::Outcome TeamRates::TakeByRank(const TeamConfig& team,
                                         const Request& request,
                                         TeamTokenBucket& bucket,
                                         TimePoint now) {
  const TeamRate target =
      TeamTokenBucket::TargetRate(team.rate, options_.tolerance);
  const double share = share_.ShareAt(now);
  bucket.Refill(target, share, now);
  const RankedRates::Decision decision =
      ranked_.Decide({.team = HashBytes(team.name),
                      .rank = *request.rank,
                      .units = request.units,
                      .id_hash = HashBytes(request.id),
                      .deadline = request.deadline,
                      .is_retry = request.is_retry,
                      .max_wait = request.max_wait},
                     {.level = bucket.level(),
                      .capacity = target.burst * share,
                      .refill = target.per_second * share},
                     share_.EntryCount(now), now);
  Outcome outcome{.by_rank = decision, .share = share};
  // The bucket has the last word, so its bound holds whatever was decided.
  const std::optional<Duration> wait =
      decision.admitted ? bucket.Take(target, request.units, share, now)
                        : decision.retry_after;
  if (wait.has_value()) {
    outcome.shortage = Shortage{.wait = *wait,
                                .level = bucket.level(),
                                .drawn_here = bucket.used(),
                                .share = share};
  }
  outcome.drawn_here = bucket.used();
  return outcome;
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

void TeamRates::OnPeerDemand(const std::string& peer,
                             const DemandTotals& totals,
                             TimePoint now) {
  if (options_.by_rank) {
    ranked_.OnTotals(peer, totals, now);
  }
}

void TeamRates::OnRelayedDemand(const std::string& coordinator,
                                const DemandTotals& totals,
                                TimePoint now) {
  if (options_.by_rank) {
    ranked_.OnTotals(RelayName(coordinator), totals, now);
  }
}

void TeamRates::OnRouteTable(const RouteTable& table) {
  std::set<uint64_t> teams;
  for (const TeamConfig& team : table.content().teams) {
    teams.insert(HashBytes(team.name));
  }
  ranked_.KeepTeams(teams);
}

void TeamRates::CountTotals(const std::string& source,
                            const UsageTotals& totals,
                            TeamTokenBucket::FirstTotal first_total_after_join,
                            TimePoint now) {
  const TeamTokenBucket::FirstTotal first =
      share_.CountsAllUsage(now) ? TeamTokenBucket::FirstTotal::kStartedTogether
                                 : first_total_after_join;
  for (const auto& [team, total] : totals) {
    BucketOf(team).OnPeerTotal(source, total, first);
  }
}

void TeamRates::ForgetPeer(const std::string& peer) {
  ranked_.ForgetSource(peer);
  ranked_.ForgetSource(RelayName(peer));
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
