#ifndef LAVENDERKEEL_MEMBERSHIP_HOLDER_RANKING_H_
#define LAVENDERKEEL_MEMBERSHIP_HOLDER_RANKING_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/peer_id.h"
#include "lavenderkeel/base/request_key.h"
#include "lavenderkeel/membership/holder_coverage.h"

namespace lavenderkeel {

/// Ranking of a region's entries for each request key, with the entries lost.
/// The first two are the holders of the key, which store the claims on it.
///
/// After the loss of both holders of a claim, the next two in rank are asked,
/// which never received the claim; if they called the key unused, a retry would
/// run a second time. An entry may therefore vouch only if it ranks among the
/// first two of the present entries *and* of those lost since the key was first
/// sent: then every claim made since, by any entry that knew the vouching one,
/// was sent to it too.
class HolderRanking {
 public:
  static constexpr size_t kHolders = 2;

  struct Options {
    /// Maximum difference between any two calendar clocks.
    Duration clock_skew = std::chrono::seconds(1);
    /// How long it takes after one entry has learnt of another until all have:
    /// twice the heartbeat timeout.
    Duration settle_time = std::chrono::seconds(4);
  };

  explicit HolderRanking(Options options) : options_(options) {}

  /// Sets the entry of this process, for which no report is expected.
  void SetSelf(const PeerId& self, WallTime now);
  /// Marks an entry as present: linked, or without contact for less than the
  /// heartbeat timeout.
  void SetPresent(const PeerId& peer, WallTime now);
  /// Marks an entry as lost without a hand-over of its claims.
  void SetLost(const PeerId& peer, WallTime now);
  /// Removes an entry that left in order and handed its claims over. The loss
  /// of an earlier incarnation stays recorded, since its claims remain lost.
  void SetLeft(const std::string& instance);
  /// Records which entries a present entry knows; see KnownEntriesHash.
  void SetReport(const PeerId& peer, uint64_t known_entries);

  /// Returns a hash of the names of all known entries: those present, and those
  /// lost that may be running.
  uint64_t KnownEntriesHash() const;

  /// Returns the holders of a key among the present entries, first holder
  /// first.
  std::vector<std::string> Holders(const RequestKey& key) const;

  /// Returns true if `instance` received every claim on the key since it was
  /// first sent.
  bool KnowsEveryClaim(const std::string& instance,
                       const RequestKey& key) const;

  /// Returns whether the reachable holders know of every claim on the key,
  /// including those that a lost entry, cut off but running, may have granted.
  HolderCoverage Coverage(const RequestKey& key) const;

  /// Returns true if a lost entry may be running.
  bool HasUnconfirmedLoss() const;

  /// Returns true if `instance` is the other holder beside each lost holder of
  /// the key, and so received every claim that the two granted together.
  bool IsCoHolderWithLost(const std::string& instance,
                          const RequestKey& key) const;

  /// Drops losses older than the maximum age of keys.
  void ForgetLostBefore(WallTime when);

  size_t present() const { return present_.size(); }

 private:
  using Names = std::vector<std::string>;

  struct PresentEntry {
    uint64_t incarnation = 0;
    /// The last report; empty before the first.
    std::optional<uint64_t> known_entries;
  };
  struct LostEntry {
    uint64_t incarnation = 0;
    WallTime lost_at;
    /// Possibly cut off and still running.
    bool may_be_running = true;
    /// When a successor connected, after which the lost entry cannot have
    /// granted a claim.
    WallTime replaced_at = WallTime::max();
    /// The lost entry knew the same entries as this one in its last report.
    bool had_same_view = false;
  };
  using LostFilter = std::function<bool(const LostEntry&)>;

  bool IsPresent(const std::string& instance) const {
    return present_.contains(instance);
  }
  /// Names of the present entries and of the lost ones that the filter accepts.
  Names PresentAndLost(const LostFilter& filter) const;
  Names PresentAndMaybeRunning() const;
  Names PresentMaybeRunningAnd(const LostEntry& loss) const;
  /// Names of the entries that a lost entry is sure to know.
  Names NamesKnownTo(const LostEntry& loss) const;
  /// Returns the two holders in the view of this entry, and those in the lost
  /// entry's view.
  std::vector<Names> PossibleHolders(const LostEntry& loss,
                                     const RequestKey& key) const;
  /// Returns true if the lost entry may have been one of the two holders.
  bool MayBeHolder(const std::string& instance,
                   const LostEntry& loss,
                   const RequestKey& key) const;
  /// Returns true if all present entries know the same entries as this one, and
  /// all lost ones that may be running did so at the time of their loss.
  bool AllHaveSameView() const;

  Options options_;
  std::string self_;
  std::map<std::string, PresentEntry> present_;
  std::map<std::string, LostEntry> lost_;
  /// Time since which a name is known, regardless of its incarnations.
  std::map<std::string, WallTime> known_since_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_HOLDER_RANKING_H_
