#ifndef LAVENDERKEEL_ROLLOUT_ROLLOUT_WIRE_H_
#define LAVENDERKEEL_ROLLOUT_ROLLOUT_WIRE_H_

#include <memory>

#include "lavenderkeel/rollout/answer_counts.h"
#include "lavenderkeel/rollout/rollout_plan.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

std::unique_ptr<fbs::RolloutCountsT> ToWire(const RolloutCounts& counts);
RolloutCounts FromWire(const fbs::RolloutCountsT& wire);

std::unique_ptr<fbs::RolloutPlanT> ToWire(const RolloutPlan& plan);
/// Decodes a plan. Reads an unknown phase as the one that gives the new version
/// the fewest requests.
RolloutPlan FromWire(const fbs::RolloutPlanT& wire);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ROLLOUT_ROLLOUT_WIRE_H_
