#include "lavenderkeel/forward/placement.h"

#include <algorithm>
#include <cmath>

namespace lavenderkeel {

namespace {

/// The middle pace of the servers, for one that has no sample yet.
double TypicalPace(std::span<const BackendServer* const> servers,
                   const ServerLoads& loads) {
  std::vector<double> paces;
  for (const BackendServer* server : servers) {
    const ServerLoad* load = loads.Find(server->id);
    if (load != nullptr && load->pace().has_value()) {
      paces.push_back(*load->pace());
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

double Placement::Cost(const BackendServer& server,
                       const ServerLoad* load,
                       int places,
                       double typical_pace) const {
  const double pace =
      load == nullptr ? typical_pace : load->pace().value_or(typical_pace);
  const int in_flight = load == nullptr ? 0 : load->in_flight();
  double cost = pace / typical_pace;
  cost *= 1 + options_.full_cost * in_flight / places;
  if (server.data_centre != options_.data_centre) {
    cost *= 1 + options_.other_data_centre_cost;
  }
  constexpr uint64_t kSteps = 1024;
  const uint64_t lot = HashBytes(server.id, HashBytes(options_.entry)) % kSteps;
  return cost * (1 + options_.spread * static_cast<double>(lot) / kSteps);
}

const BackendServer* Placement::Choose(const Request& request,
                                       const ServerDirectory& directory,
                                       const ServerLoads& loads,
                                       TimePoint now) const {
  const std::vector<const BackendServer*> usable =
      directory.Usable(request.service);
  const double typical_pace = TypicalPace(usable, loads);
  const BackendServer* best = nullptr;
  double best_cost = 0;
  for (const BackendServer* server : usable) {
    const ServerLoad* load = loads.Find(server->id);
    const int places = Places(*server, request.model_server);
    if (load != nullptr && load->in_flight() >= places) {
      continue;
    }
    double cost = Cost(*server, load, places, typical_pace);
    // Last resorts, but better than no server: resting ones, those that may be
    // gone, and those where this request failed.
    constexpr double kLastResort = 1000;
    if (load != nullptr && load->resting(now)) {
      cost *= kLastResort;
    }
    if (directory.IsUnconfirmed(server->id)) {
      cost *= kLastResort;
    }
    if (std::ranges::find(request.tried, server->id) != request.tried.end()) {
      cost *= kLastResort * kLastResort;
    }
    if (best == nullptr || cost < best_cost) {
      best = server;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace lavenderkeel
