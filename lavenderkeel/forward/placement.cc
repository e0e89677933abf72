#include "lavenderkeel/forward/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

/// Cost factor of a server that is chosen only if there is no other.
constexpr double kLastResortCostFactor = 1000;

/// Cost factor of a server with a crash risk; exceeds any difference in speed.
constexpr double kRiskyCostFactor = 30;

const ServerLoad* FindLoad(const ServerLoads& loads, const std::string& id) {
  const auto found = loads.find(id);
  return found == loads.end() ? nullptr : &found->second;
}

/// Accessor of a measured speed.
using SpeedGetter = std::optional<double> (ServerSpeed::*)() const;

/// Usable server and its state, looked up once.
struct KnownServer {
  const BackendServer* server = nullptr;
  std::string key;
  uint64_t hash = 0;
  /// Null before the first attempt at the server ends.
  const ServerLoad* load = nullptr;
};

/// Returns the median over the servers that have a sample; it stands in for the
/// servers that have none.
std::optional<double> MedianOf(const std::vector<KnownServer>& servers,
                               SpeedGetter getter) {
  std::vector<double> samples;
  for (const KnownServer& known : servers) {
    if (known.load == nullptr) {
      continue;
    }
    if (const std::optional<double> sample = (known.load->speed().*getter)()) {
      samples.push_back(*sample);
    }
  }
  if (samples.empty()) {
    return std::nullopt;
  }
  const auto middle =
      samples.begin() + static_cast<ptrdiff_t>(samples.size() / 2);
  std::ranges::nth_element(samples, middle);
  return *middle;
}

/// @param fallback zero if no server has a sample
double MeasuredOr(const ServerLoad* load, SpeedGetter getter, double fallback) {
  return load == nullptr ? fallback
                         : (load->speed().*getter)().value_or(fallback);
}

}  // namespace

int Placement::CapacityOf(const BackendServer& server,
                          bool model_server) const {
  const double per_slot =
      model_server ? options_.places_per_slot : options_.places_per_plain_slot;
  return std::max(1, static_cast<int>(std::lround(server.slots * per_slot)));
}

double Placement::BaseCost(const std::string& start_key,
                           double relative_pace,
                           bool unconfirmed) const {
  double cost = relative_pace;
  constexpr uint64_t kSteps = 1024;
  const uint64_t rank =
      HashBytes(start_key, HashBytes(options_.entry)) % kSteps;
  cost *= 1 + options_.entry_cost_spread * static_cast<double>(rank) / kSteps;
  return unconfirmed ? cost * kLastResortCostFactor : cost;
}

Placement::Candidates Placement::Find(const std::string& service,
                                      bool model_server,
                                      const SlotGroup& group,
                                      const ServerState& state,
                                      TimePoint now) const {
  std::vector<KnownServer> servers;
  for (const BackendServer* server : state.directory.Usable(service)) {
    std::string key = server->start_key();
    const uint64_t hash = HashBytes(key);
    if (group.Contains(hash) && !state.notices.BlocksAllEntries(key)) {
      const ServerLoad* load = FindLoad(state.loads, key);
      servers.push_back({.server = server,
                         .key = std::move(key),
                         .hash = hash,
                         .load = load});
    }
  }
  // Crashed servers always have free capacity, so they would attract requests
  // and fail them while the others are full. Servers in backoff are excluded
  // while one of the same version is healthy.
  const auto is_in_backoff = [&](const KnownServer& known) {
    return known.load != nullptr && known.load->IsInBackoff(now);
  };
  std::set<std::string_view> healthy_versions;
  for (const KnownServer& known : servers) {
    if (!is_in_backoff(known)) {
      healthy_versions.insert(known.server->version);
    }
  }
  std::erase_if(servers, [&](const KnownServer& known) {
    return is_in_backoff(known) &&
           healthy_versions.contains(known.server->version);
  });
  const double median_pace_ms =
      MedianOf(servers, &ServerSpeed::pace_ms).value_or(0);
  const double median_read_ms_per_token =
      MedianOf(servers, &ServerSpeed::read_ms_per_token).value_or(0);
  Candidates candidates;
  for (const KnownServer& known : servers) {
    const double pace_ms =
        MeasuredOr(known.load, &ServerSpeed::pace_ms, median_pace_ms);
    const double relative_pace =
        median_pace_ms > 0 ? pace_ms / median_pace_ms : 1;
    const int in_flight = state.occupancy.InFlight(known.hash);
    const Candidate candidate = {
        .server = known.server,
        .hash = known.hash,
        .cost = BaseCost(known.key, relative_pace,
                         state.directory.IsUnconfirmed(known.key)),
        .in_flight = in_flight,
        .capacity = std::min(
            CapacityOf(*known.server, model_server),
            in_flight + state.rate_limiter.Permits(known.key).value_or(
                            std::numeric_limits<int>::max() - in_flight)),
        .pace_ms = pace_ms,
        .read_ms_per_token =
            MeasuredOr(known.load, &ServerSpeed::read_ms_per_token,
                       median_read_ms_per_token)};
    candidates.free += std::max(0, candidate.capacity - candidate.in_flight);
    candidates.capacity += candidate.capacity;
    candidates.servers.push_back(candidate);
  }
  return candidates;
}

