#ifndef LAVENDERKEEL_FORWARD_SIZE_ESTIMATE_H_
#define LAVENDERKEEL_FORWARD_SIZE_ESTIMATE_H_

#include <cmath>
#include <cstdint>

#include "lavenderkeel/forward/moving_mean.h"
#include "lavenderkeel/forward/request_metadata.h"
#include "lavenderkeel/forward/work_size.h"

namespace lavenderkeel {

/// Estimate of the number of events per answer of one route.
///
/// Clients state the expected output tokens; how many tokens make an event
/// depends on the servers. The mean number of events and the events per token
/// are estimated from complete answers.
class SizeEstimate {
 public:
  /// Records a complete answer with the given number of events.
  void OnAnswer(const RequestMetadata& metadata, int events) {
    events_.Add(events);
    if (metadata.expected_output_tokens > 0) {
      hinted_events_.Add(events);
      hinted_tokens_.Add(static_cast<double>(metadata.expected_output_tokens));
    }
  }

  /// Returns whether the answer is expected to be much longer than the route's
  /// average.
  bool IsLong(const RequestMetadata& metadata) const {
    return !events_.empty() &&
           EstimateEvents(metadata) > kLongEventsPerMean * events_.mean();
  }

  WorkSize EstimateFor(const RequestMetadata& metadata) const {
    return {
        .prompt_tokens = static_cast<uint32_t>(metadata.prompt_tokens),
        .events = static_cast<uint32_t>(std::lround(EstimateEvents(metadata)))};
  }

 private:
  double EstimateEvents(const RequestMetadata& metadata) const {
    if (metadata.expected_output_tokens == 0 || hinted_tokens_.mean() <= 0) {
      return events_.mean();
    }
    const double events_per_token =
        hinted_events_.mean() / hinted_tokens_.mean();
    return static_cast<double>(metadata.expected_output_tokens) *
           events_per_token;
  }

  /// Where lengths spread by a factor of 4.5 around their median, one request
  /// in fifteen is this long, and these few have half of all events.
  static constexpr double kLongEventsPerMean = 3;

  /// Lengths differ hundredfold within a route, so the mean covers some fifty
  /// answers; at ten a second it follows a change within seconds.
  static constexpr double kSampleWeight = 0.02;

  MovingMean events_{kSampleWeight};
  /// From answers whose clients stated the expected output tokens.
  MovingMean hinted_events_{kSampleWeight};
  MovingMean hinted_tokens_{kSampleWeight};
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SIZE_ESTIMATE_H_
