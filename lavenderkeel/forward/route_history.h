#ifndef LAVENDERKEEL_FORWARD_ROUTE_HISTORY_H_
#define LAVENDERKEEL_FORWARD_ROUTE_HISTORY_H_

#include <map>
#include <optional>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/long_requests.h"
#include "lavenderkeel/forward/size_estimate.h"
#include "lavenderkeel/forward/upper_quantile_estimator.h"

namespace lavenderkeel {

/// Statistics of a route.
struct RouteHistory {
  SizeEstimate sizes;
  LongRequests long_requests;
  /// Time in milliseconds from sending a request to a plain service to the
  /// complete answer.
  UpperQuantileEstimator answer_ms;

  /// Returns a high quantile of the answer times of a plain service; nothing
  /// before the first answer.
  std::optional<Duration> AnswerTimeQuantile() const {
    return answer_ms.empty()
               ? std::nullopt
               : std::optional(FromMilliseconds(answer_ms.value()));
  }
};

/// By the name of the route.
using RouteHistories = std::map<std::string, RouteHistory>;

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_ROUTE_HISTORY_H_
