#ifndef LAVENDERKEEL_PACE_PACE_TRACKER_H_
#define LAVENDERKEEL_PACE_PACE_TRACKER_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/server_directory.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/pace/least_urgent_rank.h"
#include "lavenderkeel/pace/overdue_grants.h"
#include "lavenderkeel/pace/pace_event.h"
#include "lavenderkeel/pace/relative_pace.h"
#include "lavenderkeel/pace/server_trial.h"
#include "lavenderkeel/pace/service_pace.h"

namespace lavenderkeel {

/// What a scheduler knows about the pace of the servers that it grants slots
/// of, from ended and running grants, and which of them are to be probed.
class PaceTracker {
 public:
  struct Options {
    /// Without it the tracker holds no state.
    bool enabled = false;
    RelativePace::Options pace;
    OverdueGrants::Options overdue;
    ServerTrial::Options trial;
    /// A request of a plain service is overdue after this many times what most
    /// requests take.
    double plain_overdue_factor = 2;
    /// The same for the estimated time of a stream, which is right at the
    /// median only.
    double stream_overdue_factor = 3;
    /// Receives the decisions; may be empty.
    std::function<void(const PaceEvent&)> on_event;
  };

  /// State of one server for a placement.
  struct View {
    /// Time per unit of work relative to the service.
    double relative_pace = 1;
    /// Whether the server gets probes only.
    bool probes_only = false;
    bool probe_due = false;
    /// Number of requests that the server may have now.
    int capacity = 0;
    /// When the server was last granted; orders equal servers.
    TimePoint last_grant_at;
  };

  explicit PaceTracker(Options options) : options_(std::move(options)) {}

  bool enabled() const { return options_.enabled; }

  void OnRequest(const SlotRequest& request, TimePoint now);
  /// @param usual_ms estimated time of a stream; zero if unknown
  /// @param probe whether the grant is a probe
  void OnGrant(const GrantId& grant,
               const std::string& server,
               const SlotRequest& request,
               double usual_ms,
               bool probe,
               TimePoint now);
  /// @param backed_off whether the server is in backoff after the attempt
  void OnEnd(const GrantId& grant,
             const SlotResult& result,
             bool backed_off,
             TimePoint now);
  /// Handles a grant that is no longer known to run; does nothing after OnEnd.
  void OnGrantGone(const GrantId& grant);
  /// Drops the state of servers that are not listed.
  void Tick(const ServerDirectory& directory);

  View ViewOf(uint64_t server, bool model_server, TimePoint now) const;
  /// Returns the usual time per unit of work of a service in milliseconds; zero
  /// if unknown.
  double ServicePaceMs(const std::string& service) const;
  /// Returns whether the request can bear the delay of a slow server.
  bool CanProbe(const SlotRequest& request, TimePoint now) const;

 private:
  struct Server {
    std::string start_key;
    RelativePace pace;
    OverdueGrants overdue;
    ServerTrial trial;
    int running = 0;
    TimePoint last_grant_at;
  };
  struct Service {
    ServicePace pace;
    LeastUrgentRank least_urgent_rank;
  };
  struct Running {
    uint64_t server = 0;
    std::string service;
    TimePoint granted_at;
    /// Zero: never overdue.
    Duration limit{};
    bool probe = false;
  };

  /// Removes a grant that ended.
  void Remove(const GrantId& grant, const Running& running);
  void OnAnswered(const GrantId& grant,
                  const Running& running,
                  Server& server,
                  const SlotResult& result,
                  TimePoint now);
  void Emit(PaceEvent::Kind kind,
            const Server& server,
            const GrantId& grant,
            TimePoint now) const;

  Options options_;
  std::unordered_map<uint64_t, Server> servers_;
  std::map<std::string, Service> services_;
  std::map<GrantId, Running> running_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_PACE_PACE_TRACKER_H_
