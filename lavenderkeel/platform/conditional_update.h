#ifndef LAVENDERKEEL_PLATFORM_CONDITIONAL_UPDATE_H_
#define LAVENDERKEEL_PLATFORM_CONDITIONAL_UPDATE_H_

#include <functional>
#include <optional>
#include <random>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/membership/backoff.h"
#include "lavenderkeel/platform/platform_port.h"

namespace lavenderkeel {

/// Read-modify-write of one object, retried until it succeeds.
///
/// Each attempt reads the object, computes the next body and writes it on
/// condition that no other process has written in between. A write whose answer
/// was lost needs no special case: the next attempt reads the object, and
/// `next` returns nothing if the write took effect.
class ConditionalUpdate {
 public:
  struct Options {
    std::string object;
    /// Computes the body to write from the present one; returns nothing if no
    /// write is needed.
    std::function<std::optional<std::string>(
        const std::optional<std::string>& present)>
        next;
    std::function<void()> done;
    Backoff::Options retry = {.initial = std::chrono::milliseconds(100),
                              .max = std::chrono::seconds(10)};
  };

  ConditionalUpdate(Options options,
                    const Clock& clock,
                    std::mt19937_64& random,
                    PlatformPort& port);

  /// Starts the update, or restarts it after the result of `next` has changed.
  void Start();
  void Tick();
  bool finished() const { return state_ == State::kDone; }

 private:
  enum class State { kIdle, kReading, kWriting, kWaiting, kDone };

  void Read();
  void OnRead(const PlatformReply& reply);
  void OnWritten(const PlatformReply& reply);
  void RetryLater();
  void Finish();

  Options options_;
  const Clock& clock_;
  std::mt19937_64& random_;
  PlatformPort& port_;
  Backoff backoff_;
  State state_ = State::kIdle;
  TimePoint retry_at_;
  bool restart_requested_ = false;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_PLATFORM_CONDITIONAL_UPDATE_H_
