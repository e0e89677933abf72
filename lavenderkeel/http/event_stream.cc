#include "lavenderkeel/http/event_stream.h"

#include <algorithm>

namespace lavenderkeel {

namespace {

/// Returns the position after the first empty line, or npos. Lines end in \n or
/// \r\n.
/// @param line where to begin; set to the start of the last line
size_t EndOfEvent(std::string_view text, size_t& line) {
  for (size_t end = text.find('\n', line); end != std::string_view::npos;
       end = text.find('\n', line)) {
    const bool empty = end == line || (end == line + 1 && text[line] == '\r');
    line = end + 1;
    if (empty) {
      return line;
    }
  }
  return std::string_view::npos;
}

std::string IdOf(std::string_view event) {
  constexpr std::string_view kField = "id:";
  std::string id;
  while (!event.empty()) {
    const size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    id = line;
  }
  return id;
}

}  // namespace

std::optional<StreamEvent> EventStreamReader::Next() {
  const size_t end = EndOfEvent(pending_, scanned_);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  StreamEvent event{.bytes = pending_.substr(0, end), .id = {}};
  pending_.erase(0, end);
  scanned_ = 0;
  event.id = IdOf(event.bytes);
  return event;
}

}  // namespace lavenderkeel
