#include "lavenderkeel/forward/request_timing.h"

#include <algorithm>

namespace lavenderkeel {

namespace {

/// How long a broken stream may wait for a server to resume at. Clients give a
/// pause of two seconds, and a pause beyond a few hundred ms is late anyway.
constexpr Duration kResumeWait = std::chrono::milliseconds(800);

}  // namespace

TimePoint RequestTiming::WaitsUntil(const ForwardedRequest& request) const {
  if (request.head_sent) {
    return std::min(request.due, request.waiting_since + kResumeWait);
  }
  const Route& route = *request.route;
  const double patience = std::max(
      {ToSeconds(options_.client_patience),
       ToSeconds(route.latency_target) * options_.client_patience_per_target,
       ToSeconds(route.event_gap_target) * options_.client_patience_per_gap});
  const double whole = ToSeconds(request.due - request.arrived);
  const double wait = std::min(patience * options_.wait_per_patience,
                               whole * options_.wait_per_time_left);
  return std::min(request.due, request.arrived + FromSeconds(wait));
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
  return request.first_sent + route.latency_target -
         answer_time.value_or(PromptTime(request));
}

Duration RequestTiming::PromptTime(const ForwardedRequest& request) const {
  if (!request.model_server) {
    return Duration::zero();
  }
  constexpr double kMillisecondsPerSecond = 1000;
  return FromSeconds(static_cast<double>(request.terms.prompt_tokens) /
                     options_.slow_prompt_tokens_per_ms /
                     kMillisecondsPerSecond);
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
