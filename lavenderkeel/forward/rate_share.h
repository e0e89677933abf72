#ifndef LAVENDERKEEL_FORWARD_RATE_SHARE_H_
#define LAVENDERKEEL_FORWARD_RATE_SHARE_H_

#include <algorithm>
#include <cassert>
#include <cstddef>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Share of every team's rate that one entry may use.
///
/// Entries that receive reports from each other count each other's usage, so
/// each may use the whole rate. The share of entries that are known but do not
/// report is left to them.
class RateShare {
 public:
  struct Options {
    /// All entries of a newly started fleet are connected after this time; with
    /// 30 entries it took 0.25 s.
    Duration join_time = std::chrono::milliseconds(500);
    /// The entries count as connected earlier if none was added for this time:
    /// a report period and the delay of two reports.
    Duration settle_time = std::chrono::milliseconds(120);
    /// Assumed number of entries while no other entry reports.
    size_t assumed_entries = 16;
    /// What entries that started together let through as they joined has been
    /// reported after this time, also by way of a coordinator.
    Duration report_time = std::chrono::milliseconds(1500);
  };

  RateShare(Options options, TimePoint start)
      : options_(options), start_(start), last_change_(start) {}

  /// Sets the number of known entries and of those that report, this one
  /// included in both.
  void OnPeerCount(size_t known, size_t reporting, TimePoint now) {
    assert(known >= reporting && reporting >= 1);
    if (known != known_ || reporting != reporting_) {
      last_change_ = now;
    }
    known_ = known;
    reporting_ = reporting;
    const bool is_settled = now - last_change_ >= options_.settle_time;
    joined_ |= reporting > 1 && reporting == known && is_settled;
  }

  /// Records a report of an older entry: this entry joins a running fleet,
  /// which kept counting usage.
  void OnOlderPeer() {
    joined_ = true;
    has_older_peer_ = true;
  }

  /// Returns whether this entry does not know the usage of the others yet.
  bool IsJoining(TimePoint now) const {
    return !joined_ && now < join_deadline();
  }
  /// Returns whether all that other entries report was used since this entry
  /// started, and may be reported for the first time.
  bool CountsAllUsage(TimePoint now) const {
    return IsJoining(now) ||
           (!has_older_peer_ && now < start_ + options_.report_time);
  }
  /// Returns the time at which the joining phase is over at the latest.
  TimePoint join_deadline() const { return start_ + options_.join_time; }

  double ShareAt(TimePoint now) const {
    return IsJoining(now)
               ? JoiningShare()
               : static_cast<double>(reporting_) / static_cast<double>(known_);
  }

  /// Returns this entry's share, while joining, of what all entries together
  /// may let through.
  ///
  /// If all entries are killed while a team overloads them, each starts alone
  /// and would let the whole rate through until it receives reports of the
  /// others; with 30 entries a team got 1.04 times what is tolerated.
  double JoiningShare() const {
    return 1.0 /
           static_cast<double>(std::max(known_, options_.assumed_entries));
  }

  /// Returns the number of entries that share the limits of the fleet.
  size_t EntryCount(TimePoint now) const {
    return IsJoining(now) ? std::max(known_, options_.assumed_entries) : known_;
  }

 private:
  Options options_;
  TimePoint start_;
  size_t known_ = 1;
  size_t reporting_ = 1;
  /// Time of the last change of either count.
  TimePoint last_change_;
  bool joined_ = false;
  bool has_older_peer_ = false;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_RATE_SHARE_H_
