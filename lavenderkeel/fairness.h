#ifndef LAVENDERKEEL_FAIRNESS_H_
#define LAVENDERKEEL_FAIRNESS_H_

/// Module fairness: weighted fair queueing between teams of equal rank.
#include "lavenderkeel/fairness/granted_work.h"
#include "lavenderkeel/fairness/queue_position.h"
#include "lavenderkeel/fairness/share_decision.h"
#include "lavenderkeel/fairness/share_log.h"
#include "lavenderkeel/fairness/slot_queue.h"
#include "lavenderkeel/fairness/team_work.h"
#include "lavenderkeel/fairness/work_estimator.h"

#endif  // LAVENDERKEEL_FAIRNESS_H_
