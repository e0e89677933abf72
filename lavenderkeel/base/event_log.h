#ifndef LAVENDERKEEL_BASE_EVENT_LOG_H_
#define LAVENDERKEEL_BASE_EVENT_LOG_H_

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace lavenderkeel {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// A key=value pair of a log line; values with blanks or quotes are quoted.
struct LogField {
  std::string_view name;
  std::string value;

  LogField(std::string_view field_name, std::string_view field_value)
      : name(field_name), value(field_value) {}
  template <typename Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view field_name,
                                                 Number number)
      : name(field_name), value(std::to_string(number)) {}
};

/// Structured log with one line per event. The sink is a hook: daemons pass
/// log4cplus, tests a list, benchmarks nothing.
class EventLog {
 public:
  using Sink = std::function<void(LogLevel, const std::string& line)>;

  EventLog() = default;
  explicit EventLog(Sink sink, LogLevel min_level = LogLevel::kInfo)
      : sink_(std::move(sink)), min_level_(min_level) {}

  void Write(LogLevel level,
             std::string_view event,
             std::initializer_list<LogField> fields) const;

  void Info(std::string_view event,
            std::initializer_list<LogField> fields) const {
    Write(LogLevel::kInfo, event, fields);
  }
  void Warn(std::string_view event,
            std::initializer_list<LogField> fields) const {
    Write(LogLevel::kWarning, event, fields);
  }

  /// Returns true if lines of this level are written; a caller may skip
  /// building a costly field otherwise.
  bool enabled(LogLevel level) const { return sink_ && level >= min_level_; }

 private:
  Sink sink_;
  LogLevel min_level_ = LogLevel::kInfo;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_EVENT_LOG_H_
