#include "lavenderkeel/platform/conditional_update.h"

#include <utility>

namespace lavenderkeel {

ConditionalUpdate::ConditionalUpdate(Options options,
                                     const Clock& clock,
                                     std::mt19937_64& random,
                                     PlatformPort& port)
    : options_(std::move(options)),
      clock_(clock),
      random_(random),
      port_(port),
      backoff_(options_.retry) {}

void ConditionalUpdate::Start() {
  if (state_ == State::kReading || state_ == State::kWriting) {
    restart_requested_ = true;
    return;
  }
  Read();
}

void ConditionalUpdate::Tick() {
  if (state_ == State::kWaiting && clock_.Now() >= retry_at_) {
    Read();
  }
}

void ConditionalUpdate::Read() {
  state_ = State::kReading;
  port_.Call(ReadObject(options_.object),
             [this](const PlatformReply& reply) { OnRead(reply); });
}

void ConditionalUpdate::OnRead(const PlatformReply& reply) {
  const bool missing = reply.missing();
  if (!reply.ok() && !missing) {
    RetryLater();
    return;
  }
  const std::optional<std::string> present =
      missing ? std::nullopt : std::optional(reply.body);
  std::optional<std::string> body = options_.next(present);
  if (!body.has_value()) {
    Finish();
    return;
  }
  state_ = State::kWriting;
  port_.Call(WriteObject(options_.object, *std::move(body),
                         missing ? "*" : reply.etag),
             [this](const PlatformReply& written) { OnWritten(written); });
}

void ConditionalUpdate::OnWritten(const PlatformReply& reply) {
  if (reply.ok()) {
    Finish();
  } else if (reply.precondition_failed()) {
    Read();
  } else {
    RetryLater();
  }
}

void ConditionalUpdate::RetryLater() {
  state_ = State::kWaiting;
  retry_at_ = clock_.Now() + backoff_.Next(random_);
}

void ConditionalUpdate::Finish() {
  state_ = State::kDone;
  backoff_.Reset();
  if (std::exchange(restart_requested_, false)) {
    Read();
    return;
  }
  if (options_.done) {
    options_.done();
  }
}

}  // namespace lavenderkeel
