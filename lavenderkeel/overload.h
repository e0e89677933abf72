#ifndef LAVENDERKEEL_OVERLOAD_H_
#define LAVENDERKEEL_OVERLOAD_H_

/// Module overload: admission control with early refusal, the prediction of the
/// wait for a slot, and the times at which refused clients are to come back.
#include "lavenderkeel/overload/early_refusal.h"
#include "lavenderkeel/overload/group_load.h"
#include "lavenderkeel/overload/prediction_error.h"
#include "lavenderkeel/overload/return_schedule.h"
#include "lavenderkeel/overload/service_load.h"
#include "lavenderkeel/overload/slot_rank.h"

#endif  // LAVENDERKEEL_OVERLOAD_H_
