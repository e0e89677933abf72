#include "lavenderkeel/forward/request_timing.h"

#include <algorithm>

namespace lavenderkeel {

TimePoint RequestTiming::WaitsUntil(const ForwardedRequest& request) const {
  const double patience = Patience(*request.route);
  if (request.head_sent) {
    // Failure: a server falls silent in a burst, and the stream is taken away
    // from it to be resumed. Symptom: the line is long, no slot comes for 0.8 s
    // and the answer is cut, though its client would have waited on.
    return std::min(request.due, request.last_event_at + FromSeconds(patience));
  }
  const double whole = ToSeconds(request.due - request.arrived);
  const double wait = std::min(patience * options_.wait_per_patience,
                               whole * options_.wait_per_time_left);
  return std::min(request.due, request.arrived + FromSeconds(wait));
}

double RequestTiming::Patience(const Route& route) const {
  return std::max(
      {ToSeconds(options_.client_patience),
       ToSeconds(route.latency_target) * options_.client_patience_per_target,
       ToSeconds(route.event_gap_target) * options_.client_patience_per_gap});
}

Duration RequestTiming::ComeBackAfter(const ForwardedRequest& request) const {
  const Duration left = request.due - WaitsUntil(request);
  return std::min(
      options_.longest_come_back,
      FromSeconds(ToSeconds(left) * options_.come_back_per_time_left));
}

TimePoint RequestTiming::InTimeUntil(
    const ForwardedRequest& request,
    std::optional<Duration> answer_time) const {
  const Route& route = *request.route;
  if (request.head_sent || route.latency_target == Duration::zero()) {
    return request.due;
  }
  const Duration server_time = request.model_server
                                   ? PromptTime(request)
                                   : answer_time.value_or(Duration::zero());
  return request.first_sent + route.latency_target - server_time;
}

Duration RequestTiming::PromptTime(const ForwardedRequest& request) const {
  if (!request.model_server) {
    return Duration::zero();
  }
  return FromMilliseconds(static_cast<double>(request.terms.prompt_tokens) /
                          options_.slow_prompt_tokens_per_ms);
}

Duration RequestTiming::LongestSilence(const ForwardedRequest& request) const {
  const Route& route = *request.route;
  Duration longest;
  if (request.streams() && request.event_count > 0) {
    longest = std::chrono::duration_cast<Duration>(route.event_gap_target *
                                                   options_.silence_per_gap);
  } else {
    longest = std::chrono::duration_cast<Duration>(route.latency_target *
                                                   options_.silence_per_target);
    longest += PromptTime(request);
  }
  return std::max(longest, options_.least_silence);
}

}  // namespace lavenderkeel
