#ifndef LAVENDERKEEL_ROUTING_ROUTER_H_
#define LAVENDERKEEL_ROUTING_ROUTER_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "lavenderkeel/membership/member_table.h"

namespace lavenderkeel {

/// What routing looks at in a request.
struct RouteRequest {
  /// "engine" or "service/NAME".
  std::string needs = "engine";
  uint32_t tier = 0;
  uint32_t prompt_tokens = 0;
};

/// An agent with the estimate that it was ranked by.
struct Candidate {
  PeerId agent;
  Duration first_token;

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

/// Ranks the agents that can take a request by estimated first token.
class Router {
 public:
  /// Estimated time to the first token there; replaced to compare policies.
  using Estimate =
      std::function<Duration(const Member& agent, const RouteRequest&)>;
  using Excluded = std::function<bool(const Member& agent)>;

  Router(const MemberTable& members,
         std::mt19937_64& random,
         Excluded excluded,
         Estimate estimate = EstimateFirstToken);

  /// At most `count` agents, the fastest first; equal ones in random order, so
  /// that entries with the same stale reports don't all pick the same agent.
  std::vector<Candidate> Choose(const RouteRequest& request,
                                size_t count) const;

  /// True if any agent can take the request.
  bool AnyUsable(const RouteRequest& request) const {
    return !Usable(request).empty();
  }

  /// True while repeatable work of a lower tier runs where the request could
  /// go.
  bool LowerTierRuns(const RouteRequest& request) const;

  /// Queue ahead at this tier, then prefill, both at the agent's measured
  /// speed.
  static Duration EstimateFirstToken(const Member& agent,
                                     const RouteRequest& request);

 private:
  std::vector<const Member*> Usable(const RouteRequest& request) const;

  const MemberTable& members_;
  std::mt19937_64& random_;
  Excluded excluded_;
  Estimate estimate_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ROUTING_ROUTER_H_
