#include "lavenderkeel/rates/rank_demand.h"

#include <algorithm>

namespace lavenderkeel {

RankDemand::Rank& RankDemand::RankOf(int rank) {
  const auto found = std::ranges::lower_bound(ranks_, rank, {}, &Rank::rank);
  if (found != ranks_.end() && found->rank == rank) {
    return *found;
  }
  if (ranks_.size() >= kMaxRanks) {
    return ranks_.back();
  }
  return *ranks_.insert(found, Rank{.rank = rank});
}

void RankDemand::OnRequest(int rank, double units, TimePoint now) {
  Rank& demand = RankOf(rank);
  demand.own.Add(units, now);
  if (demand.pending == 0) {
    demand.pending_since = now;
    demand.own_delayed.Start(now);
  }
  demand.pending += units;
  if (now - demand.pending_since >= kReportDelay) {
    demand.own_delayed.Add(demand.pending, now);
    demand.pending = 0;
  }
}

void RankDemand::OnReported(int rank, double units, TimePoint now) {
  Rank& demand = RankOf(rank);
  demand.others.Start(now);
  if (units > 0) {
    demand.others.Add(units, now);
  }
}

RankDemand::Rates RankDemand::RatesFor(int rank, TimePoint now) const {
  Rates rates;
  double own = 0;
  double others = 0;
  for (const Rank& demand : ranks_) {
    const double of_others = demand.others.PerSecond(now);
    const double total = demand.own.PerSecond(now) + of_others;
    if (demand.rank < rank) {
      rates.more_urgent += total;
    } else if (demand.rank == rank) {
      rates.rank = total;
    }
    if (&demand != &ranks_.back()) {
      rates.all_but_last += total;
    }
    own += demand.own_delayed.PerSecond(now);
    others += of_others;
  }
  rates.own_share = own + others > 0 ? own / (own + others) : 0;
  return rates;
}

}  // namespace lavenderkeel
