#ifndef LAVENDERKEEL_HTTP_EVENT_STREAM_H_
#define LAVENDERKEEL_HTTP_EVENT_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderkeel {

/// A server-sent event with its bytes as received, including the empty line.
struct StreamEvent {
  std::string bytes;
  /// Empty for an event without an id, such as a comment.
  std::string id;

  friend bool operator==(const StreamEvent&, const StreamEvent&) = default;
};

/// Reader that splits the body of a `text/event-stream` into whole events.
///
/// A server may stop in the middle of an event. Only whole events are
/// forwarded, so that a run resumed on another server continues exactly after
/// the last event that the client has received.
class EventStreamReader {
 public:
  void Feed(std::string_view bytes) { pending_ += bytes; }

  /// Returns the next whole event, or nothing until more bytes arrive.
  std::optional<StreamEvent> Next();

  /// Returns true if bytes of an incomplete event remain: the stream is not at
  /// an event boundary.
  bool has_incomplete_event() const { return !pending_.empty(); }
  /// Returns the size of the incomplete event in bytes.
  size_t incomplete_bytes() const { return pending_.size(); }

 private:
  std::string pending_;
  /// Start of the first line that has not been found complete.
  size_t scanned_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_HTTP_EVENT_STREAM_H_
