#ifndef LAVENDERKEEL_ROUTING_ROUTER_H_
#define LAVENDERKEEL_ROUTING_ROUTER_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "lavenderkeel/membership/member_table.h"

namespace lavenderkeel {

/// The properties of a request that determine its route.
struct RouteRequest {
  /// The kind of backend server: "engine" or "service/NAME".
  std::string required_backend = "engine";
  uint32_t tier = 0;
  uint32_t prompt_tokens = 0;
};

/// An agent with its estimated time to the first token.
struct Candidate {
  PeerId agent;
  Duration first_token;

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

/// The ranking of the agents that can take a request, by estimated time to the
/// first token.
class Router {
 public:
  /// Estimates the time to the first token at an agent; replaceable to compare
  /// routing policies.
  using Estimate =
      std::function<Duration(const Member& agent, const RouteRequest&)>;
  using Excluded = std::function<bool(const Member& agent)>;

  Router(const MemberTable& members,
         std::mt19937_64& random,
         Excluded excluded,
         Estimate estimate = EstimateFirstToken);

  /// Returns at most `count` agents, the fastest first. Ties are in random
  /// order, so that entries with the same stale reports don't all choose the
  /// same agent.
  std::vector<Candidate> Choose(const RouteRequest& request,
                                size_t count) const;

  /// Returns true if any agent can take the request.
  bool HasUsableAgent(const RouteRequest& request) const {
    return !UsableAgents(request).empty();
  }

  /// Returns the shortest time in which a server that can take the request ends
  /// the rest that it asked for; zero if one of them does not rest, or if there
  /// is none.
  Duration ShortestRest(const RouteRequest& request) const;

  /// Returns true while repeatable work of a lower tier runs at an agent that
  /// can take the request.
  bool IsLowerTierRunning(const RouteRequest& request) const;

  /// Returns the sum of the server's rest and of the queueing time behind this
  /// and higher tiers and the prefill time, both at the agent's observed speed.
  static Duration EstimateFirstToken(const Member& agent,
                                     const RouteRequest& request);

 private:
  std::vector<const Member*> UsableAgents(const RouteRequest& request) const;

  const MemberTable& members_;
  std::mt19937_64& random_;
  Excluded excluded_;
  Estimate estimate_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ROUTING_ROUTER_H_
