#include "lavenderkeel/dispatch/reservation_placer.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lavenderkeel {

void ReservationPlacer::Place(EntryRequest& request, size_t count) {
  size_t placed = 0;
  std::vector<Candidate> candidates =
      context_.router.Choose(request.route(), SIZE_MAX);
  std::erase_if(candidates, [&request](const Candidate& candidate) {
    const bool is_allowed =
        request.properties.repeatable ||
        std::ranges::find(request.eligible, candidate.agent) !=
            request.eligible.end();
    return !is_allowed || request.reserved_agents.contains(candidate.agent);
  });
  // Moves agents whose server was unreachable to the end, since their load
  // reports may predate the failed connection.
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [&request](const Candidate& candidate) {
        return !request.agents_without_server.contains(candidate.agent);
      });
  for (const Candidate& candidate : candidates) {
    const std::optional<LinkId> link = context_.members.LinkTo(candidate.agent);
    if (placed >= count || !link.has_value()) {
      break;
    }
    request.reserved_agents.insert(candidate.agent);
    Send(request, *link);
    ++placed;
  }
  LogRoute(request, candidates, placed);
}

void ReservationPlacer::LogRoute(const EntryRequest& request,
                                 const std::vector<Candidate>& candidates,
                                 size_t placed) const {
  if (!context_.log.enabled(LogLevel::kInfo)) {
    return;
  }
  constexpr size_t kMaxLoggedCandidates = 8;
  std::string weighed;
  for (size_t i = 0; i < std::min(candidates.size(), kMaxLoggedCandidates);
       ++i) {
    weighed += weighed.empty() ? "" : ",";
    weighed += candidates[i].agent.instance + ":" +
               std::to_string(ToMilliseconds(candidates[i].first_token)) + "ms";
  }
  std::string chosen;
  for (const PeerId& agent : request.reserved_agents) {
    chosen += chosen.empty() ? "" : ",";
    chosen += agent.instance;
  }
  context_.log.Info("route", {{"key", request.key.ToString()},
                              {"tier", request.properties.tier_name},
                              {"team", request.properties.team},
                              {"work", request.properties.work},
                              {"weighed", weighed},
                              {"reserved", chosen},
                              {"placed", placed},
                              {"attempt", request.attempts}});
}

void ReservationPlacer::Send(EntryRequest& request, LinkId link) {
  const TimePoint now = context_.clock.Now();
  Reserve reserve;
  reserve.key = ToWire(request.key);
  reserve.team = request.properties.team;
  reserve.weight = static_cast<float>(request.properties.weight);
  reserve.tier = request.properties.tier;
  reserve.prompt_tokens = request.payload.prompt_tokens;
  reserve.max_tokens = request.payload.max_tokens;
  reserve.repeatable = request.properties.repeatable;
  reserve.deadline_bound = request.properties.deadline_bound;
  reserve.prefix = request.payload.prefix;
  if (request.deadline.has_value()) {
    reserve.deadline_ms =
        std::max<int64_t>(0, ToMilliseconds(*request.deadline - now));
  }
  context_.outbox.Send(link, std::move(reserve));
}

void ReservationPlacer::Withdraw(EntryRequest& request, const PeerId& except) {
  for (const PeerId& agent : request.reserved_agents) {
    const std::optional<LinkId> link = context_.members.LinkTo(agent);
    if (agent != except && link.has_value()) {
      lavenderkeel::Withdraw withdraw;
      withdraw.key = ToWire(request.key);
      context_.outbox.Send(*link, withdraw);
    }
  }
  request.reserved_agents.clear();
}

}  // namespace lavenderkeel
