#include "lavenderkeel/forward/placement.h"

#include <algorithm>
#include <cmath>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

const ServerLoad* FindLoad(const ServerLoads& loads, const std::string& id) {
  const auto found = loads.find(id);
  return found == loads.end() ? nullptr : &found->second;
}

}  // namespace

int Placement::Places(const BackendServer& server, bool model_server) const {
  const double per_slot =
      model_server ? options_.places_per_slot : options_.places_per_plain_slot;
  return std::max(1, static_cast<int>(std::lround(server.slots * per_slot)));
}

std::vector<Placement::Candidate> Placement::Candidates(
    const std::string& service,
    bool model_server,
    const SlotGroup& group,
    const ServerDirectory& directory,
    const ServerLoads& loads,
    const SlotOccupancy& occupancy,
    TimePoint now) const {
  std::vector<Candidate> all;
  for (const BackendServer* server : directory.Usable(service)) {
    const uint64_t hash = HashBytes(server->id);
    if (group.Has(hash)) {
      all.push_back({.server = server,
                     .load = FindLoad(loads, server->id),
                     .hash = hash,
                     .in_flight = occupancy.At(hash),
                     .places = Places(*server, model_server)});
    }
  }
  // Failure: a quarter of the servers crash while the rest are full. Symptom:
  // requests run through the crashed ones, which always have places, and are
  // given up. While one server is sound the others are left alone.
  const auto resting = [now](const Candidate& candidate) {
    return candidate.load != nullptr && candidate.load->resting(now);
  };
  if (!std::ranges::all_of(all, resting)) {
    std::erase_if(all, resting);
  }
  return all;
}

double Placement::Cost(const Candidate& candidate, double typical_pace) const {
  const double pace = candidate.load == nullptr
                          ? typical_pace
                          : candidate.load->pace().value_or(typical_pace);
  double cost = pace / typical_pace;
  cost *= 1 + options_.full_cost * candidate.in_flight / candidate.places;
  if (candidate.server->data_centre != options_.data_centre) {
    cost *= 1 + options_.other_data_centre_cost;
  }
  constexpr uint64_t kSteps = 1024;
  const uint64_t lot =
      HashBytes(candidate.server->id, HashBytes(options_.entry)) % kSteps;
  return cost * (1 + options_.spread * static_cast<double>(lot) / kSteps);
}

const BackendServer* Placement::Choose(const SlotAsk& ask,
                                       const SlotGroup& group,
                                       const ServerDirectory& directory,
                                       const ServerLoads& loads,
                                       const SlotOccupancy& occupancy,
                                       TimePoint now) const {
  const std::vector<Candidate> candidates =
      Candidates(ask.service, ask.model_server, group, directory, loads,
                 occupancy, now);
  // The middle pace stands for a server that has no sample yet.
  std::vector<double> paces;
  for (const Candidate& candidate : candidates) {
    if (candidate.load != nullptr && candidate.load->pace().has_value()) {
      paces.push_back(*candidate.load->pace());
    }
  }
  std::ranges::sort(paces);
  const double typical_pace = paces.empty() ? 1 : paces[paces.size() / 2];
  const BackendServer* best = nullptr;
  double best_cost = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.in_flight >= candidate.places) {
      continue;
    }
    double cost = Cost(candidate, typical_pace);
    // Last resorts: those that may be gone, and where this request failed.
    constexpr double kLastResort = 1000;
    if (directory.IsUnconfirmed(candidate.server->id)) {
      cost *= kLastResort;
    }
    if (std::ranges::find(ask.tried, candidate.hash) != ask.tried.end()) {
      cost *= kLastResort * kLastResort;
    }
    if (best == nullptr || cost < best_cost) {
      best = candidate.server;
      best_cost = cost;
    }
  }
  return best;
}

int Placement::Free(const std::string& service,
                    const SlotGroup& group,
                    const ServerDirectory& directory,
                    const ServerLoads& loads,
                    const SlotOccupancy& occupancy,
                    TimePoint now) const {
  int free = 0;
  for (const Candidate& candidate :
       Candidates(service, /*model_server=*/true, group, directory, loads,
                  occupancy, now)) {
    free += std::max(0, candidate.places - candidate.in_flight);
  }
  return free;
}

}  // namespace lavenderkeel
