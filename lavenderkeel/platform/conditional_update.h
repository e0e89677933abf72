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

/// Brings one object to a state and tries until it is there.
///
/// Each try reads, computes the next body and writes it on the condition that
/// nobody wrote between. A write whose answer was lost needs no special case:
/// the next try reads what is there, and `next` returns nothing if it is ours.
class ConditionalUpdate {
 public:
  struct Options {
    std::string object;
    /// The body to write given the present one; nothing if no write is needed.
    std::function<std::optional<std::string>(
        const std::optional<std::string>& present)>
        next;
    std::function<void()> done;
    Backoff::Options retry = {.first = std::chrono::milliseconds(100),
                              .longest = std::chrono::seconds(10)};
  };

  ConditionalUpdate(Options options,
                    const Clock& clock,
                    std::mt19937_64& random,
                    PlatformPort& port);

  /// Begins, or begins anew when what `next` returns has changed.
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
  bool again_ = false;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_PLATFORM_CONDITIONAL_UPDATE_H_
