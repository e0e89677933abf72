#ifndef LAVENDERKEEL_FORWARD_SLOT_SCHEDULER_H_
#define LAVENDERKEEL_FORWARD_SLOT_SCHEDULER_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/suspect_runs.h"
#include "lavenderkeel/fairness.h"
#include "lavenderkeel/forward/entry_pushbacks.h"
#include "lavenderkeel/forward/placement.h"
#include "lavenderkeel/forward/server_directory.h"
#include "lavenderkeel/forward/server_load.h"
#include "lavenderkeel/forward/server_speed.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/forward/slot_occupancy.h"
#include "lavenderkeel/notice/server_rate_limiter.h"
#include "lavenderkeel/pace/pace_tracker.h"

namespace lavenderkeel {

/// Number of requests that one entry has at one server.
struct ServerCount {
  uint64_t server_hash = 0;
  int in_flight = 0;

  friend bool operator==(const ServerCount&, const ServerCount&) = default;
};

/// Scheduler that grants the slots of backend servers to all entries, urgent
/// requests first.
///
/// Entries that place requests by each other's reports, each a heartbeat old,
/// all take the same free slot: with 26 entries and 47 servers half of the
/// requests went to full servers, some ten deep, where urgent requests wait
/// behind earlier ones. One scheduler per group of servers has a current view
/// and one queue for all entries.
///
/// The state of a scheduler need not last: an entry whose scheduler is lost
/// sends its requests to another one, which starts from the entries' reports.
/// At-most-once execution does not depend on this state.
class SlotScheduler {
 public:
  struct Options {
    Placement::Options placement;
    ServerRateLimiter::Options rate_limits;
    EntryPushbacks::Options pushbacks;
    /// Enabled by `placement.server_probes`.
    PaceTracker::Options paces;
    /// A grant that the entry's reports do not show after this time was lost,
    /// or the message about its end was. Twice the report period plus a network
    /// delay.
    Duration grant_report_time = std::chrono::milliseconds(260);
    /// Limit of requests skipped to find one that fits a free server. A queue
    /// holds some hundred requests in a burst, and a scheduler may have a tenth
    /// of a core.
    int max_skipped_requests = 64;
    /// The same for requests that no free server may get, as one passed over
    /// before. They take a fraction of the time.
    int max_blocked_requests = 512;
    /// Seconds added to a request's sort time for each second that it is
    /// estimated to hold its slot.
    double length_penalty_weight = 1.0;
    /// A group without a slot request for this time has another scheduler now.
    Duration group_expiry = std::chrono::seconds(2);
    /// Whether teams of equal rank share the slots by weight.
    bool fair_shares = false;
    /// Whether reports have the queues by rank, which are as long as all else
    /// in a report and go to every entry.
    bool reports_ranks = false;
    /// Receives the decisions on requests of ranks in which several teams wait,
    /// with `fair_shares`.
    std::function<void(const ShareDecision&)> on_share_decision = {};
  };

  /// Delivers a grant. May call ReleaseSlot and RequestSlot re-entrantly.
  using OnGrant =
      std::function<void(const std::string& entry, const SlotGrant& grant)>;

  SlotScheduler(Options options,
                const ServerDirectory& directory,
                const ServerNotices& notices,
                const Clock& clock,
                OnGrant on_grant);

  void RequestSlot(const std::string& entry, const SlotRequest& request);
  /// Ends the attempt, granted or not.
  void ReleaseSlot(const std::string& entry,
                   AttemptId attempt,
                   const SlotResult& result);
  void OnReport(const std::string& entry,
                const std::vector<ServerCount>& counts);
  void ForgetEntry(const std::string& entry);
  /// Sets the fraction of the servers' rate limits that may be granted here.
  void set_rate_share(double share) { rate_limiter_.set_share(share); }
  /// Grants free slots, as after a change of the servers or as time passes.
  void GrantFreeSlots();
  /// Drops the state of removed servers and of unused groups, and grants free
  /// slots.
  void Tick();

  /// Returns reports on the groups with recent slot requests.
  std::vector<SlotGroupReport> Reports() const;
  size_t waiting(const std::string& service, const SlotGroup& group) const;
  /// Returns the free capacity at healthy servers of the group.
  int FreeCapacity(const std::string& service, const SlotGroup& group) const;

 private:
  using AttemptKey = std::pair<std::string, AttemptId>;
  struct QueueKey {
    std::string service;
    SlotGroup group;

    friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
  };
  struct WaitingRequest {
    SlotRequest request;
    QueuePosition position;
    TeamWork work;
    TimePoint since;
  };
  struct ActiveGrant {
    std::string server;
    TimePoint granted_at;
    CrashSuspicion suspicion = CrashSuspicion::kClear;
    QueueKey queue;
    SlotCharge charge;
  };
  /// Grants to one rank of a group.
  struct RankGrants {
    uint64_t count = 0;
    GrantedWork work;
  };
  /// Group with recent slot requests.
  struct Group {
    TimePoint last_request_time;
    std::map<RequestRank, RankGrants> grants;
  };
  using Grants = std::map<AttemptKey, ActiveGrant>;

  /// Returns the queues of a group by rank, and the grants since the start.
  std::vector<RankLoad> RankLoads(const QueueKey& key,
                                  const Group& group) const;
  static QueueKey QueueKeyOf(const SlotRequest& request) {
    return {.service = request.service, .group = request.group};
  }
  QueuePosition PositionOf(const AttemptKey& id,
                           const SlotRequest& request) const;
  /// Moves requests that can no longer be in time behind those that still can.
  void DemoteLateRequests();
  /// Returns the estimated time that the request will hold its slot; zero if
  /// unknown or not ordered by length.
  Duration LengthPenalty(const SlotRequest& request) const;
  /// Grants free slots of one service.
  void GrantFreeSlotsOfService(const std::string& service);
  void GrantFreeSlotsInQueue(const QueueKey& key, SlotQueue& queue);
  Placement::ServerState State() const;
  void Remove(const AttemptKey& id);
  /// Reports a decision on a waiting request if several teams wait in its rank.
  void ReportShareDecision(const WaitingRequest& waiting, bool granted);
  /// @param probe whether the request is to show whether the server is well
  void Grant(const AttemptKey& id, const BackendServer& server, bool probe);
  /// Returns the estimated time of a stream in milliseconds; zero if unknown.
  double UsualMs(const SlotRequest& request) const;
  /// Removes a grant whose attempt no longer runs; the request counts of the
  /// server stay.
  /// @param ran whether the request may have run
  Grants::iterator EraseGrant(Grants::iterator grant, bool ran);
  /// @return whether a lost grant was found
  bool VoidLostGrants(const std::string& entry);

  Options options_;
  const ServerDirectory& directory_;
  const Clock& clock_;
  OnGrant on_grant_;
  const ServerNotices& notices_;
  Placement placement_;
  SlotOccupancy occupancy_;
  ServerRateLimiter rate_limiter_;
  ServerLoads loads_;
  PaceTracker paces_;
  /// Recent speed of each service, over all of its servers.
  std::map<std::string, ServerSpeed> speeds_;
  std::map<QueueKey, SlotQueue> queues_;
  std::map<QueueKey, Group> groups_;
  std::map<std::string, WorkEstimator> work_estimators_;
  std::map<AttemptKey, WaitingRequest> waiting_by_attempt_;
  /// Requests that are not late yet, by the time at which they become late.
  std::set<std::pair<TimePoint, AttemptKey>> late_times_;
  Grants grants_;
  SuspectRuns suspects_;
  EntryPushbacks pushbacks_;
  bool granting_ = false;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SLOT_SCHEDULER_H_
