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

/// The claims that this entry holds for others and for itself.
class ClaimTable {
 public:
  struct Options {
    /// How long a claim is kept, and so how late a retry may come.
    Duration retention = std::chrono::minutes(10);
    size_t capacity = 100'000;
    /// Between any two calendar clocks.
    Duration clock_skew = std::chrono::seconds(1);
  };

  struct Answer {
    bool granted = false;
    /// Nobody can have claimed the key before without this entry knowing.
    bool vouched = false;
    /// The claim now held.
    Claim claim;
    /// How much this entry's view of the holders covers.
    HolderCoverage coverage = HolderCoverage::kFull;
    /// The request brought something that was not held here before.
    bool changed = false;

    friend bool operator==(const Answer&, const Answer&) = default;
  };

  /// True if this entry ranks so that every claim on the key came here.
  using MetEveryClaim = std::function<bool(const RequestKey&)>;

  /// What the holders of a key that can be asked know together.
  using CoverageOf = std::function<HolderCoverage(const RequestKey&)>;

  /// @param coverage_of empty: always HolderCoverage::kFull
  ClaimTable(Options options,
             const Clock& clock,
             MetEveryClaim met,
             CoverageOf coverage_of = nullptr);

  /// Gives the key to the wanted owner, unless another has it.
  ///
  /// @param replaces an owner whose claim may be taken over, since the agents
  ///     in `wanted` refuse its later starts; no others may be in the claim
  Answer Request(const RequestKey& key,
                 const Claim& wanted,
                 const PeerId& replaces);

  /// Like Request, but records nothing.
  Answer Lookup(const RequestKey& key) const;

  /// For keys sent up to now this entry can't vouch any more: it started just
  /// now, was cut off or frozen, or had to drop claims.
  void CannotVouchUntilNow();

  /// Drops claims past the retention.
  void Tick();

  /// Calls with every claim, for the hand-over of a leaving entry.
  void ForEach(
      const std::function<void(const RequestKey&, const Claim&)>& visit) const;

  bool Vouches(const RequestKey& key) const;
  /// When a key first sent now, by the slowest clock, can be vouched for.
  WallTime vouches_from() const { return blind_until_ + options_.clock_skew; }
  size_t size() const { return claims_.size(); }
  const Options& options() const { return options_; }

 private:
  /// A claim as it is kept: a fleet's names repeat in every one of them.
  struct Held {
    PeerPool::Index owner = 0;
    uint64_t body_hash = 0;
    std::vector<PeerPool::Index> agents;
    bool confirmed = false;
    ClaimStanding standing = ClaimStanding::kPlain;
  };

  Claim Unpack(const Held& held) const;
  HolderCoverage CoverageFor(const RequestKey& key) const;
  /// Brings a claim up to what its owner, or its successor, wants.
  Answer Renew(Held& held, const Claim& wanted);
  /// True if the claim may be given to the wanted owner.
  bool MayTake(const Held& held,
               const Claim& wanted,
               const PeerId& replaces) const;
  /// @return true if any of them was not in the claim
  bool AddAgents(Held& held, const std::vector<PeerId>& agents);
  void Erase(const RequestKey& key);
  void DropOldest();

  Options options_;
  const Clock& clock_;
  MetEveryClaim met_;
  CoverageOf coverage_of_;
  WallTime blind_until_;
  std::unordered_map<RequestKey, Held, RequestKeyHash> claims_;
  PeerPool peers_;
  std::deque<std::pair<TimePoint, RequestKey>> by_age_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CLAIM_CLAIM_TABLE_H_
