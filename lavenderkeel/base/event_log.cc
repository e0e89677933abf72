#include "lavenderkeel/base/event_log.h"

#include <algorithm>

#include "lavenderkeel/base/ascii.h"

namespace lavenderkeel {

namespace {

/// Longer values, such as names that other writers choose, are cut.
constexpr size_t kMaxValueBytes = 4096;

bool NeedsQuotes(char c) {
  return c == ' ' || c == '"' || c == '=' || IsControlCharacter(c);
}

void AppendValue(std::string_view value, std::string& line) {
  const bool cut = value.size() > kMaxValueBytes;
  value = value.substr(0, kMaxValueBytes);
  if (!value.empty() && !cut && std::ranges::none_of(value, NeedsQuotes)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
    }
    // A line break from a caller must not start a forged log line.
    line += IsControlCharacter(c) ? ' ' : c;
  }
  line += cut ? "...\"" : "\"";
}

}  // namespace

void EventLog::Write(LogLevel level,
                     std::string_view event,
                     std::initializer_list<LogField> fields) const {
  if (!enabled(level)) {
    return;
  }
  std::string line = "event=";
  line += event;
  for (const LogField& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    AppendValue(field.value, line);
  }
  sink_(level, line);
}

}  // namespace lavenderkeel
