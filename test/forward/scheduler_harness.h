#ifndef LAVENDERKEEL_TEST_FORWARD_SCHEDULER_HARNESS_H_
#define LAVENDERKEEL_TEST_FORWARD_SCHEDULER_HARNESS_H_

#include <map>
#include <string>

#include "lavenderkeel/forward/slot_scheduler.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

/// Scheduler under a virtual clock that records its grants.
struct SchedulerHarness {
  SchedulerHarness() : SchedulerHarness(SlotScheduler::Options()) {}
  explicit SchedulerHarness(const SlotScheduler::Options& options)
      : scheduler(options,
                  directory,
                  notices,
                  clock,
                  [this](const std::string&, const SlotGrant& grant) {
                    granted[grant.attempt] = grant.server;
                  }) {}

  /// @return the server, or "none" for a request that has not been granted
  std::string ServerOf(AttemptId attempt) const {
    const auto found = granted.find(attempt);
    return found == granted.end() ? "none" : found->second;
  }

  fuzz::VirtualClock clock;
  ServerDirectory directory;
  std::map<AttemptId, std::string> granted;
  EventLog log;
  ServerNotices notices{{.self = "self"}, clock, log};
  SlotScheduler scheduler;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_FORWARD_SCHEDULER_HARNESS_H_
