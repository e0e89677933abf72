#ifndef LAVENDERKEEL_PACE_H_
#define LAVENDERKEEL_PACE_H_

/// Module pace: how fast and how well the servers of a service are relative to
/// each other, and how a server that was slow or failed returns.
#include "lavenderkeel/pace/least_urgent_rank.h"
#include "lavenderkeel/pace/overdue_grants.h"
#include "lavenderkeel/pace/pace_event.h"
#include "lavenderkeel/pace/pace_log.h"
#include "lavenderkeel/pace/pace_tracker.h"
#include "lavenderkeel/pace/relative_pace.h"
#include "lavenderkeel/pace/server_trial.h"
#include "lavenderkeel/pace/service_pace.h"

#endif  // LAVENDERKEEL_PACE_H_
