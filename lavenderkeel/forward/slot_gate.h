#ifndef LAVENDERKEEL_FORWARD_SLOT_GATE_H_
#define LAVENDERKEEL_FORWARD_SLOT_GATE_H_

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
#include "lavenderkeel/forward/placement.h"
#include "lavenderkeel/forward/server_directory.h"
#include "lavenderkeel/forward/server_load.h"
#include "lavenderkeel/forward/server_speed.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/forward/slot_occupancy.h"
#include "lavenderkeel/forward/suspect_runs.h"

namespace lavenderkeel {

/// Requests that one entry has at one server.
struct ServerCount {
  uint64_t server_hash = 0;
  int in_flight = 0;

  friend bool operator==(const ServerCount&, const ServerCount&) = default;
};

/// Hands out the slots of backend servers to all entries, urgent work first.
///
/// Load it answers: entries that place on each other's reports, each a
/// heartbeat old, all take the same free slot. With 26 entries before 47
/// servers half of the requests went to servers that were full already, some
/// ten deep, where urgent work waits behind whatever came first. One gate for
/// a group of servers has no stale view and one line for all entries.
///
/// It holds nothing that has to last: an entry whose gate is gone asks another,
/// which starts from the entries' reports. At most once does not rest on it.
class SlotGate {
 public:
  struct Options {
    Placement::Options placement;
    /// A grant that its entry's reports do not show after this time was lost
    /// on the way, or its end was. Twice the period of reports and a way.
    Duration grant_settles = std::chrono::milliseconds(260);
    /// Wishes that are passed over in search of one that a free slot suits. A
    /// line holds some hundred in a burst, and a gate has a tenth of a core.
    int most_passed_over = 64;
    /// What each second that a request will hold its slot, by estimate, adds to
    /// the moment that its place in the line goes by.
    double order_by_length = 1.0;
    /// A group that no wish came for in this time has another gate now.
    Duration group_forgotten = std::chrono::seconds(2);
  };

  /// Hands a slot out. May lead back to Done and Ask.
  using OnGrant =
      std::function<void(const std::string& asker, const SlotGrant& grant)>;

  SlotGate(Options options,
           const ServerDirectory& directory,
           const Clock& clock,
           OnGrant on_grant);

  void Ask(const std::string& asker, const SlotAsk& ask);
  /// The attempt is over, granted or not.
  void Done(const std::string& asker,
            AttemptId attempt,
            const SlotResult& result);
  void OnReport(const std::string& asker,
                const std::vector<ServerCount>& counts);
  void ForgetAsker(const std::string& asker);
  /// Grants what can be granted, as after a change of servers or with time.
  void Dispatch();
  /// Forgets servers that are gone, and does what time asks for.
  void Tick();

  /// Of the groups that wishes came for lately.
  std::vector<GateReport> Reports() const;
  size_t waiting(const std::string& service, const SlotGroup& group) const;
  /// Free places at sound servers of the group.
  int Free(const std::string& service, const SlotGroup& group) const;

 private:
  using AskId = std::pair<std::string, AttemptId>;
  struct Line {
    std::string service;
    SlotGroup group;

    friend auto operator<=>(const Line&, const Line&) = default;
  };
  struct Place {
    int priority = 0;
    int route_priority = 0;
    bool late = false;
    /// When it is late, or due if it is late already.
    TimePoint before;
    AskId ask;

    friend auto operator<=>(const Place&, const Place&) = default;
  };
  struct Waiting {
    SlotAsk ask;
    Place place;
  };
  struct Granted {
    std::string server;
    TimePoint at;
    CrashStanding standing = CrashStanding::kClear;
  };
  using Grants = std::map<AskId, Granted>;

  static Line LineOf(const SlotAsk& ask) {
    return {.service = ask.service, .group = ask.group};
  }
  Place PlaceOf(const AskId& id, const SlotAsk& ask) const;
  /// Puts wishes that can't be in time any more behind those that can.
  void SortOutLate();
  /// How long it will hold its slot, by estimate; zero if that is not known or
  /// its place does not go by it.
  Duration LengthPenalty(const SlotAsk& ask) const;
  /// The same for the lines of one service.
  void DispatchService(const std::string& service);
  void DispatchLine(const Line& line, std::set<Place>& places);
  void Remove(const AskId& id);
  void Grant(const AskId& id, const BackendServer& server);
  /// It does not run any more; counts of requests at the server stay.
  Grants::iterator EraseGrant(Grants::iterator grant);
  /// @return whether a lost one was found
  bool SettleGrants(const std::string& asker);

  Options options_;
  const ServerDirectory& directory_;
  const Clock& clock_;
  OnGrant on_grant_;
  Placement placement_;
  SlotOccupancy occupancy_;
  ServerLoads loads_;
  /// How long a service's servers took of late, whichever they were.
  std::map<std::string, ServerSpeed> speeds_;
  std::map<Line, std::set<Place>> lines_;
  /// When the last wish for each group came.
  std::map<Line, TimePoint> asked_;
  std::map<AskId, Waiting> by_attempt_;
  /// Wishes that are not late yet, by when they will be.
  std::set<std::pair<TimePoint, AskId>> late_at_;
  Grants grants_;
  SuspectRuns suspects_;
  bool dispatching_ = false;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SLOT_GATE_H_
