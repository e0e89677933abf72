#include "lavenderkeel/overload/group_load.h"

#include <algorithm>

namespace lavenderkeel {

namespace {

SlotRank RankOf(const RankLoad& load) {
  return {.priority = load.priority, .route_priority = load.route_priority};
}

const RankLoad* FindRank(const SlotGroupReport& report, const RankLoad& like) {
  const auto found = std::ranges::find_if(
      report.ranks,
      [&like](const RankLoad& load) { return RankOf(load) == RankOf(like); });
  return found == report.ranks.end() ? nullptr : &*found;
}

}  // namespace

void GroupLoad::OnReport(const std::string& scheduler,
                         const SlotGroupReport& report,
                         TimePoint now) {
  const bool restarted =
      !reports_.empty() &&
      std::ranges::any_of(report.ranks, [this](const RankLoad& load) {
        const RankLoad* former = FindRank(reports_.back().report, load);
        return former != nullptr && former->granted > load.granted;
      });
  if (scheduler != scheduler_ || restarted) {
    reports_.clear();
    scheduler_ = scheduler;
  }
  reports_.push_back({.at = now, .report = report});
  while (now - reports_.front().at > kWindow) {
    reports_.pop_front();
  }
  UpdateRates();
}

void GroupLoad::UpdateRates() {
  ranks_.clear();
  grants_seen_ = 0;
  double busy_seconds = 0;
  for (size_t i = 1; i < reports_.size(); ++i) {
    const Report& from = reports_[i - 1];
    const Report& to = reports_[i];
    if (from.report.waiting == 0 || to.report.waiting == 0) {
      continue;
    }
    busy_seconds += ToSeconds(to.at - from.at);
    for (const RankLoad& load : to.report.ranks) {
      const RankLoad* former = FindRank(from.report, load);
      // The total of a rank that was not reported says nothing about the time
      // between the reports.
      const uint64_t granted =
          former == nullptr ? 0 : load.granted - former->granted;
      RankRates& rates = ranks_[RankOf(load)];
      grants_seen_ += granted;
      rates.granted_per_second += static_cast<double>(granted);
      const double growth = static_cast<double>(load.waiting) -
                            (former == nullptr ? 0 : former->waiting);
      const double late_growth = static_cast<double>(load.late) -
                                 (former == nullptr ? 0 : former->late);
      rates.growth_per_second += growth;
      rates.in_time_growth_per_second += growth - late_growth;
    }
  }
  if (busy_seconds > 0) {
    for (auto& [rank, rates] : ranks_) {
      rates.granted_per_second /= busy_seconds;
      rates.growth_per_second /= busy_seconds;
      rates.in_time_growth_per_second /= busy_seconds;
    }
  }
  for (const RankLoad& load : reports_.back().report.ranks) {
    RankRates& rates = ranks_[RankOf(load)];
    rates.late = std::min(load.late, load.waiting);
    rates.in_time = load.waiting - rates.late;
  }
}

}  // namespace lavenderkeel
