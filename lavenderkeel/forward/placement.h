#ifndef LAVENDERKEEL_FORWARD_PLACEMENT_H_
#define LAVENDERKEEL_FORWARD_PLACEMENT_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "lavenderkeel/forward/server_directory.h"
#include "lavenderkeel/forward/server_load.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/forward/slot_occupancy.h"

namespace lavenderkeel {

/// Speed and health by server id.
using ServerLoads = std::map<std::string, ServerLoad>;

/// Chooses the backend server for a request among those with a free place.
///
/// Load it answers: servers of one service differ in speed by a factor of four
/// and some are in another data centre.
class Placement {
 public:
  struct Options {
    std::string entry;
    std::string data_centre;
    /// Requests in flight at a server per slot, over all entries. Beyond the
    /// slots a model server queues first come, first served, so urgent work
    /// would wait behind the rest.
    double places_per_slot = 1.0;
    /// The same at a plain service, whose requests last some 30 ms: one waiting
    /// behind each slot hides the round trip to the next.
    double places_per_plain_slot = 2.0;
    /// What another data centre adds to the cost, as a part. Its price and its
    /// round trip of 2 ms are small beside a request, so it decides ties only.
    double other_data_centre_cost = 0.05;
    /// How much a full server costs beside an empty one, as a part: a batch of
    /// full size makes each token some 10% slower.
    double full_cost = 0.25;
    /// Spread between entries, so that they don't all take the same server in
    /// one heartbeat.
    double spread = 0.1;
  };

  explicit Placement(Options options) : options_(std::move(options)) {}

  /// @return the best server of the group with a free place, or null
  const BackendServer* Choose(const SlotAsk& ask,
                              const SlotGroup& group,
                              const ServerDirectory& directory,
                              const ServerLoads& loads,
                              const SlotOccupancy& occupancy,
                              TimePoint now) const;

  /// Free places at the sound servers of a group of model servers.
  int Free(const std::string& service,
           const SlotGroup& group,
           const ServerDirectory& directory,
           const ServerLoads& loads,
           const SlotOccupancy& occupancy,
           TimePoint now) const;

 private:
  struct Candidate {
    const BackendServer* server = nullptr;
    const ServerLoad* load = nullptr;
    uint64_t hash = 0;
    int in_flight = 0;
    int places = 1;
  };

  std::vector<Candidate> Candidates(const std::string& service,
                                    bool model_server,
                                    const SlotGroup& group,
                                    const ServerDirectory& directory,
                                    const ServerLoads& loads,
                                    const SlotOccupancy& occupancy,
                                    TimePoint now) const;
  int Places(const BackendServer& server, bool model_server) const;
  double Cost(const Candidate& candidate, double typical_pace) const;

  Options options_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_PLACEMENT_H_
