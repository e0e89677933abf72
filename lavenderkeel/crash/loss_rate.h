#ifndef LAVENDERKEEL_CRASH_LOSS_RATE_H_
#define LAVENDERKEEL_CRASH_LOSS_RATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// The rate at which this entry's runs are lost with their servers. Where
/// servers end by themselves, harmless requests are lost too, some of them
/// several times.
class LossRate {
 public:
  struct Options {
    Duration max_age = std::chrono::minutes(2);
    /// Answers are counted by intervals of this length.
    Duration interval = std::chrono::milliseconds(500);
    size_t max_losses = 1024;
  };

  LossRate() = default;
  explicit LossRate(const Options& options) : options_(options) {}

  /// Records a run that was answered.
  void OnAnswered(Duration run, TimePoint now);
  /// Records a run that ended with its connection.
  void OnLost(uint64_t server, Duration run, TimePoint now);

  struct Estimate {
    /// Losses per second of a run.
    double per_second = 0;
    /// The mean time of a run that is answered.
    Duration answer_time{};

    friend bool operator==(const Estimate&, const Estimate&) = default;
  };
  /// Estimates the rate since a moment.
  /// @param counts whether the loss of the server counts
  Estimate Since(TimePoint since,
                 const std::function<bool(uint64_t server)>& counts) const;

 private:
  struct Answers {
    TimePoint begin;
    Duration run{};
    size_t count = 0;
  };
  struct Loss {
    uint64_t server = 0;
    Duration run{};
    TimePoint at;
  };

  void DropExpired(TimePoint now);

  Options options_;
  std::deque<Answers> answers_;
  std::deque<Loss> losses_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_LOSS_RATE_H_
