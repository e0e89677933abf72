#include "lavenderkeel/claim/claim_table.h"

#include <algorithm>

namespace lavenderkeel {

ClaimTable::ClaimTable(Options options,
                       const Clock& clock,
                       MetEveryClaim met,
                       CoverageOf coverage_of)
    : options_(options),
      clock_(clock),
      met_(std::move(met)),
      coverage_of_(std::move(coverage_of)),
      blind_until_(clock.WallNow()) {}

HolderCoverage ClaimTable::CoverageFor(const RequestKey& key) const {
  return coverage_of_ ? coverage_of_(key) : HolderCoverage::kFull;
}

ClaimTable::Answer ClaimTable::Request(const RequestKey& key,
                                       const Claim& wanted,
                                       const PeerId& replaces) {
  const HolderCoverage coverage = CoverageFor(key);
  const auto found = claims_.find(key);
  if (found != claims_.end()) {
    Held& held = found->second;
    if (held.body_hash != wanted.body_hash ||
        !MayTake(held, wanted, replaces)) {
      return {.granted = false,
              .vouched = false,
              .claim = Unpack(held),
              .coverage = coverage};
    }
    Answer answer = Renew(held, wanted);
    answer.coverage = coverage;
    return answer;
  }
  const bool vouched = Vouches(key);
  // Failure: a claim that the platform has still to decide counts as the first,
  // its owner is refused and dies. Symptom: whoever takes it over starts the
  // key a second time. It is confirmed by its owner, once it has the word.
  const bool decided = wanted.confirmed || coverage == HolderCoverage::kFull;
  const ClaimStanding standing =
      decided ? wanted.standing
              : std::max(wanted.standing, ClaimStanding::kTentative);
  const bool first = vouched && standing == ClaimStanding::kPlain;
  Held held{.owner = peers_.Take(wanted.owner),
            .body_hash = wanted.body_hash,
            .agents = {},
            .confirmed = first || wanted.confirmed,
            .standing = standing};
  AddAgents(held, wanted.agents);
  const Claim kept = Unpack(held);
  claims_.emplace(key, held);
  by_age_.emplace_back(clock_.Now(), key);
  if (claims_.size() > options_.capacity) {
    DropOldest();
  }
  return {.granted = true,
          .vouched = vouched,
          .claim = kept,
          .coverage = coverage,
          .changed = true};
}

bool ClaimTable::MayTake(const Held& held,
                         const Claim& wanted,
                         const PeerId& replaces) const {
  const PeerId& owner = peers_.Get(held.owner);
  if (owner == wanted.owner) {
    return true;
  }
  // Failure: between another's look at the claim and its take-over the owner,
  // cut off from it but alive, adds agents. Symptom: they were not asked, and
  // the key is started at one of them and by its new owner. That one looks
  // again.
  const bool all_asked =
      std::ranges::all_of(held.agents, [&](const PeerPool::Index agent) {
        return std::ranges::find(wanted.agents, peers_.Get(agent)) !=
               wanted.agents.end();
      });
  return owner == replaces && all_asked;
}

ClaimTable::Answer ClaimTable::Renew(Held& held, const Claim& wanted) {
  const bool refused = wanted.standing == ClaimStanding::kRefused;
  const bool confirmed = (held.confirmed || wanted.confirmed) && !refused;
  const bool renewed =
      peers_.Get(held.owner) != wanted.owner || held.confirmed != confirmed;
  if (confirmed || refused) {
    held.standing = refused ? ClaimStanding::kRefused : ClaimStanding::kPlain;
  }
  const PeerPool::Index former = held.owner;
  held.owner = peers_.Take(wanted.owner);
  peers_.Release(former);
  const bool has_more_agents = AddAgents(held, wanted.agents);
  held.confirmed = confirmed;
  return {.granted = true,
          .vouched = held.confirmed,
          .claim = Unpack(held),
          .changed = renewed || has_more_agents};
}

Claim ClaimTable::Unpack(const Held& held) const {
  Claim claim{.owner = peers_.Get(held.owner),
              .body_hash = held.body_hash,
              .agents = {},
              .confirmed = held.confirmed,
              .standing = held.standing};
  claim.agents.reserve(held.agents.size());
  for (const PeerPool::Index agent : held.agents) {
    claim.agents.push_back(peers_.Get(agent));
  }
  return claim;
}

bool ClaimTable::AddAgents(Held& held, const std::vector<PeerId>& agents) {
  const size_t before = held.agents.size();
  for (const PeerId& agent : agents) {
    const PeerPool::Index index = peers_.Take(agent);
    if (std::ranges::find(held.agents, index) == held.agents.end()) {
      held.agents.push_back(index);
    } else {
      peers_.Release(index);
    }
  }
  return held.agents.size() > before;
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
          .vouched = Vouches(key),
          .claim = {},
          .coverage = CoverageFor(key)};
}

bool ClaimTable::Vouches(const RequestKey& key) const {
  // Failure: this entry started, woke or forgot after the key was first sent;
  // the claim made then is not here. Symptom: "unused" for a used key, a second
  // run. Keys carry when they were first sent, so such keys are recognised; the
  // skew covers callers whose clock runs ahead.
  const WallTime oldest =
      std::max(blind_until_, clock_.WallNow() - options_.retention);
  return key.first_sent() > oldest + options_.clock_skew && met_(key);
}

void ClaimTable::CannotVouchUntilNow() {
  blind_until_ = std::max(blind_until_, clock_.WallNow());
}

void ClaimTable::Tick() {
  // A key whose claim is dropped here is past the retention, so Vouches() says
  // no for it from then on.
  const TimePoint oldest = clock_.Now() - options_.retention;
  while (!by_age_.empty() && by_age_.front().first < oldest) {
    Erase(by_age_.front().second);
    by_age_.pop_front();
  }
}

void ClaimTable::DropOldest() {
  // A claim dropped early may be that of any key up to now.
  CannotVouchUntilNow();
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
