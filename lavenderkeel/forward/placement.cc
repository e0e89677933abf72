#include "lavenderkeel/forward/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
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
  PaceTracker::View view;
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

/// Returns the versions of which more than the fraction of the reachable
/// servers are in backoff for error answers.
std::set<std::string_view> VersionsWithSharedErrors(
    const std::vector<KnownServer>& servers,
    double max_fraction,
    TimePoint now) {
  // Find is called for each grant; with this fraction no version qualifies.
  if (max_fraction >= 1) {
    return {};
  }
  struct Counts {
    int reachable = 0;
    int with_errors = 0;
  };
  std::map<std::string_view, Counts> counts_by_version;
  for (const KnownServer& known : servers) {
    const bool with_errors =
        known.load != nullptr && known.load->IsInBackoffForErrors(now);
    const bool reachable =
        known.load == nullptr || with_errors || !known.load->IsInBackoff(now);
    Counts& counts = counts_by_version[known.server->version];
    counts.reachable += reachable ? 1 : 0;
    counts.with_errors += with_errors ? 1 : 0;
  }
  std::set<std::string_view> versions;
  for (const auto& [version, counts] : counts_by_version) {
    if (counts.with_errors > max_fraction * counts.reachable) {
      versions.insert(version);
    }
  }
  return versions;
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
  if (!options_.server_probes) {
    constexpr uint64_t kSteps = 1024;
    const uint64_t rank =
        HashBytes(start_key, HashBytes(options_.entry)) % kSteps;
    cost *= 1 + options_.entry_cost_spread * static_cast<double>(rank) / kSteps;
  }
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
      servers.push_back(
          {.server = server,
           .key = std::move(key),
           .hash = hash,
           .load = load,
           .view = options_.server_probes
                       ? state.paces.ViewOf(hash, model_server, now)
                       : PaceTracker::View()});
    }
  }
  // Crashed servers always have free capacity, so they would attract requests
  // and fail them while the others are full. Servers in backoff are excluded
  // while one of the same version is healthy.
  const std::set<std::string_view> versions_with_shared_errors =
      VersionsWithSharedErrors(servers, options_.max_error_backoff_fraction,
                               now);
  const auto is_in_backoff = [&](const KnownServer& known) {
    return known.load != nullptr && known.load->IsInBackoff(now) &&
           !(known.load->IsInBackoffForErrors(now) &&
             versions_with_shared_errors.contains(known.server->version));
  };
  struct VersionHealth {
    int healthy = 0;
    int failed = 0;
  };
  std::map<std::string_view, VersionHealth> health_by_version;
  for (const KnownServer& known : servers) {
    VersionHealth& health = health_by_version[known.server->version];
    ++(is_in_backoff(known) || known.view.probes_only ? health.failed
                                                      : health.healthy);
  }
  // Where most servers fail, as under a fault that all share, the others could
  // not serve the load of all.
  const auto gets_probes_only = [&](const KnownServer& known) {
    const VersionHealth& health = health_by_version.at(known.server->version);
    return known.view.probes_only && health.healthy >= health.failed;
  };
  std::erase_if(servers, [&](const KnownServer& known) {
    return is_in_backoff(known) && !gets_probes_only(known) &&
           health_by_version.at(known.server->version).healthy > 0;
  });
  const double median_pace_ms =
      options_.server_probes
          ? state.paces.ServicePaceMs(service)
          : MedianOf(servers, &ServerSpeed::pace_ms).value_or(0);
  const double median_read_ms_per_token =
      MedianOf(servers, &ServerSpeed::read_ms_per_token).value_or(0);
  Candidates candidates;
  for (const KnownServer& known : servers) {
    const double pace_ms =
        options_.server_probes
            ? median_pace_ms * known.view.relative_pace
            : MeasuredOr(known.load, &ServerSpeed::pace_ms, median_pace_ms);
    double relative_pace = median_pace_ms > 0 ? pace_ms / median_pace_ms : 1;
    if (options_.server_probes) {
      relative_pace = known.view.relative_pace;
    }
    const int in_flight = state.occupancy.InFlight(known.hash);
    const int full_capacity = CapacityOf(*known.server, model_server);
    const bool probes_only = gets_probes_only(known);
    int capacity = full_capacity;
    if (options_.server_probes) {
      capacity = std::min(capacity, known.view.capacity);
      if (probes_only) {
        capacity = in_flight + (known.view.probe_due ? 1 : 0);
      }
    }
    const Candidate candidate = {
        .server = known.server,
        .hash = known.hash,
        .cost = BaseCost(known.key, relative_pace,
                         state.directory.IsUnconfirmed(known.key)),
        .in_flight = in_flight,
        .capacity = std::min(
            capacity,
            in_flight + state.rate_limiter.Permits(known.key).value_or(
                            std::numeric_limits<int>::max() - in_flight)),
        .full_capacity = full_capacity,
        .pace_ms = pace_ms,
        .read_ms_per_token =
            MeasuredOr(known.load, &ServerSpeed::read_ms_per_token,
                       median_read_ms_per_token),
        .probes_only = probes_only,
        .probe_due = options_.server_probes && known.view.probe_due,
        .in_backoff = is_in_backoff(known),
        .last_grant_at = known.view.last_grant_at,
        .order = static_cast<double>(candidates.servers.size()) /
                 static_cast<double>(servers.size())};
    candidates.probes_due = candidates.probes_due || candidate.probe_due;
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

double Placement::LoadFactor(const Candidate& candidate) const {
  const int capacity =
      options_.server_probes ? candidate.full_capacity : candidate.capacity;
  return 1 + options_.full_server_cost * candidate.in_flight / capacity;
}

double Placement::CostWithLoad(const SlotRequest& request,
                               const Candidate& candidate,
                               const SuspectRuns& suspects) const {
  double cost = candidate.cost * LoadFactor(candidate);
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

bool Placement::HasFreeServerFor(const SlotRequest& request,
                                 const Candidates& candidates,
                                 const SuspectRuns& suspects,
                                 const Admits& admits) {
  return std::ranges::any_of(
      candidates.servers, [&](const Candidate& candidate) {
        const bool matches =
            MatchesVersion(request.version, candidate) ||
            (!request.canary_version.empty() &&
             MatchesVersion(request.canary_version, candidate));
        return matches && candidate.in_flight < candidate.capacity &&
               suspects.Admits(candidate.hash, request.suspicion) &&
               admits(candidate.hash);
      });
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
    if (candidate.probes_only || candidate.in_flight >= candidate.capacity ||
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

Placement::Candidate* Placement::ChooseProbe(const SlotRequest& request,
                                             Candidates& candidates,
                                             const SuspectRuns& suspects,
                                             const Admits& admits,
                                             TimePoint now) const {
  // The estimate may be too low.
  constexpr double kProbeTimeFactor = 2;
  const double left_ms = ToFractionalMilliseconds(request.due - now);
  Candidate* chosen = nullptr;
  for (Candidate& candidate : candidates.servers) {
    if (!candidate.probe_due || candidate.in_flight >= candidate.capacity ||
        !MatchesVersion(request.version, candidate) ||
        (candidate.in_backoff && !request.repeatable) ||
        kProbeTimeFactor * candidate.pace_ms > left_ms ||
        FitOf(request, candidate, now) != Fit::kGood ||
        !suspects.Admits(candidate.hash, request.suspicion) ||
        !admits(candidate.hash) ||
        std::ranges::find(request.tried, candidate.hash) !=
            request.tried.end()) {
      continue;
    }
    // With few requests all servers may be due; each has its turn.
    if (chosen == nullptr || candidate.last_grant_at < chosen->last_grant_at) {
      chosen = &candidate;
    }
  }
  return chosen;
}

Placement::Candidate* Placement::ChooseAmongEquals(const SlotRequest& request,
                                                   Candidates& candidates,
                                                   Candidate& best,
                                                   TimePoint now) const {
  const auto cost_without_load = [this](const Candidate& candidate) {
    return candidate.total_cost / LoadFactor(candidate);
  };
  const double max_cost =
      cost_without_load(best) * (1 + options_.equal_cost_tolerance);
  const bool streams = request.event_gap_target > Duration::zero();
  // Streams go to the first servers in an order that changes with time, since a
  // long prompt needs a server without streams. Other requests go to the server
  // with the least load, then to the one that has been without a new request
  // for the longest time.
  constexpr double kGoldenRatio = 0.6180339887498949;
  const double shift =
      kGoldenRatio * static_cast<double>(now.time_since_epoch() /
                                         options_.first_server_period);
  const auto key = [&](const Candidate& candidate) {
    const double load =
        static_cast<double>(candidate.in_flight) / candidate.full_capacity;
    const double order = candidate.order + shift;
    const double stream_cost =
        LoadFactor(candidate) *
        (1 + options_.entry_cost_spread * (order - std::floor(order)));
    return std::tuple(streams ? stream_cost : load, candidate.last_grant_at,
                      candidate.order);
  };
  Candidate* chosen = &best;
  auto chosen_key = key(best);
  for (Candidate& candidate : candidates.servers) {
    if (candidate.total_cost < 0 || cost_without_load(candidate) > max_cost) {
      continue;
    }
    const auto candidate_key = key(candidate);
    if (candidate_key < chosen_key) {
      chosen = &candidate;
      chosen_key = candidate_key;
    }
  }
  return chosen;
}

Placement::Candidate* Placement::Choose(const SlotRequest& request,
                                        bool late,
                                        bool can_probe,
                                        Candidates& candidates,
                                        const SuspectRuns& suspects,
                                        const Admits& admits,
                                        TimePoint now) const {
  if (Candidate* canary =
          ChooseCanary(request, candidates, suspects, admits, now)) {
    return canary;
  }
  if (can_probe && candidates.probes_due) {
    if (Candidate* probed =
            ChooseProbe(request, candidates, suspects, admits, now)) {
      return probed;
    }
  }
  Fit worst_accepted_fit = Fit::kTooSlow;
  for (Candidate& candidate : candidates.servers) {
    if (candidate.probes_only || !MatchesVersion(request.version, candidate)) {
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
    candidate.total_cost = -1;
    if (candidate.probes_only || !MatchesVersion(request.version, candidate) ||
        candidate.in_flight >= candidate.capacity ||
        candidate.fit > worst_accepted_fit ||
        !suspects.Admits(candidate.hash, request.suspicion) ||
        !admits(candidate.hash)) {
      continue;
    }
    const double cost = CostWithLoad(request, candidate, suspects);
    candidate.total_cost = cost;
    if (best == nullptr || cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  return options_.server_probes && best != nullptr
             ? ChooseAmongEquals(request, candidates, *best, now)
             : best;
}

}  // namespace lavenderkeel
