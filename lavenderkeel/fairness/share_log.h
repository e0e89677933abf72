#ifndef LAVENDERKEEL_FAIRNESS_SHARE_LOG_H_
#define LAVENDERKEEL_FAIRNESS_SHARE_LOG_H_

#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/fairness/share_decision.h"

namespace lavenderkeel {

/// Log lines and metrics about the shares of teams.
class ShareLog {
 public:
  ShareLog(const EventLog& log, Metrics& metrics)
      : log_(log), metrics_(metrics) {}

  void OnDecision(const ShareDecision& decision) const;

 private:
  const EventLog& log_;
  Metrics& metrics_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FAIRNESS_SHARE_LOG_H_
