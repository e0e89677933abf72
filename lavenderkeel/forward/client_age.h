#ifndef LAVENDERKEEL_FORWARD_CLIENT_AGE_H_
#define LAVENDERKEEL_FORWARD_CLIENT_AGE_H_

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <vector>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Tells requests of clients that come back from first attempts, by the time
/// that they have left.
///
/// Load it answers: a burst that lasts longer than clients wait for a slot.
/// Those that were refused come back and look new; each takes a slot in which
/// another would have been in time, while it is late itself whatever happens.
/// With 26 entries before 47 servers a fifth of the slots of the least urgent
/// rank went that way; told apart, its clients got 0.02 to 0.05 more of what
/// they ask for on the heaviest days, see docs/POLICY.md.
///
/// All clients of a route wait about equally long, so the usual time left is
/// that of first attempts. One estimate a route, of constant size.
class ClientAge {
 public:
  struct Options {
    /// The usual time left is this quantile of what requests have left. A
    /// client comes back once for each first attempt at most, so even when all
    /// are refused it lies in the middle of the first attempts.
    double quantile = 0.75;
    /// Requests with less than this part of the usual time left come back.
    /// Clients differ by some 15% among themselves, and the usual one is in
    /// their middle.
    double first_attempt_part = 0.85;
  };

  ClientAge() = default;
  explicit ClientAge(Options options) : options_(options) {}

  /// Counts a request in.
  /// @param time_left positive
  /// @return how long ago its client first sent it, zero for a first attempt
  Duration OnRequest(Duration time_left) {
    assert(time_left > Duration::zero());
    Learn(time_left);
    const Duration usual = Usual();
    const auto least = std::chrono::duration_cast<Duration>(
        usual * options_.first_attempt_part);
    return time_left < least ? usual - time_left : Duration::zero();
  }

 private:
  /// Enough that the quantile is steady, few enough that a route with some ten
  /// requests a second follows a change within seconds.
  static constexpr size_t kMostSamples = 64;

  void Learn(Duration time_left) {
    if (samples_.size() < kMostSamples) {
      samples_.push_back(time_left);
      return;
    }
    samples_[oldest_] = time_left;
    oldest_ = (oldest_ + 1) % kMostSamples;
  }

  Duration Usual() const {
    std::vector<Duration> sorted = samples_;
    const auto place =
        sorted.begin() +
        static_cast<ptrdiff_t>(options_.quantile *
                               static_cast<double>(sorted.size() - 1));
    std::ranges::nth_element(sorted, place);
    return *place;
  }

  Options options_;
  /// What the latest requests had left.
  std::vector<Duration> samples_;
  size_t oldest_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_CLIENT_AGE_H_
