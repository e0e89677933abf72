#include "lavenderkeel/rates/ranked_rates.h"

#include <algorithm>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

/// No client waits longer, and far longer times are not representable.
constexpr Duration kMaxRetryAfter = std::chrono::hours(1);

/// Returns a number from 0 to 1, the same for equal arguments.
double UnitInterval(uint64_t hash, uint64_t purpose) {
  constexpr uint64_t kSteps = 1'000'000;
  const std::string_view bytes(reinterpret_cast<const char*>(&hash),
                               sizeof(hash));
  return static_cast<double>(HashBytes(bytes, purpose) % kSteps) /
         static_cast<double>(kSteps);
}

constexpr uint64_t kForAdmission = 1;
constexpr uint64_t kForSpread = 2;

}  // namespace

RankedRates::Decision RankedRates::Decide(const Request& request,
                                          const Bucket& bucket,
                                          size_t entries,
                                          TimePoint now) {
  Team& team = TeamOf(request.team);
  Expire(team, now);
  Decision decision;
  if (bucket.level < bucket.capacity * options_.short_below) {
    team.last_short = now;
  }
  decision.is_short = team.last_short != TimePoint() &&
                      now - team.last_short <= options_.short_for;
  CountDemand(team, request, now);
  const RankDemand::Rates rates = team.demand.RatesFor(request.rank, now);
  decision.own_share = rates.own_share;
  decision.redeemed = team.reservations.Redeem(request.rank, request.deadline,
                                               request.is_retry);
  promises_ -= decision.redeemed ? 1 : 0;
  decision.inputs = {.level = bucket.level,
                     .capacity = bucket.capacity,
                     .refill = bucket.refill,
                     // A request larger than the bucket passes with a full one.
                     .need = std::min(request.units, bucket.capacity),
                     .more_urgent_demand = rates.more_urgent,
                     .rank_demand = rates.rank,
                     .all_but_last_demand = rates.all_but_last,
                     .held = decision.redeemed
                                 ? 0
                                 : team.reservations.HeldUnits(request.rank)};
  decision.reserve = reserve_.For(decision.inputs);
  decision.report_age = last_report_ == TimePoint()
                            ? std::chrono::milliseconds(-1)
                            : now - last_report_;
  // What was promised is not left to chance.
  decision.admitted = decision.redeemed
                          ? bucket.level >= decision.inputs.need +
                                                options_.redeemed_reserve_part *
                                                    decision.reserve.reserve
                          : UnitInterval(request.id_hash, kForAdmission) <
                                decision.reserve.admitted_part;
  if (!decision.admitted) {
    SetRetryAfter(team, request, entries, now, decision);
  }
  return decision;
}

void RankedRates::CountDemand(Team& team,
                              const Request& request,
                              TimePoint now) {
  team.demand.OnRequest(request.rank, request.units, now);
  // Other entries compare the totals of successive reports, so what was asked
  // for while nothing was reported must not be added later.
  const bool is_short = team.last_short != TimePoint() &&
                        now - team.last_short <= options_.short_for;
  if (is_short && (team.totals.contains(request.rank) ||
                   team.totals.size() < RankDemand::kMaxRanks)) {
    team.totals[request.rank] += request.units;
    team.unreported.insert(request.rank);
    unreported_teams_.insert(request.team);
  }
}

void RankedRates::SetRetryAfter(Team& team,
                                const Request& request,
                                size_t entries,
                                TimePoint now,
                                Decision& decision) {
  const RankReserve::Inputs& inputs = decision.inputs;
  const double equal_share =
      1 / static_cast<double>(std::max<size_t>(1, entries));
  // Rounding and late reports must not make the share of a small entry zero.
  constexpr double kMinOfEqualShare = 0.1;
  const double share =
      decision.own_share > 0
          ? std::max(decision.own_share, equal_share * kMinOfEqualShare)
          : equal_share;
  const double places_per_second =
      options_.promised_part * share * RankReserve::RefillLeft(inputs);
  decision.promised_before = team.reservations.UnitsAhead(request.rank);
  const double deficit =
      std::max(0.0, inputs.need + decision.reserve.reserve - inputs.level);
  const double seconds =
      deficit / inputs.refill +
      (decision.promised_before + inputs.need) / places_per_second +
      ToSeconds(options_.spread) * UnitInterval(request.id_hash, kForSpread);
  decision.retry_after =
      FromSeconds(std::min(seconds, ToSeconds(kMaxRetryAfter)));
  // Clients come back once, and only if the time is short enough; refill is not
  // reserved for the others.
  decision.promised =
      !request.is_retry && !decision.redeemed &&
      decision.retry_after <= request.max_wait && HasRoomForPromise(now) &&
      team.reservations.Promise(request.rank, inputs.need,
                                now + decision.retry_after, request.deadline);
  promises_ += decision.promised ? 1 : 0;
}

void RankedRates::Expire(Team& team, TimePoint now) {
  const size_t dropped = team.reservations.Advance(now);
  expired_promises_ += dropped;
  promises_ -= dropped;
}

bool RankedRates::HasRoomForPromise(TimePoint now) {
  constexpr Duration kSweepPeriod = std::chrono::seconds(1);
  if (promises_ >= options_.max_promises && now - last_sweep_ > kSweepPeriod) {
    last_sweep_ = now;
    for (auto& [hash, team] : teams_) {
      Expire(team, now);
    }
  }
  return promises_ < options_.max_promises;
}

DemandTotals RankedRates::TakeReport(TimePoint now) {
  DemandTotals report;
  auto next = unreported_teams_.lower_bound(report_from_);
  while (!unreported_teams_.empty() && report.size() < options_.max_reported) {
    if (next == unreported_teams_.end()) {
      next = unreported_teams_.begin();
    }
    report_from_ = *next;
    Team& team = TeamOf(*next);
    Expire(team, now);
    for (const int rank : team.unreported) {
      report.push_back(
          {.team = *next, .rank = rank, .units = team.totals[rank]});
    }
    team.unreported.clear();
    next = unreported_teams_.erase(next);
  }
  return report;
}

void RankedRates::OnTotals(const std::string& source,
                           const DemandTotals& totals,
                           TimePoint now) {
  if (totals.empty()) {
    return;
  }
  last_report_ = now;
  std::map<TeamRank, double>& known = sources_[source];
  for (const TeamRankDemand& total : totals) {
    const auto [position, is_first] =
        known.try_emplace({total.team, total.rank}, total.units);
    // The first total tells nothing about a rate. A smaller one is that of a
    // sender that forgot the team meanwhile.
    const double units =
        is_first ? 0 : std::max(0.0, total.units - position->second);
    position->second = total.units;
    TeamOf(total.team).demand.OnReported(total.rank, units, now);
  }
}

void RankedRates::KeepTeams(const std::set<uint64_t>& teams) {
  std::erase_if(teams_, [&](const auto& item) {
    const bool is_dropped = !teams.contains(item.first);
    promises_ -= is_dropped ? item.second.reservations.size() : 0;
    return is_dropped;
  });
  std::erase_if(unreported_teams_,
                [&](uint64_t team) { return !teams.contains(team); });
  for (auto& [source, totals] : sources_) {
    std::erase_if(totals, [&](const auto& item) {
      return !teams.contains(item.first.first);
    });
  }
}

}  // namespace lavenderkeel
