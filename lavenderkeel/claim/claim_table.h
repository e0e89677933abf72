#ifndef LAVENDERKEEL_CLAIM_CLAIM_TABLE_H_
#define LAVENDERKEEL_CLAIM_CLAIM_TABLE_H_

#include <deque>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/request_key.h"
#include "lavenderkeel/claim/claim.h"
#include "lavenderkeel/claim/peer_pool.h"
#include "lavenderkeel/membership/holder_coverage.h"

namespace lavenderkeel {

/// Table of the claims that this entry stores as a holder of their keys.
///
/// Each key has two holders, see HolderRanking. An entry that wants to own a
/// key asks both. A holder vouches for a key if every earlier claim on it would
/// be in its table: only then does a missing claim mean that the key is unused.
class ClaimTable {
 public:
  struct Options {
    /// How long a claim is kept, which bounds how late a retry may arrive.
    Duration retention = std::chrono::minutes(10);
    size_t capacity = 100'000;
    /// Maximum difference between any two calendar clocks.
    Duration clock_skew = std::chrono::seconds(1);
  };

  /// Answer of a holder to a request or a lookup.
  struct Answer {
    bool granted = false;
    /// Every earlier claim on the key would be in this table.
    bool vouched = false;
    /// The claim that is now stored.
    Claim claim;
    /// Whether the holders that this entry can reach know of every claim on the
    /// key.
    HolderCoverage coverage = HolderCoverage::kFull;
    /// The request added information that was not stored here before.
    bool changed = false;

    friend bool operator==(const Answer&, const Answer&) = default;
  };

  /// Returns true if the rank of this entry ensures that every claim on the key
  /// was sent to it.
  using KnowsEveryClaim = std::function<bool(const RequestKey&)>;

  /// Returns whether the reachable holders of a key know of every claim on it.
  using CoverageOf = std::function<HolderCoverage(const RequestKey&)>;

  /// @param coverage_of if empty, always HolderCoverage::kFull
  ClaimTable(Options options,
             const Clock& clock,
             KnowsEveryClaim knows_every_claim,
             CoverageOf coverage_of = nullptr);

  /// Grants the key to the wanted owner unless another entry owns it.
  ///
  /// @param replaces an owner whose claim may be reassigned because the agents
  ///     in `wanted` refuse its later starts; the claim must contain no other
  ///     agents
  Answer Request(const RequestKey& key,
                 const Claim& wanted,
                 const PeerId& replaces);

  /// Like Request, but changes nothing.
  Answer Lookup(const RequestKey& key) const;

  /// Makes this entry vouch only for keys first sent after now, since it has
  /// just started, was cut off or frozen, or had to drop claims.
  void DisclaimKeysUntilNow();

  /// Drops claims older than the retention time.
  void Tick();

  /// Calls `visit` with every claim, for the hand-over by a leaving entry.
  void ForEach(
      const std::function<void(const RequestKey&, const Claim&)>& visit) const;

  bool CanVouchFor(const RequestKey& key) const;
  /// Returns the time from which this entry can vouch for new keys, including
  /// those dated by the slowest clock.
  WallTime vouches_from() const {
    return claims_complete_since_ + options_.clock_skew;
  }
  size_t size() const { return claims_.size(); }
  const Options& options() const { return options_; }

 private:
  /// A claim in its stored form, with indexes in place of instance names: the
  /// names of a fleet are the same in every claim.
  struct StoredClaim {
    PeerPool::Index owner = 0;
    uint64_t body_hash = 0;
    std::vector<PeerPool::Index> agents;
    bool confirmed = false;
    ClaimStatus status = ClaimStatus::kPlain;
  };

  Claim Unpack(const StoredClaim& stored) const;
  HolderCoverage CoverageFor(const RequestKey& key) const;
  /// Updates a claim to the request of its owner or the successor of its owner.
  Answer UpdateClaim(StoredClaim& stored, const Claim& wanted);
  /// Returns true if the claim may be assigned to the wanted owner.
  bool CanReassign(const StoredClaim& stored,
                   const Claim& wanted,
                   const PeerId& replaces) const;
  /// @return true if the claim lacked any of the agents
  bool AddAgents(StoredClaim& stored, const std::vector<PeerId>& agents);
  void Erase(const RequestKey& key);
  void DropOldest();

  Options options_;
  const Clock& clock_;
  KnowsEveryClaim knows_every_claim_;
  CoverageOf coverage_of_;
  /// Claims made before this time may be missing from the table.
  WallTime claims_complete_since_;
  std::unordered_map<RequestKey, StoredClaim, RequestKeyHash> claims_;
  PeerPool peers_;
  std::deque<std::pair<TimePoint, RequestKey>> by_age_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CLAIM_CLAIM_TABLE_H_
