#include "lavenderkeel/forward/request_timing.h"

#include <algorithm>

namespace lavenderkeel {

TimePoint RequestTiming::SlotWaitEnd(const ForwardedRequest& request) const {
  const double patience = PatienceSeconds(*request.route);
  if (request.head_sent) {
    // A stream whose server stopped sending in a burst is resumed at another
    // server. The queue may be so long that no slot is free for 0.8 s; with the
    // shorter wait below, the answer would be cut although the client would
    // wait longer.
    return std::min(request.due, request.last_event_at + FromSeconds(patience));
  }
  const double total = ToSeconds(request.due - request.arrived);
  // The rest of the patience of a retry is for its answer.
  const double max_wait =
      request.is_retry() && options_.retry_wait_per_patience.has_value()
          ? std::max(0.0, patience * *options_.retry_wait_per_patience -
                              ToSeconds(PromptReadTime(request)))
          : patience * options_.wait_per_patience;
  const double wait = std::min(max_wait, total * options_.wait_per_time_left);
  return std::min(request.due, request.arrived + FromSeconds(wait));
}

double RequestTiming::PatienceSeconds(const Route& route) const {
  return std::max(
      {ToSeconds(options_.client_patience),
       ToSeconds(route.latency_target) * options_.client_patience_per_target,
       ToSeconds(route.event_gap_target) * options_.client_patience_per_gap});
}

Duration RequestTiming::RetryAfter(const ForwardedRequest& request) const {
  const Duration left = request.due - SlotWaitEnd(request);
  return std::min(
      options_.max_retry_after,
      FromSeconds(ToSeconds(left) * options_.retry_after_per_time_left));
}

TimePoint RequestTiming::LatestStartInTime(
    const ForwardedRequest& request,
    std::optional<Duration> answer_time) const {
  const Route& route = *request.route;
  if (request.head_sent || route.latency_target == Duration::zero()) {
    return request.due;
  }
  const Duration server_time = request.model_server
                                   ? PromptReadTime(request)
                                   : answer_time.value_or(Duration::zero());
  return request.first_sent + route.latency_target - server_time;
}

Duration RequestTiming::PromptReadTime(const ForwardedRequest& request) const {
  if (!request.model_server) {
    return Duration::zero();
  }
  return FromMilliseconds(static_cast<double>(request.metadata.prompt_tokens) /
                          options_.slow_prompt_tokens_per_ms);
}

Duration RequestTiming::MaxSilence(const ForwardedRequest& request) const {
  const Route& route = *request.route;
  Duration max_silence;
  if (request.streams() && request.event_count > 0) {
    max_silence = std::chrono::duration_cast<Duration>(
        route.event_gap_target * options_.silence_per_gap);
  } else {
    max_silence = std::chrono::duration_cast<Duration>(
        route.latency_target * options_.silence_per_target);
    max_silence += PromptReadTime(request);
  }
  return std::max(max_silence, options_.min_silence);
}

}  // namespace lavenderkeel
