#include "lavenderkeel/rates/rank_reserve.h"

#include <algorithm>

namespace lavenderkeel {

double RankReserve::RefillLeft(const Inputs& inputs) {
  constexpr double kMinPart = 0.05;
  return std::max(inputs.refill - inputs.more_urgent_demand,
                  inputs.refill * kMinPart);
}

double RankReserve::PartForSize(const Inputs& inputs) const {
  const double smallest = inputs.refill * ToSeconds(options_.smallest_bucket);
  const double full = inputs.refill * ToSeconds(options_.full_size_bucket);
  return full <= smallest
             ? 1
             : std::clamp((inputs.capacity - smallest) / (full - smallest), 0.0,
                          1.0);
}

RankReserve::Result RankReserve::For(const Inputs& inputs) const {
  Result result;
  const double span =
      std::max(0.0, inputs.capacity - inputs.need) * PartForSize(inputs);
  const bool has_more_urgent = inputs.more_urgent_demand > options_.min_units;
  if (has_more_urgent) {
    const double horizon = ToSeconds(options_.horizon);
    const double largest =
        std::max(inputs.all_but_last_demand, inputs.more_urgent_demand) *
        horizon;
    // Scaled rather than cut off, so that of several ranks the more urgent one
    // still sees the smaller reserve.
    const double scale = std::min(1.0, span * options_.max_part / largest);
    result.reserve = inputs.more_urgent_demand * horizon * scale;
  }
  result.held =
      std::min(inputs.held, (span - result.reserve) * options_.max_part);
  const double floor = inputs.need + result.reserve + result.held;
  if (inputs.level < floor) {
    result.admitted_part = 0;
    return result;
  }
  // With a report delay d, the level oscillates if the admitted units grow by
  // more than 1/d per unit of the level.
  const double range =
      std::min(span - result.reserve - result.held,
               inputs.refill * options_.max_admitted_per_refill *
                   ToSeconds(options_.report_delay));
  if (!has_more_urgent || inputs.level - floor >= range ||
      inputs.level >= inputs.capacity || inputs.rank_demand <= 0) {
    return result;
  }
  const double admitted = options_.max_admitted_per_refill *
                          (inputs.level - floor) / range * RefillLeft(inputs);
  result.admitted_part = std::min(1.0, admitted / inputs.rank_demand);
  return result;
}

}  // namespace lavenderkeel
