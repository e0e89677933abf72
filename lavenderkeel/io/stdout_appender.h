#ifndef LAVENDERKEEL_IO_STDOUT_APPENDER_H_
#define LAVENDERKEEL_IO_STDOUT_APPENDER_H_

#include <log4cplus/appender.h>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/log_limiter.h"

namespace lavenderkeel {

/// Log appender for standard output that never waits for the reader.
///
/// A line that doesn't fit into the pipe, or that exceeds the limiter's rate,
/// is dropped; the next line that is written reports the number of dropped
/// ones.
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
