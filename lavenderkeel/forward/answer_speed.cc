#include "lavenderkeel/forward/answer_speed.h"

namespace lavenderkeel {

std::optional<double> PaceOf(const ForwardedRequest& request, TimePoint now) {
  if (!request.model_server) {
    return ToFractionalMilliseconds(now - request.sent_at);
  }
  // Over fewer events, the pace depends more on the prompts of other requests
  // than on the server.
  constexpr int kMinEvents = 5;
  if (request.event_count < kMinEvents) {
    return std::nullopt;
  }
  return ToFractionalMilliseconds(request.last_event_at -
                                  request.first_event_at) /
         (request.event_count - 1);
}

std::optional<PromptRead> PromptReadOf(const ForwardedRequest& request) {
  // For a shorter prompt, the wait depends more on the network and on other
  // prompts.
  constexpr uint64_t kMinTokens = 1000;
  if (request.event_count == 0 || request.metadata.prompt_tokens < kMinTokens) {
    return std::nullopt;
  }
  return PromptRead{
      .tokens = static_cast<uint32_t>(request.metadata.prompt_tokens),
      .ms = ToFractionalMilliseconds(request.first_event_at - request.sent_at)};
}

}  // namespace lavenderkeel
