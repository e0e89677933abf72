#ifndef LAVENDERKEEL_FORWARD_PLACEMENT_H_
#define LAVENDERKEEL_FORWARD_PLACEMENT_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lavenderkeel/crash/suspect_runs.h"
#include "lavenderkeel/forward/server_directory.h"
#include "lavenderkeel/forward/server_load.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/forward/slot_occupancy.h"
#include "lavenderkeel/notice/server_rate_limiter.h"
#include "lavenderkeel/pace/pace_tracker.h"

namespace lavenderkeel {

/// Speed and health of servers by start key.
using ServerLoads = std::map<std::string, ServerLoad>;

/// Choice of the backend server for a request among those with free capacity.
///
/// Servers of one service differ in speed by a factor of four, and some are in
/// another data centre.
class Placement {
 public:
  struct Options {
    std::string entry;
    /// Data centre of this entry; stands in for that of a request that has
    /// none.
    std::string data_centre;
    /// Capacity of a model server: requests in flight per slot, over all
    /// entries. Beyond its slots a model server queues first come, first
    /// served, so urgent requests would wait behind the rest.
    double places_per_slot = 1.0;
    /// Capacity of a plain service: requests in flight per slot. Requests last
    /// some 30 ms; one waiting request per slot hides the round trip to the
    /// next one.
    double places_per_plain_slot = 2.0;
    /// Additional relative cost of a server outside the data centre of the
    /// entry that holds the request. The default decides ties only: price and
    /// round trip (2 ms) are small compared to a request.
    double other_data_centre_cost = 0.05;
    /// Additional relative cost of a full server over an empty one: a batch of
    /// full size makes each token some 10% slower.
    double full_server_cost = 0.25;
    /// Relative cost difference between entries, so that they do not all choose
    /// the same server within one heartbeat.
    double entry_cost_spread = 0.1;
    /// A server is too slow for a request that would take more than this
    /// fraction of the time left. Length estimates are right at the median
    /// only.
    double max_fraction_of_time_left = 1.0;
    /// A prompt stalls other streams if reading it takes more than this
    /// fraction of the pause that clients accept as fluent.
    double stall_fraction_of_gap = 0.8;
    /// After this time requests for a canary version go to another of its
    /// servers.
    Duration canary_server_period = std::chrono::milliseconds(500);
    /// Fraction of the reachable servers of one version that may be in backoff
    /// for error answers. Beyond it the servers share a fault, and all of them
    /// stay in use: the others could not serve the load, and fail as often.
    double max_error_backoff_fraction = 1;
    /// Whether servers that were slow are tried again, and equal servers get
    /// equal shares at low load.
    bool server_probes = false;
    /// Relative cost difference up to which servers count as equal: the noise
    /// of the measured pace.
    double equal_cost_tolerance = 0.1;
    /// After this time another of the equal model servers gets streams first.
    Duration first_server_period = std::chrono::milliseconds(500);
  };

  /// Suitability of a server for a request, best first.
  enum class Fit {
    kGood,
    /// While the server reads the prompt, its running streams pause for longer
    /// than their clients accept as fluent.
    kStallsStreams,
    /// The client's deadline passes before the answer is complete.
    kTooSlow,
  };

  /// Server that may get a request now.
  struct Candidate {
    const BackendServer* server = nullptr;
    uint64_t hash = 0;
    /// Relative cost by speed, without load and distance; see Choose.
    double cost = 1;
    int in_flight = 0;
    int capacity = 1;
    /// Capacity of the server when it is well; its load is relative to this.
    int full_capacity = 1;
    /// Time between two events of a stream, and time per prompt token; zero if
    /// unknown.
    double pace_ms = 0;
    double read_ms_per_token = 0;
    /// Whether the server gets probes only.
    bool probes_only = false;
    bool probe_due = false;
    /// Whether the server failed so recently that a request is likely lost.
    bool in_backoff = false;
    TimePoint last_grant_at;
    /// Place in the fixed order of the servers, from 0 to 1.
    double order = 0;
    /// For the request that was last passed to Choose.
    Fit fit = Fit::kGood;
    /// Cost for that request; below zero if the server can't get it.
    double total_cost = -1;
  };

  /// Servers of a group that may get requests. Computed once per queue: a burst
  /// has hundreds of requests and an entry as little as a tenth of a core.
  struct Candidates {
    std::vector<Candidate> servers;
    int free = 0;
    int capacity = 0;
    /// Whether some server is to be probed.
    bool probes_due = false;

    /// Counts one more request at the server.
    void AddRequest(Candidate& candidate) {
      ++candidate.in_flight;
      --free;
      candidate.probe_due = false;
    }
  };

  /// What a scheduler knows about the servers.
  struct ServerState {
    const ServerDirectory& directory;
    const ServerLoads& loads;
    const SlotOccupancy& occupancy;
    const ServerNotices& notices;
    const ServerRateLimiter& rate_limiter;
    const PaceTracker& paces;
  };

  explicit Placement(Options options) : options_(std::move(options)) {}

  Candidates Find(const std::string& service,
                  bool model_server,
                  const SlotGroup& group,
                  const ServerState& state,
                  TimePoint now) const;

  /// Returns whether a server accepts requests of the entry that asks.
  using Admits = std::function<bool(uint64_t server)>;

  /// @param can_probe whether the request may be sent to a server that is
  ///     likely slow or failing
  /// @param late whether the request can no longer be in time
  /// @return the best candidate with free capacity that fits the request, or
  ///     null
  Candidate* Choose(const SlotRequest& request,
                    bool late,
                    bool can_probe,
                    Candidates& candidates,
                    const SuspectRuns& suspects,
                    const Admits& admits,
                    TimePoint now) const;
  /// Returns whether some candidate with free capacity may get the request, if
  /// it fits.
  static bool HasFreeServerFor(const SlotRequest& request,
                               const Candidates& candidates,
                               const SuspectRuns& suspects,
                               const Admits& admits);

 private:
  Fit FitOf(const SlotRequest& request,
            const Candidate& candidate,
            TimePoint now) const;
  /// Returns whether the candidate has the version; an empty version matches
  /// any candidate.
  static bool MatchesVersion(const std::string& version,
                             const Candidate& candidate);
  /// @return a server of the request's canary version, or null
  Candidate* ChooseCanary(const SlotRequest& request,
                          Candidates& candidates,
                          const SuspectRuns& suspects,
                          const Admits& admits,
                          TimePoint now) const;
  /// @return a server that is to be probed and that the request fits, or null
  Candidate* ChooseProbe(const SlotRequest& request,
                         Candidates& candidates,
                         const SuspectRuns& suspects,
                         const Admits& admits,
                         TimePoint now) const;
  /// Returns the preferred one of the servers that cost about as much as the
  /// best.
  Candidate* ChooseAmongEquals(const SlotRequest& request,
                               Candidates& candidates,
                               Candidate& best,
                               TimePoint now) const;
  int CapacityOf(const BackendServer& server, bool model_server) const;
  /// Returns the cost including the load, the distance from the entry that
  /// holds the request, and the crash risk for the request and the requests at
  /// the server.
  double CostWithLoad(const SlotRequest& request,
                      const Candidate& candidate,
                      const SuspectRuns& suspects) const;
  double LoadFactor(const Candidate& candidate) const;
  double BaseCost(const std::string& start_key,
                  double relative_pace,
                  bool unconfirmed) const;

  Options options_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_PLACEMENT_H_