Placement::Fit Placement::FitOf(const SlotRequest& request,
                                const Candidate& candidate,
                                TimePoint now) const {
  const double read_ms =
      request.size.prompt_tokens * candidate.read_ms_per_token;
  const double run_ms = read_ms + request.size.events * candidate.pace_ms;
  const double left_ms = ToFractionalMilliseconds(request.due - now);
  if (run_ms > options_.max_fraction_of_time_left * left_ms) {
    return Fit::kTooSlow;
  }
  const double gap_ms = ToFractionalMilliseconds(request.event_gap_target);
  const bool stalls = gap_ms > 0 && candidate.in_flight > 0 &&
                      read_ms > options_.stall_fraction_of_gap * gap_ms;
  return stalls ? Fit::kStallsStreams : Fit::kGood;
}

double Placement::CostWithLoad(const SlotRequest& request,
                               const Candidate& candidate,
                               const SuspectRuns& suspects) const {
  double cost =
      candidate.cost * (1 + options_.full_server_cost * candidate.in_flight /
                                candidate.capacity);
  // One scheduler grants slots to entries of all data centres.
  const std::string& home =
      request.data_centre.empty() ? options_.data_centre : request.data_centre;
  if (candidate.server->data_centre != home) {
    cost *= 1 + options_.other_data_centre_cost;
  }
  // A server at which this request failed before is the last choice of all.
  if (std::ranges::find(request.tried, candidate.hash) != request.tried.end()) {
    cost *= kLastResortCostFactor * kLastResortCostFactor;
  }
  if (suspects.ShouldAvoid(candidate.hash, request.suspicion)) {
    cost *= kRiskyCostFactor;
  }
  // If this request crashes the server, all requests there are lost.
  if (request.suspicion >= CrashSuspicion::kDoubtful) {
    cost *= 1 + candidate.in_flight;
  }
  return cost;
}

bool Placement::MatchesVersion(const std::string& version,
                               const Candidate& candidate) {
  return version.empty() || candidate.server->version == version;
}

Placement::Candidate* Placement::ChooseCanary(const SlotRequest& request,
                                              Candidates& candidates,
                                              const SuspectRuns& suspects,
                                              const Admits& admits,
                                              TimePoint now) const {
  if (request.canary_version.empty()) {
    return nullptr;
  }
  // Fills one server before the next gets any requests: a version that fails
  // under load only would pass on nearly empty servers.
  const auto period = static_cast<uint64_t>(now.time_since_epoch() /
                                            options_.canary_server_period);
  Candidate* best = nullptr;
  uint64_t best_rank = 0;
  for (Candidate& candidate : candidates.servers) {
    if (!MatchesVersion(request.canary_version, candidate)) {
      continue;
    }
    if (candidate.in_flight >= candidate.capacity ||
        FitOf(request, candidate, now) == Fit::kTooSlow ||
        !suspects.Admits(candidate.hash, request.suspicion) ||
        !admits(candidate.hash)) {
      continue;
    }
    const uint64_t rank = HashBytes(candidate.server->id, period);
    if (best == nullptr || rank < best_rank) {
      best = &candidate;
      best_rank = rank;
    }
  }
  return best;
}

Placement::Candidate* Placement::Choose(const SlotRequest& request,
                                        bool late,
                                        Candidates& candidates,
                                        const SuspectRuns& suspects,
                                        const Admits& admits,
                                        TimePoint now) const {
  if (Candidate* canary =
          ChooseCanary(request, candidates, suspects, admits, now)) {
    return canary;
  }
  Fit worst_accepted_fit = Fit::kTooSlow;
  for (Candidate& candidate : candidates.servers) {
    if (!MatchesVersion(request.version, candidate)) {
      continue;
    }
    candidate.fit = FitOf(request, candidate, now);
    worst_accepted_fit = std::min(worst_accepted_fit, candidate.fit);
  }
  if (late) {
    worst_accepted_fit = std::max(worst_accepted_fit, Fit::kStallsStreams);
  }
  Candidate* best = nullptr;
  double best_cost = 0;
  for (Candidate& candidate : candidates.servers) {
    if (!MatchesVersion(request.version, candidate) ||
        candidate.in_flight >= candidate.capacity ||
        candidate.fit > worst_accepted_fit ||
        !suspects.Admits(candidate.hash, request.suspicion) ||
        !admits(candidate.hash)) {
      continue;
    }
    const double cost = CostWithLoad(request, candidate, suspects);
    if (best == nullptr || cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace lavenderkeel
