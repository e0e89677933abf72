#ifndef LAVENDERKEEL_GATE_SERVER_REACHABILITY_H_
#define LAVENDERKEEL_GATE_SERVER_REACHABILITY_H_

#include <algorithm>
#include <cstdint>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// The record of whether the backend server accepts connections, according to
/// its last results.
///
/// An agent whose server has ended has only free slots, so it would attract the
/// requests of other agents, and each would fail there. After a refused
/// connection no request is sent for a backoff period, and then one at a time
/// until one is answered.
class ServerReachability {
 public:
  struct Options {
    /// After the first refused connection; doubles with each consecutive one.
    Duration initial_backoff = std::chrono::milliseconds(100);
    /// Also the longest time until a recovered server gets a request.
    Duration max_backoff = std::chrono::seconds(2);
  };

  ServerReachability() = default;
  explicit ServerReachability(const Options& options) : options_(options) {}

  void OnRefused(TimePoint now) {
    constexpr uint32_t kMaxDoublings = 10;
    const uint32_t doublings = std::min(consecutive_refusals_++, kMaxDoublings);
    backoff_until_ =
        now + std::min(options_.max_backoff,
                       options_.initial_backoff * (int64_t{1} << doublings));
  }
  void OnAnswered() { consecutive_refusals_ = 0; }

  /// Returns the number of concurrent requests that the server may have, given
  /// its slots.
  uint32_t AllowedInFlight(uint32_t slots, TimePoint now) const {
    if (consecutive_refusals_ == 0) {
      return slots;
    }
    return now < backoff_until_ ? 0 : 1;
  }
  bool IsRefusing() const { return consecutive_refusals_ > 0; }

 private:
  Options options_;
  uint32_t consecutive_refusals_ = 0;
  TimePoint backoff_until_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_GATE_SERVER_REACHABILITY_H_
