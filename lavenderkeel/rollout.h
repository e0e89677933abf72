#ifndef LAVENDERKEEL_ROLLOUT_H_
#define LAVENDERKEEL_ROLLOUT_H_

/// Module rollout: moves a service's traffic to servers of a new version.
/// Covers the operators' orders, the limit on requests sent to an unproven
/// version, its comparison with the baseline, and completion or rollback.
#include "lavenderkeel/rollout/answer_counts.h"
#include "lavenderkeel/rollout/rollout_controller.h"
#include "lavenderkeel/rollout/rollout_order.h"
#include "lavenderkeel/rollout/rollout_plan.h"
#include "lavenderkeel/rollout/rollout_progress.h"
#include "lavenderkeel/rollout/rollout_wire.h"
#include "lavenderkeel/rollout/service_versions.h"
#include "lavenderkeel/rollout/version_comparison.h"
#include "lavenderkeel/rollout/version_selector.h"

#endif  // LAVENDERKEEL_ROLLOUT_H_
