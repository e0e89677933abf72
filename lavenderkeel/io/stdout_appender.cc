#include "lavenderkeel/io/stdout_appender.h"

#include <log4cplus/layout.h>
#include <poll.h>
#include <unistd.h>

#include <sstream>
#include <string>

namespace lavenderkeel {

namespace {

bool IsWritable(int file) {
  // For a pipe, POLLOUT means that PIPE_BUF bytes, which is more than a line,
  // can be written at once.
  pollfd state{.fd = file, .events = POLLOUT, .revents = 0};
  return poll(&state, 1, /*timeout=*/0) == 1 && (state.revents & POLLOUT) != 0;
}

}  // namespace

void StdoutAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  if (!limiter_.Take(clock_.Now())) {
    return;
  }
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  Write(line.str());
}

void StdoutAppender::Write(const std::string& line) {
  if (!IsWritable(STDOUT_FILENO)) {
    limiter_.CountDropped();
    return;
  }
  std::string text;
  if (const uint64_t dropped = limiter_.TakeDropped(); dropped > 0) {
    text = "event=log_dropped lines=" + std::to_string(dropped) + "\n";
  }
  text += line;
  const ssize_t written = write(STDOUT_FILENO, text.data(), text.size());
  if (written < 0) {
    // Only the next line that is written can report the loss.
    limiter_.CountDropped();
  }
}

}  // namespace lavenderkeel
