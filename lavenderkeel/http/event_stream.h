#ifndef LAVENDERKEEL_HTTP_EVENT_STREAM_H_
#define LAVENDERKEEL_HTTP_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderkeel {

/// One server-sent event with its bytes as they came, the empty line included.
struct StreamEvent {
  std::string bytes;
  /// Empty for an event without an id, such as a comment.
  std::string id;

  friend bool operator==(const StreamEvent&, const StreamEvent&) = default;
};

/// Cuts the body of a `text/event-stream` into whole events.
///
/// A server may stop in the middle of an event. Only whole ones are forwarded,
/// so that a run resumed elsewhere goes on exactly where the client stands.
class EventStreamReader {
 public:
  void Feed(std::string_view bytes) { pending_ += bytes; }

  /// The next whole event, or nothing until more has come.
  std::optional<StreamEvent> Next();

  /// A part of an event is left: the stream is not at a boundary.
  bool has_part() const { return !pending_.empty(); }

 private:
  std::string pending_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_HTTP_EVENT_STREAM_H_
