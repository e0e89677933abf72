#include "lavenderkeel/overload/service_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavenderkeel {

namespace {

/// Time constant of the rate of this entry's slot requests.
constexpr Duration kOwnRateTime = std::chrono::seconds(1);

}  // namespace

void ServiceLoad::OnReport(const std::string& scheduler,
                           const SlotGroupReport& report,
                           TimePoint now) {
  groups_[report.group].OnReport(scheduler, report, now);
  // The group has another scheduler, or the groups were divided anew.
  std::erase_if(groups_, [now](const auto& item) {
    return now - item.second.reported_at() > GroupLoad::kWindow;
  });
  // Each group has about an equal part of the requests.
  const double unreported = 1 - 1 / static_cast<double>(groups_.size());
  for (auto& [rank, sent] : sent_) {
    sent.in_time *= unreported;
    sent.late *= unreported;
  }
  UpdateSums(now);
}

void ServiceLoad::UpdateSums(TimePoint now) {
  ranks_.clear();
  oldest_report_ = now;
  grants_seen_ = 0;
  has_free_slots_ = false;
  all_have_ranks_ = true;
  for (const auto& [group, load] : groups_) {
    oldest_report_ = std::min(oldest_report_, load.reported_at());
    grants_seen_ += load.grants_seen();
    // A request goes to the group with the shortest queue.
    has_free_slots_ = has_free_slots_ || load.free() > 0 || load.waiting() == 0;
    all_have_ranks_ = all_have_ranks_ && load.has_ranks();
    for (const auto& [rank, rates] : load.ranks()) {
      ranks_[rank] += rates;
    }
  }
  std::erase_if(
      sent_, [this](const auto& item) { return !ranks_.contains(item.first); });
  const Duration elapsed = now - own_rate_at_;
  if (elapsed <= Duration::zero()) {
    return;
  }
  own_rate_at_ = now;
  const double weight =
      std::min(1.0, ToSeconds(elapsed) / ToSeconds(kOwnRateTime));
  own_rate_ += weight * (std::exchange(sent_since_rate_, 0) /
                             std::max(ToSeconds(elapsed), 1e-3) -
                         own_rate_);
  double arrivals = 0;
  for (const auto& [rank, rates] : ranks_) {
    arrivals +=
        rates.granted_per_second + std::max(0.0, rates.growth_per_second);
  }
  own_share_ = arrivals > own_rate_ ? own_rate_ / arrivals : 1;
}

void ServiceLoad::OnSlotRequest(const SlotRank& rank, bool late) {
  Sent& sent = sent_[rank];
  ++(late ? sent.late : sent.in_time);
  ++sent_since_rate_;
}

std::optional<QueueAhead> ServiceLoad::Predict(const SlotRank& rank,
                                               TimePoint now) const {
  if (has_free_slots_ || !all_have_ranks_ ||
      grants_seen_ < options_.min_grants ||
      now - oldest_report_ > options_.max_report_age) {
    return std::nullopt;
  }
  const double age = ToSeconds(now - oldest_report_);
  QueueAhead ahead{.report_age = now - oldest_report_};
  double urgent_growth = 0;
  for (const auto& [other, rates] : ranks_) {
    ahead.total_rate += rates.granted_per_second;
    if (other > rank) {
      ahead.rank_rate += rates.granted_per_second;
      continue;
    }
    ahead.growth += rates.growth_per_second;
    // Since the report: what this entry sent, or by its rate what all sent.
    const auto found = sent_.find(other);
    const Sent sent = found == sent_.end() ? Sent{} : found->second;
    if (other == rank) {
      ahead.rank_rate += rates.granted_per_second;
      ahead.late = rates.late + sent.late;
      ahead.requests +=
          rates.in_time +
          std::max(sent.in_time, age * (rates.granted_per_second +
                                        rates.in_time_growth_per_second));
    } else {
      urgent_growth += std::max(0.0, rates.growth_per_second);
      ahead.requests +=
          rates.in_time + rates.late +
          std::max(sent.in_time + sent.late,
                   age * (rates.granted_per_second + rates.growth_per_second));
    }
  }
  ahead.rank_rate = std::max(0.0, ahead.rank_rate - urgent_growth);
  ahead.requests = std::max(0.0, ahead.requests - age * ahead.total_rate);
  return ahead;
}

bool ServiceLoad::IsUnused(TimePoint now) const {
  return std::ranges::all_of(groups_, [now](const auto& item) {
    return now - item.second.reported_at() > GroupLoad::kWindow;
  });
}

}  // namespace lavenderkeel
