#ifndef LAVENDERKEEL_PACE_SERVER_TRIAL_H_
#define LAVENDERKEEL_PACE_SERVER_TRIAL_H_

#include <algorithm>
#include <limits>
#include <optional>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/moving_mean.h"
#include "lavenderkeel/pace/overdue_grants.h"

namespace lavenderkeel {

/// Return of a server that failed or was slow: single probes first, then a
/// capacity that grows with each answer (slow start).
class ServerTrial {
 public:
  struct Options {
    /// Longest time without an answer or a probe while the server is out of
    /// use.
    Duration probe_period = std::chrono::milliseconds(500);
    /// The same for a server that has always been slower than the others.
    Duration idle_probe_period = std::chrono::seconds(4);
    /// A probe without an end after this time is no longer waited for.
    Duration probe_timeout = std::chrono::seconds(2);
    /// Fraction of failures below which a server that failed returns.
    double max_failure_fraction = 0.35;
    /// Weight of an attempt in the fraction of failures. Five answers in a row
    /// suffice to return.
    double sample_weight = 0.2;
    /// Capacity that ends the slow start.
    int max_start_capacity = 64;
  };

  ServerTrial() = default;
  explicit ServerTrial(const Options& options)
      : options_(options), failure_fraction_(options.sample_weight) {}

  /// @return whether the server is in use again
  bool OnAnswered(bool improved, const GrantId& grant, TimePoint now) {
    const bool was_probe = EndProbe(grant);
    last_answer_at_ = now;
    failure_fraction_.Add(0);
    if (failed_) {
      next_probe_at_once_ = was_probe;
      if (failure_fraction_.mean() >= options_.max_failure_fraction) {
        return false;
      }
      failed_ = false;
      start_capacity_ = kFirstStartCapacity;
      return true;
    }
    next_probe_at_once_ = was_probe && improved;
    if (start_capacity_.has_value() &&
        ++*start_capacity_ > options_.max_start_capacity) {
      start_capacity_.reset();
    }
    return false;
  }
  /// @param out_of_use whether the failure puts the server out of use
  void OnFailed(bool out_of_use, const GrantId& grant) {
    EndProbe(grant);
    next_probe_at_once_ = false;
    failure_fraction_.Add(1);
    failed_ = failed_ || out_of_use;
  }
  void OnProbe(const GrantId& grant, TimePoint now) {
    probe_ = grant;
    last_probe_at_ = now;
    next_probe_at_once_ = false;
  }
  /// Ends a probe without a result.
  bool EndProbe(const GrantId& grant) {
    const bool was_probe = probe_ == grant;
    if (was_probe) {
      probe_.reset();
    }
    return was_probe;
  }
  /// Begins the slow start of a server that has become fast.
  void BeginSlowStart(int in_flight) {
    start_capacity_ = std::max(kFirstStartCapacity, in_flight);
  }

  /// @param out_of_use whether the server is slow or failed
  bool IsProbeDue(bool out_of_use, TimePoint now) const {
    if (probe_.has_value() && now - last_probe_at_ < options_.probe_timeout) {
      return false;
    }
    return next_probe_at_once_ ||
           now - std::max(last_answer_at_, last_probe_at_) >=
               (out_of_use ? options_.probe_period
                           : options_.idle_probe_period);
  }
  /// Returns whether the server may get probes only.
  bool failed() const { return failed_; }
  /// Returns the number of requests that the server may have now.
  int capacity() const {
    return start_capacity_.value_or(std::numeric_limits<int>::max());
  }

 private:
  static constexpr int kFirstStartCapacity = 2;

  Options options_;
  MovingMean failure_fraction_{Options().sample_weight};
  bool failed_ = false;
  bool next_probe_at_once_ = false;
  std::optional<int> start_capacity_;
  std::optional<GrantId> probe_;
  TimePoint last_answer_at_;
  TimePoint last_probe_at_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_PACE_SERVER_TRIAL_H_
