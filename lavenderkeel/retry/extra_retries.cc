#include "lavenderkeel/retry/extra_retries.h"

#include <algorithm>

namespace lavenderkeel {

double ExtraRetries::Left(TimePoint now, const ExtraShare& share) const {
  const double burst = std::min(
      share.retries, std::max(1.0, options_.burst_fraction * share.retries));
  const double per_second =
      (share.retries - burst) / ToSeconds(options_.window);
  double left = burst;
  int used = 0;
  for (auto use = uses_.rbegin(); use != uses_.rend(); ++use) {
    const Duration since = now - *use;
    if (since > options_.window) {
      break;
    }
    ++used;
    left = std::min(left, burst + per_second * ToSeconds(since) - used);
  }
  if (!share.since.has_value() || now - *share.since > options_.window) {
    return left;
  }
  return std::min(left, per_second * ToSeconds(now - *share.since) - used);
}

void ExtraRetries::Use(TimePoint now, int retries) {
  while (!uses_.empty() && now - uses_.front() > options_.window) {
    uses_.pop_front();
  }
  uses_.insert(uses_.end(), static_cast<size_t>(retries), now);
}

void ExtraRetries::GiveBack(TimePoint used_at) {
  const auto use = std::ranges::find(uses_, used_at);
  if (use != uses_.end()) {
    uses_.erase(use);
  }
}

}  // namespace lavenderkeel
