#ifndef LAVENDERKEEL_FORWARD_SIZE_ESTIMATE_H_
#define LAVENDERKEEL_FORWARD_SIZE_ESTIMATE_H_

#include <cmath>
#include <cstdint>

#include "lavenderkeel/forward/moving_mean.h"
#include "lavenderkeel/forward/request_terms.h"
#include "lavenderkeel/forward/work_size.h"

namespace lavenderkeel {

/// Learns, for one route, how many events its answers have.
///
/// Clients say how many output tokens they expect; how many of these make an
/// event is the servers' affair. Both are learned from whole answers.
class SizeEstimate {
 public:
  /// A whole answer had that many events.
  void OnAnswer(const RequestTerms& terms, int events) {
    events_.Add(events);
    if (terms.expected_output_tokens > 0) {
      told_events_.Add(events);
      told_tokens_.Add(static_cast<double>(terms.expected_output_tokens));
    }
  }

  /// Its answer will be much longer than the usual of the route.
  bool IsLong(const RequestTerms& terms) const {
    return !events_.empty() && Events(terms) > kLongPerMean * events_.mean();
  }

  WorkSize Of(const RequestTerms& terms) const {
    return {.prompt_tokens = static_cast<uint32_t>(terms.prompt_tokens),
            .events = static_cast<uint32_t>(std::lround(Events(terms)))};
  }

 private:
  double Events(const RequestTerms& terms) const {
    if (terms.expected_output_tokens == 0 || told_tokens_.mean() <= 0) {
      return events_.mean();
    }
    const double events_per_token = told_events_.mean() / told_tokens_.mean();
    return static_cast<double>(terms.expected_output_tokens) * events_per_token;
  }

  /// Where lengths spread by a factor of 4.5 about their middle, one request in
  /// fifteen is so long, and these few have half of all events.
  static constexpr double kLongPerMean = 3;

  /// Lengths differ hundredfold within a route, so the mean takes some fifty
  /// answers; at ten a second it follows a change within seconds.
  static constexpr double kSamplePart = 0.02;

  MovingMean events_{kSamplePart};
  /// Of answers whose clients said what they expect.
  MovingMean told_events_{kSamplePart};
  MovingMean told_tokens_{kSamplePart};
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SIZE_ESTIMATE_H_
