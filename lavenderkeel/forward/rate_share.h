#ifndef LAVENDERKEEL_FORWARD_RATE_SHARE_H_
#define LAVENDERKEEL_FORWARD_RATE_SHARE_H_

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <utility>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// The part of every team's rate that one entry may count on.
///
/// Entries that hear of each other count each other's draws, so each may count
/// on the whole. What is drawn at entries that are known but not heard of is
/// left to them.
class RateShare {
 public:
  struct Options {
    /// All entries of a fleet that starts anew are connected after this time;
    /// with 30 entries it took 0.25 s.
    Duration join_time = std::chrono::milliseconds(500);
    /// They are connected already where nobody was added for this time: a
    /// period of reports, and the way of two of them.
    Duration settled = std::chrono::milliseconds(120);
    /// How many others there may be while nobody has been heard of.
    size_t assumed_entries = 16;
  };

  RateShare(Options options, TimePoint started)
      : options_(options), started_(started), changed_(started) {}

  /// Entries that are known and those of them that are heard of, this one
  /// included in both.
  void OnPeerCount(size_t known, size_t heard, TimePoint now) {
    assert(known >= heard && heard >= 1);
    if (std::exchange(known_, known) != known ||
        std::exchange(heard_, heard) != heard) {
      changed_ = now;
    }
    const bool settled = now - changed_ >= options_.settled;
    joined_ |= heard > 1 && heard == known && settled;
  }

  /// An entry that was here before this one is heard of, so that this one joins
  /// a fleet that counted on.
  void OnOlderPeer() { joined_ = true; }

  /// This entry does not know yet what the others let through.
  bool Joining(TimePoint now) const { return !joined_ && now < joined_by(); }
  /// It is over by then at the latest.
  TimePoint joined_by() const { return started_ + options_.join_time; }

  double At(TimePoint now) const {
    return Joining(now)
               ? JoiningPart()
               : static_cast<double>(heard_) / static_cast<double>(known_);
  }

  /// Of what all entries may let through together, this one's while joining.
  ///
  /// Failure: all entries are killed while a team floods them. Symptom: each
  /// starts alone and lets the whole rate through until it hears of the others;
  /// with 30 of them a team got 1.04 times what is tolerated.
  double JoiningPart() const {
    return 1.0 /
           static_cast<double>(std::max(known_, options_.assumed_entries));
  }

  /// How many entries share what all may use together.
  size_t Entries(TimePoint now) const {
    return Joining(now) ? std::max(known_, options_.assumed_entries) : known_;
  }

 private:
  Options options_;
  TimePoint started_;
  size_t known_ = 1;
  size_t heard_ = 1;
  /// When either did last.
  TimePoint changed_;
  bool joined_ = false;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_RATE_SHARE_H_
