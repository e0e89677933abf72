#ifndef LAVENDERKEEL_FORWARD_SLOT_ROUTER_H_
#define LAVENDERKEEL_FORWARD_SLOT_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/forward/server_directory.h"
#include "lavenderkeel/forward/slot.h"

namespace lavenderkeel {

/// Router of an entry's slot requests to the schedulers that grant them.
///
/// The servers of a large service are split into groups. The scheduler of a
/// group runs at the entry that wins the rendezvous among those with a recent
/// report. If a scheduler is unresponsive, its waiting requests are sent to the
/// scheduler that is next in the rendezvous.
class SlotRouter {
 public:
  struct Options {
    /// This entry's name among the schedulers.
    std::string self;
    /// Minimum number of servers per scheduler. Few enough for an entry with a
    /// tenth of a core: some 300 small messages a second.
    size_t min_servers_per_scheduler = 16;
    /// Minimum number of servers per scheduler for each whole core of the
    /// weakest entry that hosts schedulers.
    ///
    /// With many groups, requests wait in one queue while slots are free in
    /// another, and urgent requests of one queue wait longer than others
    /// elsewhere: in a burst before 180 servers on the heaviest day, eleven
    /// groups served 0.81 of what clients ask for, two groups 0.91.
    double min_servers_per_core = 160;
    /// An entry without a report for this time hosts no scheduler. Four times
    /// the report period; a request can wait this long and still be in time.
    Duration scheduler_timeout = std::chrono::milliseconds(400);
  };

  struct Hooks {
    std::function<void(const std::string& scheduler, const SlotRequest&)>
        request_slot;
    std::function<void(const std::string& scheduler,
                       AttemptId attempt,
                       const SlotResult&)>
        release_slot;
  };

  SlotRouter(Options options,
             const ServerDirectory& directory,
             const Clock& clock,
             const EventLog& log,
             Hooks hooks);

  /// Chooses a group for the request and requests a slot from its scheduler.
  void RequestSlot(SlotRequest request);
  /// @return false if no waiting request matches the grant; the slot is then
  ///     returned unused
  bool OnGrant(const std::string& scheduler, AttemptId attempt);
  /// Ends the attempt, granted or not.
  void ReleaseSlot(AttemptId attempt, const SlotResult& result);
  /// Returns the scheduler that last received the attempt's slot request; empty
  /// if none did.
  std::string RequestedScheduler(AttemptId attempt) const;

  /// Handles a report of an entry that may host schedulers.
  void OnReport(const std::string& entry,
                const std::vector<SlotGroupReport>& reports);
  /// Sends waiting requests again after a reconnect, since messages on the
  /// former connection may be lost.
  void OnReconnected(const std::string& entry);
  /// Sets whether this entry hosts schedulers. If not, another entry that
  /// reports hosts them.
  void set_hosts_schedulers(bool hosts) { hosts_schedulers_ = hosts; }
  /// Sets the processor share of the weakest entry that hosts schedulers, in
  /// cores.
  void set_min_host_processor_share(double cores) {
    min_host_processor_share_ = cores;
  }
  /// Lets another entry host the schedulers from now on, if there is one.
  void set_leaving() { leaving_ = true; }
  /// Handles an entry that is leaving or lost.
  void OnSchedulerUnavailable(const std::string& entry);
  /// Moves waiting requests away from unresponsive schedulers.
  void Tick();

 private:
  struct Pending {
    SlotRequest request;
    std::string scheduler;
    bool granted = false;
  };
  struct SchedulerState {
    TimePoint last_report_time;
    std::vector<SlotGroupReport> reports;
  };

  SlotGroup ChooseGroup(const SlotRequest& request);
  size_t MinServersPerScheduler() const;
  std::string SchedulerFor(const std::string& service,
                           const SlotGroup& group) const;
  bool IsUp(const std::string& entry) const;
  void Send(Pending& pending);
  /// Sends the requests again that the scheduler has not granted.
  /// @return the number of these requests
  size_t Resend(const std::string& scheduler);

  Options options_;
  const ServerDirectory& directory_;
  const Clock& clock_;
  const EventLog& log_;
  Hooks hooks_;
  std::map<std::string, SchedulerState> schedulers_;
  std::map<AttemptId, Pending> pending_;
  /// Requests sent to a group since its scheduler's last report.
  std::map<std::pair<uint64_t, SlotGroup>, int> requests_since_report_;
  uint32_t round_robin_ = 0;
  bool hosts_schedulers_ = true;
  double min_host_processor_share_ = 0;
  bool leaving_ = false;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SLOT_ROUTER_H_
