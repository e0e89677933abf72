#ifndef LAVENDERKEEL_FORWARD_SERVER_LOAD_H_
#define LAVENDERKEEL_FORWARD_SERVER_LOAD_H_

#include <algorithm>
#include <optional>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/moving_mean.h"
#include "lavenderkeel/forward/server_speed.h"
#include "lavenderkeel/forward/slot.h"

namespace lavenderkeel {

/// The speed and health of one backend server, from the ends of attempts.
class ServerLoad {
 public:
  struct Options {
    /// Rest after a first failure; doubles with each further one in a row.
    /// One failure in a few hundred requests is ordinary, so it costs little.
    Duration first_rest = std::chrono::milliseconds(250);
    /// A server that came back gets a request again within this time.
    Duration longest_rest = std::chrono::seconds(4);
    /// A full server frees a slot in about the time of a short request.
    Duration full_rest = std::chrono::milliseconds(40);
    /// Part of failures above which a server that still answers gets a rest.
    double failing_share = 0.35;
  };

  ServerLoad() = default;
  explicit ServerLoad(Options options) : options_(options) {}

  void OnEnd(const SlotResult& result, TimePoint now) {
    speed_.OnEnd(result);
    switch (result.kind) {
      case SlotResult::Kind::kUnused:
        return;
      case SlotResult::Kind::kAnswered:
        errors_.Add(0);
        failures_in_row_ = 0;
        return;
      case SlotResult::Kind::kErrored:
        errors_.Add(1);
        if (errors_.mean() > options_.failing_share) {
          Rest(now);
        }
        return;
      case SlotResult::Kind::kFailed:
        // Failure: a server loses one answer in twenty. Symptom: a rest after
        // each keeps it idle half of the time, and in a burst the requests that
        // it could serve are refused. One failure among answers is not a crash;
        // of a crash the next failure tells at once.
        errors_.Add(1);
        if (failures_in_row_ > 0 || errors_.mean() > options_.failing_share) {
          Rest(now);
        } else {
          ++failures_in_row_;
        }
        return;
      case SlotResult::Kind::kUnreachable:
        errors_.Add(1);
        Rest(now);
        return;
      case SlotResult::Kind::kFull:
        RestUntil(now + options_.full_rest);
        return;
      case SlotResult::Kind::kReplaced:
        // It is gone, the list just does not say so yet.
        RestUntil(now + options_.longest_rest);
        return;
    }
  }

  bool resting(TimePoint now) const { return now < resting_until_; }
  const ServerSpeed& speed() const { return speed_; }

 private:
  void RestUntil(TimePoint until) {
    resting_until_ = std::max(resting_until_, until);
  }
  void Rest(TimePoint now) {
    constexpr int kMostDoublings = 4;
    const int doublings = std::min(failures_in_row_++, kMostDoublings);
    RestUntil(now + std::min(options_.longest_rest,
                             options_.first_rest * (1 << doublings)));
  }

  /// Ten samples outweigh what was before: about a second at these loads.
  static constexpr double kSamplePart = 0.1;

  Options options_;
  int failures_in_row_ = 0;
  TimePoint resting_until_;
  MovingMean errors_{kSamplePart};
  ServerSpeed speed_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SERVER_LOAD_H_
