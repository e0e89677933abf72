#ifndef LAVENDERKEEL_GATE_SERVER_REACHABILITY_H_
#define LAVENDERKEEL_GATE_SERVER_REACHABILITY_H_

#include <algorithm>
#include <cstdint>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Whether the backend server accepts connections, from what it did last.
///
/// Failure: the server is gone while its agent lives. Symptom: all its slots
/// are free, so the agent draws the requests of the others, each of which ends
/// there unserved. After a refused connection nothing is sent for a while, and
/// then one request at a time until one is answered.
class ServerReachability {
 public:
  struct Options {
    /// After a first refused connection; doubles with each in a row.
    Duration first_rest = std::chrono::milliseconds(100);
    /// A server that is back gets a request within this time.
    Duration longest_rest = std::chrono::seconds(2);
  };

  ServerReachability() = default;
  explicit ServerReachability(const Options& options) : options_(options) {}

  void OnRefused(TimePoint now) {
    constexpr uint32_t kMostDoublings = 10;
    const uint32_t doublings = std::min(refused_in_row_++, kMostDoublings);
    rests_until_ =
        now + std::min(options_.longest_rest,
                       options_.first_rest * (int64_t{1} << doublings));
  }
  void OnAnswered() { refused_in_row_ = 0; }

  /// How many requests it may have at once, of as many as it has slots for.
  uint32_t Allowed(uint32_t slots, TimePoint now) const {
    if (refused_in_row_ == 0) {
      return slots;
    }
    return now < rests_until_ ? 0 : 1;
  }
  bool refuses() const { return refused_in_row_ > 0; }

 private:
  Options options_;
  uint32_t refused_in_row_ = 0;
  TimePoint rests_until_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_GATE_SERVER_REACHABILITY_H_
