#include "lavenderkeel/routing/router.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

Router::Router(const MemberTable& members,
               std::mt19937_64& random,
               Excluded excluded,
               Estimate estimate)
    : members_(members),
      random_(random),
      excluded_(std::move(excluded)),
      estimate_(std::move(estimate)) {}

std::vector<const Member*> Router::UsableAgents(
    const RouteRequest& request) const {
  std::vector<const Member*> usable;
  for (const Member* agent : members_.Members(Role::kAgent)) {
    const bool serves =
        std::ranges::find(agent->load.serves, request.required_backend) !=
        agent->load.serves.end();
    if (agent->live() && !agent->info.leaving && serves && !excluded_(*agent)) {
      usable.push_back(agent);
    }
  }
  return usable;
}

std::vector<Candidate> Router::Choose(const RouteRequest& request,
                                      size_t count) const {
  std::vector<const Member*> usable = UsableAgents(request);
  std::ranges::shuffle(usable, random_);
  // Ranks agents without slots last: their server accepts no connections or
  // rests.
  std::vector<std::pair<bool, Candidate>> ranked;
  ranked.reserve(usable.size());
  for (const Member* agent : usable) {
    ranked.emplace_back(agent->load.slots == 0,
                        Candidate{.agent = agent->info.id,
                                  .first_token = estimate_(*agent, request)});
  }
  std::ranges::stable_sort(ranked, {}, [](const auto& item) {
    return std::pair(item.first, item.second.first_token);
  });
  std::vector<Candidate> candidates;
  candidates.reserve(ranked.size());
  for (auto& [without_slot, candidate] : ranked) {
    candidates.push_back(std::move(candidate));
  }
  if (candidates.size() > count) {
    candidates.resize(count);
  }
  return candidates;
}

Duration Router::ShortestRest(const RouteRequest& request) const {
  const std::vector<const Member*> usable = UsableAgents(request);
  if (usable.empty()) {
    return Duration::zero();
  }
  const Member* first = *std::ranges::min_element(
      usable, {}, [](const Member* agent) { return agent->load.pushback_us; });
  return std::max(Duration::zero(), Duration(first->load.pushback_us));
}

bool Router::IsLowerTierRunning(const RouteRequest& request) const {
  return std::ranges::any_of(
      UsableAgents(request), [&request](const Member* agent) {
        return agent->load.lower_repeatable > static_cast<int>(request.tier);
      });
}

Duration Router::EstimateFirstToken(const Member& agent,
                                    const RouteRequest& request) {
  const Heartbeat& load = agent.load;
  uint64_t queued_ahead = 0;
  for (size_t tier = 0; tier < load.waiting.size() && tier <= request.tier;
       ++tier) {
    queued_ahead += load.waiting[tier];
  }
  const uint64_t slots = std::max<uint64_t>(1, load.slots);
  const uint64_t busy = load.running + queued_ahead + 1;
  const uint64_t queued = busy > slots ? busy - slots : 0;
  const double wait_us =
      static_cast<double>(queued) * load.run_us / static_cast<double>(slots);
  const double prefill_us =
      static_cast<double>(load.prefill_us) * request.prompt_tokens;
  return Duration(std::max<int64_t>(0, load.pushback_us) +
                  static_cast<int64_t>(wait_us + prefill_us));
}

}  // namespace lavenderkeel
