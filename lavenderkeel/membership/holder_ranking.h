#ifndef LAVENDERKEEL_MEMBERSHIP_HOLDER_RANKING_H_
#define LAVENDERKEEL_MEMBERSHIP_HOLDER_RANKING_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/peer_id.h"
#include "lavenderkeel/base/request_key.h"

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

  /// @param clock_skew between any two calendar clocks
  explicit HolderRanking(Duration clock_skew) : clock_skew_(clock_skew) {}

  /// Present: linked, or not heard of for less than the heartbeat timeout.
  void SetPresent(const PeerId& peer);
  /// Lost without a hand-over of its claims.
  void SetLost(const PeerId& peer, WallTime when);
  /// Left in order, its claims handed over. An earlier incarnation that was
  /// lost stays remembered: its claims are gone all the same.
  void SetLeft(const std::string& instance);

  /// The holders of a key among the present, first holder first.
  std::vector<std::string> Holders(const RequestKey& key) const;

  /// True if `instance` met every claim on the key since it was first sent.
  bool MetEveryClaim(const std::string& instance, const RequestKey& key) const;

  /// True if a lost entry was among the first two for the key and may, cut off
  /// but alive, hold a claim on it that no present holder has seen.
  bool LostHolder(const RequestKey& key) const;

  /// Drops losses older than the age that keys may have.
  void ForgetLostBefore(WallTime when);

  size_t present() const { return present_.size(); }

 private:
  struct Loss {
    uint64_t incarnation = 0;
    WallTime when;
    /// Cut off rather than dead, for all that is known.
    bool may_live = true;
  };
  using Counts = std::function<bool(const Loss&)>;

  std::vector<std::string> TopWithLost(const RequestKey& key,
                                       const Counts& counts) const;

  Duration clock_skew_;
  std::vector<std::string> present_;
  std::map<std::string, Loss> lost_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_HOLDER_RANKING_H_
