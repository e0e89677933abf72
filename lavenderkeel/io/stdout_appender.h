#ifndef LAVENDERKEEL_IO_STDOUT_APPENDER_H_
#define LAVENDERKEEL_IO_STDOUT_APPENDER_H_

#include <log4cplus/appender.h>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/log_limiter.h"

namespace lavenderkeel {

/// Writes log lines to standard output, never waiting for its reader.
///
/// A line that the pipe has no room for, or that is over the limiter's rate, is
/// left out; how many were is said with the next line that goes through.
class StdoutAppender final : public log4cplus::Appender {
 public:
  StdoutAppender() = default;
  ~StdoutAppender() override { destructorImpl(); }
  StdoutAppender(const StdoutAppender&) = delete;
  StdoutAppender& operator=(const StdoutAppender&) = delete;

  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  void Write(const std::string& line);

  SystemClock clock_;
  LogLimiter limiter_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_STDOUT_APPENDER_H_
