#include "lavenderkeel/claim/claim_table.h"

#include <algorithm>

namespace lavenderkeel {

ClaimTable::ClaimTable(Options options,
                       const Clock& clock,
                       KnowsEveryClaim knows_every_claim,
                       CoverageOf coverage_of)
    : options_(options),
      clock_(clock),
      knows_every_claim_(std::move(knows_every_claim)),
      coverage_of_(std::move(coverage_of)),
      claims_complete_since_(clock.WallNow()) {}

HolderCoverage ClaimTable::CoverageFor(const RequestKey& key) const {
  return coverage_of_ ? coverage_of_(key) : HolderCoverage::kFull;
}

ClaimTable::Answer ClaimTable::Request(const RequestKey& key,
                                       const Claim& wanted,
                                       const PeerId& replaces) {
  const HolderCoverage coverage = CoverageFor(key);
  const auto found = claims_.find(key);
  if (found != claims_.end()) {
    StoredClaim& stored = found->second;
    if (stored.body_hash != wanted.body_hash ||
        !CanReassign(stored, wanted, replaces)) {
      return {.granted = false,
              .vouched = false,
              .claim = Unpack(stored),
              .coverage = coverage};
    }
    Answer answer = UpdateClaim(stored, wanted);
    answer.coverage = coverage;
    return answer;
  }
  const bool vouched = CanVouchFor(key);
  // A claim that awaits the platform's decision is not confirmed here. If the
  // platform refuses the owner and the owner then crashes, the entry that takes
  // over a confirmed claim would start the request a second time. The owner
  // confirms the claim once the platform has granted the key.
  const bool is_decided = wanted.confirmed || coverage == HolderCoverage::kFull;
  const ClaimStatus status =
      is_decided ? wanted.status
                 : std::max(wanted.status, ClaimStatus::kTentative);
  const bool is_first = vouched && status == ClaimStatus::kPlain;
  StoredClaim stored{.owner = peers_.Acquire(wanted.owner),
                     .body_hash = wanted.body_hash,
                     .agents = {},
                     .confirmed = is_first || wanted.confirmed,
                     .status = status};
  AddAgents(stored, wanted.agents);
  const Claim stored_claim = Unpack(stored);
  claims_.emplace(key, stored);
  by_age_.emplace_back(clock_.Now(), key);
  if (claims_.size() > options_.capacity) {
    DropOldest();
  }
  return {.granted = true,
          .vouched = vouched,
          .claim = stored_claim,
          .coverage = coverage,
          .changed = true};
}

bool ClaimTable::CanReassign(const StoredClaim& stored,
                             const Claim& wanted,
                             const PeerId& replaces) const {
  const PeerId& owner = peers_.Get(stored.owner);
  if (owner == wanted.owner) {
    return true;
  }
  // The owner may be running but cut off from the entry that takes the claim
  // over, and may add agents after that entry has read the claim. Those agents
  // were not asked, so the request would be started both at one of them and by
  // the new owner. The take-over is refused, and the entry reads the claim
  // again.
  const bool all_agents_asked =
      std::ranges::all_of(stored.agents, [&](const PeerPool::Index agent) {
        return std::ranges::find(wanted.agents, peers_.Get(agent)) !=
               wanted.agents.end();
      });
  return owner == replaces && all_agents_asked;
}

ClaimTable::Answer ClaimTable::UpdateClaim(StoredClaim& stored,
                                           const Claim& wanted) {
  const bool is_refused = wanted.status == ClaimStatus::kRefused;
  const bool confirmed = (stored.confirmed || wanted.confirmed) && !is_refused;
  const bool is_updated =
      peers_.Get(stored.owner) != wanted.owner || stored.confirmed != confirmed;
  if (confirmed || is_refused) {
    stored.status = is_refused ? ClaimStatus::kRefused : ClaimStatus::kPlain;
  }
  const PeerPool::Index former_owner = stored.owner;
  stored.owner = peers_.Acquire(wanted.owner);
  peers_.Release(former_owner);
  const bool has_more_agents = AddAgents(stored, wanted.agents);
  stored.confirmed = confirmed;
  return {.granted = true,
          .vouched = stored.confirmed,
          .claim = Unpack(stored),
          .changed = is_updated || has_more_agents};
}

Claim ClaimTable::Unpack(const StoredClaim& stored) const {
  Claim claim{.owner = peers_.Get(stored.owner),
              .body_hash = stored.body_hash,
              .agents = {},
              .confirmed = stored.confirmed,
              .status = stored.status};
  claim.agents.reserve(stored.agents.size());
  for (const PeerPool::Index agent : stored.agents) {
    claim.agents.push_back(peers_.Get(agent));
  }
  return claim;
}

bool ClaimTable::AddAgents(StoredClaim& stored,
                           const std::vector<PeerId>& agents) {
  const size_t before = stored.agents.size();
  for (const PeerId& agent : agents) {
    const PeerPool::Index index = peers_.Acquire(agent);
    if (std::ranges::find(stored.agents, index) == stored.agents.end()) {
      stored.agents.push_back(index);
    } else {
      peers_.Release(index);
    }
  }
  return stored.agents.size() > before;
}

void ClaimTable::Erase(const RequestKey& key) {
  const auto found = claims_.find(key);
  if (found == claims_.end()) {
    return;
  }
  peers_.Release(found->second.owner);
  for (const PeerPool::Index agent : found->second.agents) {
    peers_.Release(agent);
  }
  claims_.erase(found);
}
ClaimTable::Answer ClaimTable::Lookup(const RequestKey& key) const {
  const auto found = claims_.find(key);
  if (found != claims_.end()) {
    return {.granted = false,
            .vouched = false,
            .claim = Unpack(found->second),
            .coverage = CoverageFor(key)};
  }
  return {.granted = true,
          .vouched = CanVouchFor(key),
          .claim = {},
          .coverage = CoverageFor(key)};
}

bool ClaimTable::CanVouchFor(const RequestKey& key) const {
  // An earlier claim may be missing here if this entry started, was frozen or
  // dropped claims after the key was first sent; calling such a key unused
  // would run the request a second time. The key carries the time when it was
  // first sent, so such keys are recognised; the skew covers callers whose
  // clock runs ahead.
  const WallTime oldest =
      std::max(claims_complete_since_, clock_.WallNow() - options_.retention);
  return key.first_sent() > oldest + options_.clock_skew &&
         knows_every_claim_(key);
}

void ClaimTable::DisclaimKeysUntilNow() {
  claims_complete_since_ = std::max(claims_complete_since_, clock_.WallNow());
}

void ClaimTable::Tick() {
  // A key whose claim is dropped here is older than the retention time, so
  // CanVouchFor() returns false for it from then on.
  const TimePoint oldest = clock_.Now() - options_.retention;
  while (!by_age_.empty() && by_age_.front().first < oldest) {
    Erase(by_age_.front().second);
    by_age_.pop_front();
  }
}

void ClaimTable::DropOldest() {
  // The dropped claim may belong to any key first sent before now.
  DisclaimKeysUntilNow();
  Erase(by_age_.front().second);
  by_age_.pop_front();
}

void ClaimTable::ForEach(
    const std::function<void(const RequestKey&, const Claim&)>& visit) const {
  for (const auto& [key, claim] : claims_) {
    visit(key, Unpack(claim));
  }
}

}  // namespace lavenderkeel
