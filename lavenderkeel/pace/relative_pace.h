#ifndef LAVENDERKEEL_PACE_RELATIVE_PACE_H_
#define LAVENDERKEEL_PACE_RELATIVE_PACE_H_

#include <algorithm>
#include <cmath>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Time per unit of work at one server relative to its service: 1 is usual, 2
/// is half as fast.
///
/// Holds two geometric means. The recent one follows a server that becomes slow
/// or recovers; it loses weight with the time since its last sample. The
/// long-term one is what is left then: a server that is always slow keeps its
/// pace.
class RelativePace {
 public:
  struct Options {
    /// Weight of a sample in the recent mean. Twenty samples outweigh all
    /// earlier ones; answer times with a sigma of 0.5 make it err by some 8%.
    double sample_weight = 0.05;
    /// Weight of the sample of a probe. A probed server has few samples, and
    /// four of them must suffice to show that it has recovered.
    double probe_weight = 0.5;
    /// Time without samples after which the recent mean has half its weight.
    Duration half_life = std::chrono::milliseconds(1500);
    /// Weight of a sample in the long-term mean; earlier ones weigh the same. A
    /// slow server has few samples, so its slow seconds change the mean little.
    double long_term_weight = 0.001;
    /// Time with samples after which the long-term mean has its full weight;
    /// before, an average server stands in for the rest.
    Duration established_after = std::chrono::seconds(10);
    /// Ratio up to which the recent mean is taken as noise around the long-term
    /// one, which is more precise.
    double noise_ratio = 1.4;
    /// Error of one sample, as a logarithm, that is hardly ever exceeded: 3.5
    /// times the usual sigma of answer times.
    double max_sample_noise = 1.75;
    /// The same for the mean of a second: a server may be slow for that long
    /// now and then.
    double max_second_noise = 1.2;
    /// Ratio to the long-term mean above which a server counts as slow. Its
    /// samples then have the least weight in the long-term mean: some slow
    /// seconds soon after the start must not make slowness usual.
    double slow_ratio = 1.5;
    /// Ratio below which it no longer does. Well below the other one: the mean
    /// of a server that has just become slow falls at once without samples, and
    /// probes must show whether it is.
    double recovered_ratio = 1.2;
  };

  RelativePace() = default;
  explicit RelativePace(const Options& options) : options_(options) {}

  /// @param sample above zero
  void Add(double sample, bool probe, TimePoint now) {
    const double log_sample = std::log(sample);
    ++samples_;
    if (seconds_ == 0 || now - second_began_at_ >= std::chrono::seconds(1)) {
      ++seconds_;
      second_began_at_ = now;
    }
    if (empty_) {
      empty_ = false;
      recent_ = long_term_ = log_sample;
      first_sample_at_ = last_sample_at_ = now;
      return;
    }
    const double weight =
        probe ? options_.probe_weight : options_.sample_weight;
    const double before = DecayedRecent(now);
    const bool slow_before = IsSlow(now);
    recent_ = before + weight * (log_sample - before);
    UpdateLongTerm(log_sample, now);
    last_sample_at_ = now;
    slow_ = recent_ > RestingPace(now) + std::log(slow_before
                                                      ? options_.recovered_ratio
                                                      : options_.slow_ratio);
  }

  /// Returns the estimate for a request that is sent now.
  double At(TimePoint now) const {
    if (empty_) {
      return 1;
    }
    const double recent = DecayedRecent(now);
    const double rest = RestingPace(now);
    const double noise = std::log(options_.noise_ratio);
    if (std::abs(recent - rest) >= noise) {
      return std::exp(recent);
    }
    // A small difference may be an error of the long-term mean, which only
    // requests can correct: the mean closer to an average server counts.
    const bool may_be_average =
        std::abs(rest) < noise && std::abs(recent) < std::abs(rest);
    return std::exp(may_be_average ? recent : rest);
  }

  /// Returns whether the server has become slower than it usually is and has
  /// not recovered.
  bool IsSlow(TimePoint now) const {
    return slow_ && DecayedRecent(now) >
                        RestingPace(now) + std::log(options_.recovered_ratio);
  }
  /// Returns whether the last sample left the server slow.
  bool was_slow() const { return slow_; }
  /// Returns whether the server is faster than it usually is.
  bool IsFast(TimePoint now) const {
    constexpr double kFastRatio = 1.25;
    return !empty_ &&
           DecayedRecent(now) < RestingPace(now) - std::log(kFastRatio);
  }
  /// Returns whether it is known how fast the server usually is.
  bool IsEstablished(TimePoint now) const {
    return !empty_ && now - first_sample_at_ >= options_.established_after;
  }
  bool empty() const { return empty_; }
  TimePoint last_sample_at() const { return last_sample_at_; }

 private:
  void UpdateLongTerm(double log_sample, TimePoint now) {
    const bool established = IsEstablished(now);
    const double weight =
        established && IsSlow(now)
            ? options_.long_term_weight
            : std::max(options_.long_term_weight, 1 / samples_);
    // Samples of slow seconds also come before and after the time in which the
    // server counts as slow.
    const double change = log_sample - long_term_;
    const double limit = std::log(options_.slow_ratio);
    long_term_ +=
        weight * (established ? std::clamp(change, -limit, limit) : change);
  }
  double RemainingWeight(TimePoint now) const {
    return std::exp2(-ToSeconds(now - last_sample_at_) /
                     ToSeconds(options_.half_life));
  }
  /// Logarithm of the estimate without any recent sample.
  double RestingPace(TimePoint now) const {
    // After a few samples, equal servers would differ by the noise alone and
    // the fastest by chance would get most requests.
    const double noise =
        std::max(options_.max_sample_noise / std::sqrt(samples_),
                 options_.max_second_noise / std::sqrt(seconds_));
    if (std::abs(long_term_) < noise) {
      return 0;
    }
    return long_term_ *
           std::min(1.0, ToSeconds(now - first_sample_at_) /
                             ToSeconds(options_.established_after));
  }
  double DecayedRecent(TimePoint now) const {
    const double rest = RestingPace(now);
    return rest + RemainingWeight(now) * (recent_ - rest);
  }

  Options options_;
  bool empty_ = true;
  bool slow_ = false;
  /// Logarithms of the means.
  double recent_ = 0;
  double long_term_ = 0;
  double samples_ = 0;
  /// Number of seconds with samples.
  double seconds_ = 0;
  TimePoint second_began_at_;
  TimePoint first_sample_at_;
  TimePoint last_sample_at_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_PACE_RELATIVE_PACE_H_
