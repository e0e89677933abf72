#ifndef LAVENDERKEEL_DISPATCH_TEAM_USAGE_H_
#define LAVENDERKEEL_DISPATCH_TEAM_USAGE_H_

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/result_code.h"
#include "lavenderkeel/config/config.h"

namespace lavenderkeel {

/// The usage of each team's limits at this entry. Idle teams are removed,
/// unless they have a token rate.
class TeamUsage {
 public:
  struct Refusal {
    ResultCode code = ResultCode::kTeamWaitingLimit;
    Duration retry_after;
  };

  /// Counts an admitted request, or returns the limit that refuses it.
  std::optional<Refusal> Admit(const Team& team,
                               uint32_t prompt_tokens,
                               TimePoint now) {
    Usage& usage = usage_[team.name];
    const uint32_t max_requests = team.limits.running + team.limits.waiting;
    const bool is_limited = team.limits.running > 0 && team.limits.waiting > 0;
    if (is_limited && usage.requests >= max_requests) {
      return Refusal{.code = ResultCode::kTeamWaitingLimit,
                     .retry_after = std::chrono::seconds(1)};
    }
    if (const auto wait = TakeTokens(usage, team, prompt_tokens, now)) {
      return Refusal{.code = ResultCode::kTeamTokenRate, .retry_after = *wait};
    }
    ++usage.requests;
    return std::nullopt;
  }

  /// Counts a running request if the team's limit allows another one.
  /// @return false at the limit
  bool TryRun(const Team& team) {
    Usage& usage = usage_[team.name];
    if (team.limits.running > 0 &&
        usage.running_requests >= team.limits.running) {
      return false;
    }
    ++usage.running_requests;
    return true;
  }

  void EndRun(const std::string& team) { --usage_[team].running_requests; }

  void Release(const std::string& team) {
    const auto found = usage_.find(team);
    --found->second.requests;
    // Keeps the state of a team with a token bucket, which may not be full.
    if (found->second.requests == 0 && found->second.refilled == TimePoint()) {
      usage_.erase(found);
    }
  }

  size_t size() const { return usage_.size(); }

 private:
  struct Usage {
    uint32_t requests = 0;
    uint32_t running_requests = 0;
    double tokens = 0;
    TimePoint refilled;
  };

  /// Takes tokens from a bucket that holds one second of the team's rate.
  /// @return the wait if the bucket has too few tokens
  static std::optional<Duration> TakeTokens(Usage& usage,
                                            const Team& team,
                                            uint32_t prompt_tokens,
                                            TimePoint now) {
    const double rate = team.limits.prompt_tokens_per_s;
    if (rate == 0) {
      return std::nullopt;
    }
    const double seconds = ToSeconds(now - usage.refilled);
    usage.tokens = usage.refilled == TimePoint()
                       ? rate
                       : std::min(rate, usage.tokens + seconds * rate);
    usage.refilled = now;
    // A prompt larger than the bucket is admitted when the bucket is full and
    // leaves a negative balance; it could never be admitted otherwise.
    const double needed = std::min<double>(prompt_tokens, rate);
    if (usage.tokens < needed) {
      const double wait = (needed - usage.tokens) / rate;
      return Duration(static_cast<int64_t>(wait * 1e6));
    }
    usage.tokens -= prompt_tokens;
    return std::nullopt;
  }

  std::unordered_map<std::string, Usage> usage_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_TEAM_USAGE_H_
