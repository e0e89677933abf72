#ifndef LAVENDERKEEL_FORWARD_TEAM_BUCKET_H_
#define LAVENDERKEEL_FORWARD_TEAM_BUCKET_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/route_table.h"

namespace lavenderkeel {

/// A team's rate over all entries, as one entry sees it.
///
/// Every entry keeps the whole bucket: its own requests and what the others
/// report both draw on it. Reports are a heartbeat old, so a burst may pass
/// the bound by what comes in that time; the bound's tolerance covers it. An
/// entry that hears of only some of the others fills its bucket with its share
/// only, so that separated entries can't spend the rate several times over.
class TeamBucket {
 public:
  /// How far above a rate is still allowed, and how much of that is used.
  ///
  /// A team near its rate is refused if the count errs high, and its rate is
  /// passed if it errs low. The count therefore aims between the rate and the
  /// end of what is tolerated; the rest is for reports that are late.
  struct Tolerance {
    /// Part of the rate and of the burst.
    double over = 0;
    /// Units in any window.
    double slack = 0;
    double used_over = 0.5;
    double used_slack = 0.6;
  };

  /// A full bucket.
  TeamBucket() = default;
  /// The bucket of an entry that started just then. What the team drew before
  /// the start is not known, and may have been all that it could.
  /// @param level units that may pass all entries at once in spite of that
  TeamBucket(TimePoint started, double level)
      : level_(level), filled_(started), initial_(level), started_(started) {}

  /// The rate that the count aims at.
  static TeamRate Aim(const TeamRate& rate, const Tolerance& tolerance) {
    TeamRate aim = rate;
    const double factor = 1 + tolerance.over * tolerance.used_over;
    aim.per_second *= factor;
    aim.burst = aim.burst * factor + tolerance.slack * tolerance.used_slack;
    return aim;
  }

  /// Takes the units, or says when they will be there.
  /// @param share part of the rate that this entry may count on, 0 to 1
  std::optional<Duration> Take(const TeamRate& rate,
                               double units,
                               double share,
                               TimePoint now) {
    if (rate.per_second <= 0) {
      return std::nullopt;
    }
    Fill(rate, share, now);
    // A request larger than the burst passes with a full bucket and is paid
    // off afterwards; else it could never pass.
    const double needed = std::min(units, rate.burst * share);
    if (level_ < needed) {
      const double seconds = (needed - level_) / (rate.per_second * share);
      return FromSeconds(seconds);
    }
    Draw(units);
    return std::nullopt;
  }

  /// Takes the units if this entry, which does not know yet what the others
  /// take, stays within its part of all that there was for all since its start.
  bool TakePart(const TeamRate& rate,
                double units,
                double part,
                TimePoint now) {
    if (rate.per_second <= 0) {
      return true;
    }
    Fill(rate, 1, now);
    const double all = initial_ + rate.per_second * ToSeconds(now - started_);
    if (used_ + units > part * all) {
      return false;
    }
    Draw(units);
    return true;
  }

  /// How the first total that is heard of a peer is taken.
  enum class FirstTotal {
    /// It is of a long life, most of it refilled since: it may empty the bucket
    /// but leaves no debt.
    kOld,
    /// The peer started together with this entry: all of it was just drawn.
    kRecent,
    /// Another spoke for it until now, and counted it.
    kCounted,
  };

  /// Another entry's total since its start, for this team.
  void OnPeerTotal(const std::string& peer,
                   double total,
                   FirstTotal kind = FirstTotal::kOld) {
    const auto [known, first] = peers_.try_emplace(peer, 0);
    const double drawn = std::max(0.0, total - known->second);
    // Totals only grow; a smaller one is of a report that was overtaken.
    known->second = std::max(known->second, total);
    if (first && kind == FirstTotal::kCounted) {
      return;
    }
    level_ = first && kind == FirstTotal::kOld
                 ? std::max(std::min(level_, 0.0), level_ - drawn)
                 : level_ - drawn;
  }

  void ForgetPeer(const std::string& peer) { peers_.erase(peer); }

  /// What this entry has let through since its start.
  double used() const { return used_; }
  double level() const { return level_; }

 private:
  void Draw(double units) {
    level_ -= units;
    used_ += units;
  }

  void Fill(const TeamRate& rate, double share, TimePoint now) {
    if (filled_ == TimePoint()) {
      level_ += rate.burst;
    } else {
      level_ += ToSeconds(now - filled_) * rate.per_second * share;
    }
    // Debt is bounded, so that a flood at other entries does not lock the team
    // out here for longer than its own burst.
    level_ = std::clamp(level_, -rate.burst, rate.burst * share);
    filled_ = now;
  }

  double level_ = 0;
  double used_ = 0;
  TimePoint filled_;
  double initial_ = 0;
  TimePoint started_;
  std::map<std::string, double> peers_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_TEAM_BUCKET_H_
