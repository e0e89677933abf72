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

/// What each team uses of its limits at this entry. Idle teams cost nothing.
class TeamUsage {
 public:
  struct Refusal {
    ResultCode code = ResultCode::kTeamWaitingLimit;
    Duration retry_after;
  };

  /// Counts an admitted request, or says why the team may not have another.
  std::optional<Refusal> Admit(const Team& team,
                               uint32_t prompt_tokens,
                               TimePoint now) {
    Usage& usage = usage_[team.name];
    const uint32_t most = team.limits.running + team.limits.waiting;
    const bool bounded = team.limits.running > 0 && team.limits.waiting > 0;
    if (bounded && usage.requests >= most) {
      return Refusal{.code = ResultCode::kTeamWaitingLimit,
                     .retry_after = std::chrono::seconds(1)};
    }
    if (const auto wait = TakeTokens(usage, team, prompt_tokens, now)) {
      return Refusal{.code = ResultCode::kTeamTokenRate, .retry_after = *wait};
    }
    ++usage.requests;
    return std::nullopt;
  }

  /// True if another of the team's requests may be sent to a server.
  bool TryRun(const Team& team) {
    Usage& usage = usage_[team.name];
    if (team.limits.running > 0 && usage.active >= team.limits.running) {
      return false;
    }
    ++usage.active;
    return true;
  }

  void EndRun(const std::string& team) { --usage_[team].active; }

  void Release(const std::string& team) {
    const auto found = usage_.find(team);
    --found->second.requests;
    // The token bucket matters only while it is not full again.
    if (found->second.requests == 0 && found->second.refilled == TimePoint()) {
      usage_.erase(found);
    }
  }

  size_t size() const { return usage_.size(); }

 private:
  struct Usage {
    uint32_t requests = 0;
    uint32_t active = 0;
    double tokens = 0;
    TimePoint refilled;
  };

  /// A bucket of one second's worth. @return the wait if it is too empty
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
    // One longer than a second's worth passes when the bucket is full, and is
    // paid off afterwards; it could never pass otherwise.
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
