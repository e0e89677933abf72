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

/// Ranks the entries of a region for a request key, and remembers those that
/// were lost.
///
/// Failure: both holders of a claim die, the next two in rank are asked, never
/// saw the claim and say "unused". Symptom: a retry runs a second time. An
/// entry may therefore vouch only if it ranks among the first two of the
/// living *and* of those lost since the key was first sent: then every claim
/// made since by anybody who knew it went to it too.
class HolderRanking {
 public:
  static constexpr size_t kHolders = 2;

  struct Options {
    /// Between any two calendar clocks.
    Duration clock_skew = std::chrono::seconds(1);
    /// How long after one entry counts another all are sure to do so: twice the
    /// heartbeat timeout.
    Duration settle_time = std::chrono::seconds(4);
  };

  explicit HolderRanking(Options options) : options_(options) {}

  /// This process itself; it sends itself no reports.
  void SetSelf(const PeerId& self, WallTime now);
  /// Present: linked, or not heard of for less than the heartbeat timeout.
  void SetPresent(const PeerId& peer, WallTime now);
  /// Lost without a hand-over of its claims.
  void SetLost(const PeerId& peer, WallTime now);
  /// Left in order, its claims handed over. An earlier incarnation that was
  /// lost stays remembered: its claims are gone all the same.
  void SetLeft(const std::string& instance);
  /// A present entry says which entries it counts; see KnownEntries.
  void SetReport(const PeerId& peer, uint64_t known_entries);

  /// A hash of the names of all entries that are counted here: those present,
  /// and those lost that may live.
  uint64_t KnownEntries() const;

  /// The holders of a key among the present, first holder first.
  std::vector<std::string> Holders(const RequestKey& key) const;

  /// True if `instance` met every claim on the key since it was first sent.
  bool MetEveryClaim(const std::string& instance, const RequestKey& key) const;

  /// Whether the holders that can be asked know of every claim on the key, also
  /// of those that a lost one, cut off but alive, may have granted.
  HolderCoverage Coverage(const RequestKey& key) const;

  /// True if an entry that may live is lost.
  bool AnySilent() const;

  /// True if `instance` ranks beside each lost holder of the key, and so met
  /// every claim that both of them granted together.
  bool RanksBesideLost(const std::string& instance,
                       const RequestKey& key) const;

  /// Drops losses older than the age that keys may have.
  void ForgetLostBefore(WallTime when);

  size_t present() const { return present_.size(); }

 private:
  using Names = std::vector<std::string>;

  struct Present {
    uint64_t incarnation = 0;
    /// What it said last; nothing before it said anything.
    std::optional<uint64_t> known_entries;
  };
  struct Loss {
    uint64_t incarnation = 0;
    WallTime when;
    /// Cut off rather than dead, for all that is known.
    bool may_live = true;
    /// When a successor was met, after which it can't have granted anything.
    WallTime until = WallTime::max();
    /// It counted the same entries as this one when it was last heard.
    bool agreed = false;
  };
  using Counts = std::function<bool(const Loss&)>;

  bool IsPresent(const std::string& instance) const {
    return present_.contains(instance);
  }
  /// Names of the present and of the lost that count.
  Names With(const Counts& counts) const;
  Names PresentAndMayLive() const;
  Names WithMayLiveAnd(const Loss& loss) const;
  /// Those that a lost entry is sure to count.
  Names KnownTo(const Loss& loss) const;
  /// The first two by the lost entry's own view and by ours.
  std::vector<Names> TopsFor(const Loss& loss, const RequestKey& key) const;
  /// True if it may have been one of the two holders.
  bool MayHold(const std::string& instance,
               const Loss& loss,
               const RequestKey& key) const;
  /// All entries that can be asked, and all lost when they were lost, count the
  /// same entries as this one.
  bool AllAgree() const;

  Options options_;
  std::string self_;
  std::map<std::string, Present> present_;
  std::map<std::string, Loss> lost_;
  /// Since when a name is counted, whatever its incarnations.
  std::map<std::string, WallTime> counted_since_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_HOLDER_RANKING_H_
