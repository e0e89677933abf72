#include "lavenderkeel/notice/server_rate_limiter.h"

#include <algorithm>

namespace lavenderkeel {

double ServerRateLimiter::TokensOf(const Bucket* bucket, double limit) const {
  if (bucket == nullptr) {
    return 1;
  }
  const double rate = std::max(limit, options_.min_rate) * share_;
  const double max_tokens = 1 + rate * ToSeconds(options_.burst_time);
  const double refill = rate * ToSeconds(clock_.Now() - bucket->filled_at);
  return std::min(max_tokens, bucket->tokens + refill);
}

std::optional<int> ServerRateLimiter::Permits(const std::string& server) const {
  const ServerNotice* notice = notices_.Find(server, NoticeKind::kRateLimit);
  if (notice == nullptr) {
    return std::nullopt;
  }
  const auto found = buckets_.find(server);
  const Bucket* bucket = found == buckets_.end() ? nullptr : &found->second;
  return static_cast<int>(TokensOf(bucket, notice->value));
}

void ServerRateLimiter::Take(const std::string& server) {
  const ServerNotice* notice = notices_.Find(server, NoticeKind::kRateLimit);
  if (notice == nullptr) {
    return;
  }
  const auto [found, added] = buckets_.try_emplace(server);
  const double tokens =
      TokensOf(added ? nullptr : &found->second, notice->value);
  found->second = {.tokens = tokens - 1, .filled_at = clock_.Now()};
}

void ServerRateLimiter::Tick() {
  std::erase_if(buckets_, [this](const auto& item) {
    return notices_.Find(item.first, NoticeKind::kRateLimit) == nullptr;
  });
}

}  // namespace lavenderkeel
