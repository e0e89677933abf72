#ifndef LAVENDERKEEL_FORWARD_TEAM_TOKEN_BUCKET_H_
#define LAVENDERKEEL_FORWARD_TEAM_TOKEN_BUCKET_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/route_table.h"

namespace lavenderkeel {

/// Token bucket of a team's rate over all entries, as one entry counts it.
///
/// Every entry keeps the whole bucket and deducts both its own requests and the
/// totals that others report. Reports are a heartbeat old, so a burst may
/// exceed the bound by what arrives in that time; the bound's tolerance covers
/// this excess. An entry without reports from some of the others refills only
/// its share, so that partitioned entries cannot spend the rate several times
/// over.
class TeamTokenBucket {
 public:
  /// Tolerated excess over a rate, and how much of it is used.
  ///
  /// A team near its rate is refused if the count errs high, and its rate is
  /// exceeded if the count errs low. The target therefore lies between the rate
  /// and the end of the tolerance; the rest is for late reports.
  struct Tolerance {
    /// Fraction of the rate and of the burst.
    double over = 0;
    /// Units in any window.
    double slack = 0;
    double used_fraction_of_over = 0.5;
    double used_fraction_of_slack = 0.6;
  };

  /// Creates a full bucket.
  TeamTokenBucket() = default;
  /// Creates the bucket of an entry that started at `start`. The team's usage
  /// before the start is unknown and may have emptied the bucket.
  /// @param level units that all entries together may let through at the start
  ///     nevertheless
  TeamTokenBucket(TimePoint start, double level)
      : level_(level),
        last_fill_(start),
        initial_level_(level),
        start_(start) {}

  /// Returns the rate that the bucket enforces: the rate and the used fraction
  /// of the tolerance.
  static TeamRate TargetRate(const TeamRate& rate, const Tolerance& tolerance) {
    TeamRate target = rate;
    const double factor = 1 + tolerance.over * tolerance.used_fraction_of_over;
    target.per_second *= factor;
    target.burst = target.burst * factor +
                   tolerance.slack * tolerance.used_fraction_of_slack;
    return target;
  }

  /// Fills the bucket up to now, for a decision that depends on its level.
  void Refill(const TeamRate& rate, double share, TimePoint now) {
    Fill(rate, share, now);
  }

  /// Takes the units, or returns the time until they are available.
  /// @param share fraction of the rate that this entry may use, 0 to 1
  std::optional<Duration> Take(const TeamRate& rate,
                               double units,
                               double share,
                               TimePoint now) {
    if (rate.per_second <= 0) {
      return std::nullopt;
    }
    Fill(rate, share, now);
    // A request larger than the burst passes with a full bucket and leaves a
    // debt; otherwise it could never pass.
    const double needed = std::min(units, rate.burst * share);
    if (level_ < needed) {
      const double seconds = (needed - level_) / (rate.per_second * share);
      return FromSeconds(seconds);
    }
    Deduct(units);
    return std::nullopt;
  }

  /// Takes the units if this entry, which does not know the others' usage yet,
  /// stays within its share of all units available to all since its start.
  bool TakeShare(const TeamRate& rate,
                 double units,
                 double share,
                 TimePoint now) {
    if (rate.per_second <= 0) {
      return true;
    }
    Fill(rate, 1, now);
    const double available =
        initial_level_ + rate.per_second * ToSeconds(now - start_);
    if (used_ + units > share * available) {
      return false;
    }
    Deduct(units);
    return true;
  }

  /// Treatment of the first reported total of a peer.
  enum class FirstTotal {
    /// The peer has run for long, and most of its total was refilled since: the
    /// total may empty the bucket but leaves no debt.
    kLongRunning,
    /// The peer started together with this entry: all of its total was just
    /// used.
    kStartedTogether,
    /// Another source reported for the peer until now, and counted the total.
    kAlreadyCounted,
  };

  /// Counts another entry's total since its start, for this team.
  void OnPeerTotal(const std::string& peer,
                   double total,
                   FirstTotal kind = FirstTotal::kLongRunning) {
    const auto [position, is_first] = peers_.try_emplace(peer, 0);
    const double new_usage = std::max(0.0, total - position->second);
    // Totals only grow; a smaller one is from an outdated report.
    position->second = std::max(position->second, total);
    if (is_first && kind == FirstTotal::kAlreadyCounted) {
      return;
    }
    level_ = is_first && kind == FirstTotal::kLongRunning
                 ? std::max(std::min(level_, 0.0), level_ - new_usage)
                 : level_ - new_usage;
  }

  void ForgetPeer(const std::string& peer) { peers_.erase(peer); }

  /// Returns the units that this entry let through since its start.
  double used() const { return used_; }
  double level() const { return level_; }

 private:
  void Deduct(double units) {
    level_ -= units;
    used_ += units;
  }

  void Fill(const TeamRate& rate, double share, TimePoint now) {
    if (last_fill_ == TimePoint()) {
      level_ += rate.burst;
    } else {
      level_ += ToSeconds(now - last_fill_) * rate.per_second * share;
    }
    // The debt is bounded, so that an overload at other entries does not refuse
    // the team here for longer than its own burst.
    level_ = std::clamp(level_, -rate.burst, rate.burst * share);
    last_fill_ = now;
  }

  double level_ = 0;
  double used_ = 0;
  TimePoint last_fill_;
  double initial_level_ = 0;
  TimePoint start_;
  std::map<std::string, double> peers_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_TEAM_TOKEN_BUCKET_H_
