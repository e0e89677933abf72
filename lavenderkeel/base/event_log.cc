#include "lavenderkeel/base/event_log.h"

namespace lavenderkeel {

namespace {

void AppendValue(const std::string& value, std::string& line) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
  if (plain) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
    }
    // A line break from a caller must not start a forged log line.
    line += (c == '\n' || c == '\r') ? ' ' : c;
  }
  line += '"';
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
