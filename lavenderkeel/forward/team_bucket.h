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
    const double needed = std::min(units, rate.burst);
    if (level_ < needed) {
      const double seconds = (needed - level_) / (rate.per_second * share);
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(seconds));
    }
    level_ -= units;
    used_ += units;
    return std::nullopt;
  }

  /// Another entry's total since its start, for this team.
  void OnPeerTotal(const std::string& peer, double total) {
    const auto [known, first] = peers_.try_emplace(peer, 0);
    const double drawn = std::max(0.0, total - known->second);
    known->second = total;
    // A first report tells of a whole life, most of it refilled since: it may
    // empty the bucket but leaves no debt.
    level_ = first ? std::max(std::min(level_, 0.0), level_ - drawn)
                   : level_ - drawn;
  }

  void ForgetPeer(const std::string& peer) { peers_.erase(peer); }

  /// What this entry has let through since its start.
  double used() const { return used_; }
  double level() const { return level_; }

 private:
  void Fill(const TeamRate& rate, double share, TimePoint now) {
    if (filled_ == TimePoint()) {
      level_ += rate.burst;
    } else {
      const double seconds =
          std::chrono::duration<double>(now - filled_).count();
      level_ += seconds * rate.per_second * share;
    }
    // Debt is bounded, so that a flood at other entries does not lock the team
    // out here for longer than its own burst.
    level_ = std::clamp(level_, -rate.burst, rate.burst);
    filled_ = now;
  }

  double level_ = 0;
  double used_ = 0;
  TimePoint filled_;
  std::map<std::string, double> peers_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_TEAM_BUCKET_H_
