#ifndef LAVENDERKEEL_FAIRNESS_WORK_ESTIMATOR_H_
#define LAVENDERKEEL_FAIRNESS_WORK_ESTIMATOR_H_

#include <algorithm>

#include "lavenderkeel/fairness/team_work.h"
#include "lavenderkeel/forward/moving_mean.h"
#include "lavenderkeel/forward/slot.h"

namespace lavenderkeel {

/// Estimate of the work of slot requests for one service.
class WorkEstimator {
 public:
  TeamWork EstimateFor(const SlotRequest& request) {
    return {.team = request.team,
            .weight = TeamWork::ValidWeight(request.team_weight),
            .units = request.model_server ? Tokens(request.size) : 1};
  }

 private:
  /// Prompt tokens that cost a model server as much as one event. It reads some
  /// 30 tokens in a millisecond, and its streams pause meanwhile; an event
  /// takes some 25 ms in one of a dozen slots.
  static constexpr double kTokensPerEvent = 60;
  /// Larger than any request. A wrong size from another entry costs its team no
  /// more than this.
  static constexpr double kMaxTokens = 1e6;
  /// The mean covers some fifty requests, as that of SizeEstimate.
  static constexpr double kSampleWeight = 0.02;

  /// A request of unknown size counts as the mean of the others: the team that
  /// sends it would otherwise get slots at no cost.
  double Tokens(const WorkSize& size) {
    if (size == WorkSize()) {
      return known_.empty() ? 1 : known_.mean();
    }
    const double tokens = std::clamp(
        size.prompt_tokens + kTokensPerEvent * size.events, 1.0, kMaxTokens);
    known_.Add(tokens);
    return tokens;
  }

  MovingMean known_{kSampleWeight};
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FAIRNESS_WORK_ESTIMATOR_H_
