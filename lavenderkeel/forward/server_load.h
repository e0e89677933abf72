#ifndef LAVENDERKEEL_FORWARD_SERVER_LOAD_H_
#define LAVENDERKEEL_FORWARD_SERVER_LOAD_H_

#include <algorithm>
#include <optional>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/moving_mean.h"
#include "lavenderkeel/forward/server_speed.h"
#include "lavenderkeel/forward/slot.h"

namespace lavenderkeel {

/// Speed and health of one backend server, from the results of attempts.
class ServerLoad {
 public:
  struct Options {
    /// Backoff after the first failure; doubles with each consecutive one. One
    /// failure in a few hundred requests is ordinary, so it costs little.
    Duration initial_backoff = std::chrono::milliseconds(250);
    /// A server that recovered gets a request again within this time.
    Duration max_backoff = std::chrono::seconds(4);
    /// A full server frees a slot in about the time of a short request.
    Duration full_backoff = std::chrono::milliseconds(40);
    /// Fraction of failures above which a server that still answers is backed
    /// off.
    double max_failure_fraction = 0.35;
  };

  ServerLoad() = default;
  explicit ServerLoad(Options options) : options_(options) {}

  void OnEnd(const SlotResult& result, TimePoint now) {
    speed_.OnEnd(result);
    switch (result.kind) {
      case SlotResult::Kind::kUnused:
        return;
      case SlotResult::Kind::kAnswered:
        failure_fraction_.Add(0);
        consecutive_failures_ = 0;
        return;
      case SlotResult::Kind::kServerError:
        failure_fraction_.Add(1);
        if (failure_fraction_.mean() > options_.max_failure_fraction) {
          BackOff(now);
          answers_errors_ = true;
        }
        return;
      case SlotResult::Kind::kFailed:
        // If a server loses one answer in twenty, a backoff after each loss
        // keeps it idle half of the time, and in a burst the requests that it
        // could serve are refused. One failure among answers is not a crash;
        // after a crash the next attempt fails too.
        failure_fraction_.Add(1);
        if (consecutive_failures_ > 0 ||
            failure_fraction_.mean() > options_.max_failure_fraction) {
          BackOff(now);
        } else {
          ++consecutive_failures_;
        }
        return;
      case SlotResult::Kind::kUnreachable:
        failure_fraction_.Add(1);
        BackOff(now);
        return;
      case SlotResult::Kind::kFull:
        BackOffUntil(now + options_.full_backoff);
        return;
      case SlotResult::Kind::kReplaced:
        // The server is gone, but the list does not show it yet.
        BackOffUntil(now + options_.max_backoff);
        return;
    }
  }

  bool IsInBackoff(TimePoint now) const { return now < backoff_until_; }
  /// Returns whether the server is in backoff only since too many of its
  /// answers are errors.
  bool IsInBackoffForErrors(TimePoint now) const {
    return answers_errors_ && IsInBackoff(now);
  }
  const ServerSpeed& speed() const { return speed_; }

 private:
  void BackOffUntil(TimePoint until) {
    answers_errors_ = false;
    backoff_until_ = std::max(backoff_until_, until);
  }
  void BackOff(TimePoint now) {
    constexpr int kMaxDoublings = 4;
    const int doublings = std::min(consecutive_failures_++, kMaxDoublings);
    BackOffUntil(now + std::min(options_.max_backoff,
                                options_.initial_backoff * (1 << doublings)));
  }

  /// Ten samples outweigh all earlier ones: about a second under usual load.
  static constexpr double kSampleWeight = 0.1;

  Options options_;
  int consecutive_failures_ = 0;
  TimePoint backoff_until_;
  /// The last backoff is due to error answers.
  bool answers_errors_ = false;
  MovingMean failure_fraction_{kSampleWeight};
  ServerSpeed speed_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SERVER_LOAD_H_
