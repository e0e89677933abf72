#include "lavenderkeel/forward/placement.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

/// Makes a server a last resort: any other is better.
constexpr double kLastResort = 1000;

const ServerLoad* FindLoad(const ServerLoads& loads, const std::string& id) {
  const auto found = loads.find(id);
  return found == loads.end() ? nullptr : &found->second;
}

std::optional<double> PaceOf(const ServerLoads& loads, const std::string& id) {
  const ServerLoad* load = FindLoad(loads, id);
  return load == nullptr ? std::nullopt : load->pace();
}

/// The middle pace, which stands for a server that has no sample yet.
double TypicalPace(const std::vector<const BackendServer*>& servers,
                   const ServerLoads& loads) {
  std::vector<double> paces;
  for (const BackendServer* server : servers) {
    if (const std::optional<double> pace = PaceOf(loads, server->id)) {
      paces.push_back(*pace);
    }
  }
  if (paces.empty()) {
    return 1;
  }
  const auto middle = paces.begin() + static_cast<ptrdiff_t>(paces.size() / 2);
  std::ranges::nth_element(paces, middle);
  return *middle;
}

}  // namespace

int Placement::Places(const BackendServer& server, bool model_server) const {
  const double per_slot =
      model_server ? options_.places_per_slot : options_.places_per_plain_slot;
  return std::max(1, static_cast<int>(std::lround(server.slots * per_slot)));
}

double Placement::CostOf(const BackendServer& server,
                         double pace,
                         bool unconfirmed) const {
  double cost = pace;
  if (server.data_centre != options_.data_centre) {
    cost *= 1 + options_.other_data_centre_cost;
  }
  constexpr uint64_t kSteps = 1024;
  const uint64_t lot = HashBytes(server.id, HashBytes(options_.entry)) % kSteps;
  cost *= 1 + options_.spread * static_cast<double>(lot) / kSteps;
  return unconfirmed ? cost * kLastResort : cost;
}

Placement::Candidates Placement::Find(const std::string& service,
                                      bool model_server,
                                      const SlotGroup& group,
                                      const ServerDirectory& directory,
                                      const ServerLoads& loads,
                                      const SlotOccupancy& occupancy,
                                      TimePoint now) const {
  std::vector<const BackendServer*> servers = directory.Usable(service);
  std::erase_if(servers, [&group](const BackendServer* server) {
    return !group.Has(HashBytes(server->id));
  });
  // Failure: a quarter of the servers crash while the rest are full. Symptom:
  // requests run through the crashed ones, which always have places, and are
  // given up. While one server is sound the others are left alone.
  const auto resting = [&](const BackendServer* server) {
    const ServerLoad* load = FindLoad(loads, server->id);
    return load != nullptr && load->resting(now);
  };
  if (!std::ranges::all_of(servers, resting)) {
    std::erase_if(servers, resting);
  }
  const double typical_pace = TypicalPace(servers, loads);
  Candidates candidates;
  for (const BackendServer* server : servers) {
    const double pace = PaceOf(loads, server->id).value_or(typical_pace);
    const uint64_t hash = HashBytes(server->id);
    const Candidate candidate = {
        .server = server,
        .hash = hash,
        .cost = CostOf(*server, pace / typical_pace,
                       directory.IsUnconfirmed(server->id)),
        .in_flight = occupancy.At(hash),
        .places = Places(*server, model_server)};
    candidates.free += std::max(0, candidate.places - candidate.in_flight);
    candidates.places += candidate.places;
    candidates.servers.push_back(candidate);
  }
  return candidates;
}

Placement::Candidate* Placement::Choose(const SlotAsk& ask,
                                        Candidates& candidates) const {
  Candidate* best = nullptr;
  double best_cost = 0;
  for (Candidate& candidate : candidates.servers) {
    if (candidate.in_flight >= candidate.places) {
      continue;
    }
    double cost =
        candidate.cost *
        (1 + options_.full_cost * candidate.in_flight / candidate.places);
    // Where this request failed before comes last of all.
    if (std::ranges::find(ask.tried, candidate.hash) != ask.tried.end()) {
      cost *= kLastResort * kLastResort;
    }
    if (best == nullptr || cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace lavenderkeel
