#include "lavenderkeel/forward/answer_forwarder.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "lavenderkeel/http/event_stream.h"

namespace lavenderkeel {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

/// Returns the head without connection fields.
ResponseHead ForClient(const ResponseHead& head) {
  ResponseHead passed = head;
  passed.fields = WithoutConnectionFields(head.fields);
  return passed;
}

}  // namespace

bool AnswerForwarder::IsEventStream(const ResponseHead& head) {
  if (head.status < kFirstSuccess || head.status >= kFirstRedirect) {
    return false;
  }
  const std::string* type = FindField(head.fields, "Content-Type");
  constexpr std::string_view kEventStream = "text/event-stream";
  return type != nullptr &&
         SameFieldName(std::string_view(*type).substr(0, kEventStream.size()),
                       kEventStream);
}

void AnswerForwarder::OnChunk(ForwardedRequest& request, std::string bytes) {
  if (request.answer_streams) {
    request.events.Feed(bytes);
    ForwardEvents(request);
    return;
  }
  if (request.head_sent) {
    port_.RespondChunk(request.exchange, bytes);
    return;
  }
  request.answer_body += bytes;
  const size_t max_bytes = request.memory.is_over()
                               ? options_.max_buffered_bytes_if_short
                               : options_.max_buffered_bytes;
  if (request.answer_body.size() > max_bytes) {
    request.head_sent = true;
    port_.RespondHead(request.exchange, ForClient(*request.answer_head));
    port_.RespondChunk(request.exchange,
                       std::exchange(request.answer_body, {}));
  }
}

void AnswerForwarder::ForwardEvents(ForwardedRequest& request) {
  const TimePoint now = clock_.Now();
  std::string passed;
  while (std::optional<StreamEvent> event = request.events.Next()) {
    if (request.event_count++ == 0) {
      request.first_event_at = now;
      version_selector_.OnFirstChunk(request.service, request.version_attempt,
                                     now - request.sent_at);
    }
    if (request.head_sent) {
      request.longest_pause =
          std::max(request.longest_pause, now - request.last_event_at);
    }
    request.last_event_at = now;
    if (!event->id.empty()) {
      request.last_event_id = event->id;
    }
    passed += event->bytes;
  }
  if (passed.empty()) {
    return;
  }
  // The head is sent with the first event: until then a broken stream can be
  // started again or reported as failed.
  if (!std::exchange(request.head_sent, true)) {
    port_.RespondHead(request.exchange, ForClient(*request.answer_head));
    metrics_.Observe("first_event_seconds{priority=\"" +
                         std::to_string(request.priority) + "\"}",
                     ToSeconds(now - request.arrived));
  }
  port_.RespondChunk(request.exchange, passed);
}

void AnswerForwarder::Finish(ForwardedRequest& request) {
  if (request.head_sent) {
    port_.RespondEnd(request.exchange);
  } else {
    port_.Respond(request.exchange, ForClient(*request.answer_head),
                  request.answer_body);
  }
}

}  // namespace lavenderkeel
