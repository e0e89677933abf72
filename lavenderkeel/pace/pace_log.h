#ifndef LAVENDERKEEL_PACE_PACE_LOG_H_
#define LAVENDERKEEL_PACE_PACE_LOG_H_

#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/pace/pace_event.h"

namespace lavenderkeel {

/// Writes decisions about the use of servers to the log and counts them.
class PaceLog {
 public:
  PaceLog(const EventLog& log, Metrics& metrics)
      : log_(&log), metrics_(&metrics) {}

  void operator()(const PaceEvent& event) const;

 private:
  const EventLog* log_;
  Metrics* metrics_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_PACE_PACE_LOG_H_
