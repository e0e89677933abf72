#ifndef LAVENDERKEEL_FORWARD_LONG_REQUESTS_H_
#define LAVENDERKEEL_FORWARD_LONG_REQUESTS_H_

#include "lavenderkeel/forward/moving_mean.h"

namespace lavenderkeel {

/// Decision on whether the long requests of a route are queued behind shorter
/// ones.
///
/// In a burst beyond the capacity, with answers whose lengths differ
/// hundredfold, one request in fifteen holds a slot for as long as half of all
/// others together. If these few go last, twice as many clients are served in
/// time. Clients of long requests wait for an answer too, so long requests go
/// last only while nearly as many of them get a slot as of all requests.
class LongRequests {
 public:
  struct Options {
    /// Long requests go last unless the fraction of them that gets a slot falls
    /// below this multiple of the same fraction of all requests. Half would
    /// clearly be unfair, and some long requests that get a slot are not
    /// finished in time. With 0.6 the worst-served kind and size of request got
    /// 0.43 of what it asks for on the heaviest day of 26 entries and 47
    /// servers, with this value 0.49.
    double min_relative_granted_fraction = 0.85;
  };

  LongRequests() = default;
  explicit LongRequests(Options options) : options_(options) {}

  /// Records that a request got its first slot, or ended without one.
  void OnEndOfWait(bool is_long, bool got_slot) {
    const double sample = got_slot ? 1 : 0;
    granted_fraction_.Add(sample);
    if (is_long) {
      long_granted_fraction_.Add(sample);
    }
  }

  bool ShouldGoLast() const {
    return long_granted_fraction_.empty() ||
           long_granted_fraction_.mean() >=
               options_.min_relative_granted_fraction *
                   granted_fraction_.mean();
  }

 private:
  /// A burst lasts some seconds, in which an entry receives a hundred requests,
  /// some ten of them long.
  static constexpr double kSampleWeight = 0.02;
  static constexpr double kLongSampleWeight = 0.1;

  Options options_;
  MovingMean granted_fraction_{kSampleWeight};
  MovingMean long_granted_fraction_{kLongSampleWeight};
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_LONG_REQUESTS_H_
