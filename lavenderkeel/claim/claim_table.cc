#include "lavenderkeel/claim/claim_table.h"

#include <algorithm>

namespace lavenderkeel {

ClaimTable::ClaimTable(Options options, const Clock& clock, MetEveryClaim met)
    : options_(options),
      clock_(clock),
      met_(std::move(met)),
      blind_until_(clock.WallNow()) {}

ClaimTable::Answer ClaimTable::Request(const RequestKey& key,
                                       const Claim& wanted,
                                       const PeerId& replaces) {
  const auto found = claims_.find(key);
  if (found != claims_.end()) {
    Claim& held = found->second;
    const bool same_request =
        held.team == wanted.team && held.body_hash == wanted.body_hash;
    const bool may_take = held.owner == wanted.owner || held.owner == replaces;
    if (!same_request || !may_take) {
      return {.granted = false, .vouched = false, .claim = held};
    }
    held.owner = wanted.owner;
    for (const PeerId& agent : wanted.agents) {
      if (std::ranges::find(held.agents, agent) == held.agents.end()) {
        held.agents.push_back(agent);
      }
    }
    // The claim was here, so whoever takes it over has been told all there is.
    return {.granted = true, .vouched = true, .claim = held};
  }
  const bool vouched = Vouches(key);
  claims_.emplace(key, wanted);
  by_age_.emplace_back(clock_.Now(), key);
  if (claims_.size() > options_.capacity) {
    DropOldest();
  }
  return {.granted = true, .vouched = vouched, .claim = wanted};
}

ClaimTable::Answer ClaimTable::Lookup(const RequestKey& key) const {
  const auto found = claims_.find(key);
  if (found != claims_.end()) {
    return {.granted = false, .vouched = false, .claim = found->second};
  }
  return {.granted = true, .vouched = Vouches(key), .claim = {}};
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
    claims_.erase(by_age_.front().second);
    by_age_.pop_front();
  }
}

void ClaimTable::DropOldest() {
  // A claim dropped early may be that of any key up to now.
  CannotVouchUntilNow();
  claims_.erase(by_age_.front().second);
  by_age_.pop_front();
}

void ClaimTable::ForEach(
    const std::function<void(const RequestKey&, const Claim&)>& visit) const {
  for (const auto& [key, claim] : claims_) {
    visit(key, claim);
  }
}

}  // namespace lavenderkeel
