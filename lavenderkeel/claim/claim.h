#ifndef LAVENDERKEEL_CLAIM_CLAIM_H_
#define LAVENDERKEEL_CLAIM_CLAIM_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "lavenderkeel/base/peer_id.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// What the platform has to do with a claim. The values are on the wire.
enum class ClaimStanding : uint8_t {
  /// Nothing, or it gave the key to the owner.
  kPlain = 0,
  /// It has still to decide.
  kTentative = 1,
  /// It did not give the key to the owner.
  kRefused = 2,
};

/// Reads the value of a message; what is not known is not confirmed.
inline ClaimStanding ToClaimStanding(uint8_t value) {
  return static_cast<ClaimStanding>(
      std::min(value, static_cast<uint8_t>(ClaimStanding::kRefused)));
}

/// A request key given to one entry incarnation. The key belongs to its team by
/// itself, see CallerApi.
struct Claim {
  PeerId owner;
  /// Of the request as sent; the same key with another body is refused.
  uint64_t body_hash = 0;
  /// The agents that the owner may send the request to; after its death they
  /// are asked whether they have it.
  std::vector<PeerId> agents;
  /// The holder could vouch that it was the first. Otherwise an earlier claim
  /// may exist elsewhere, and "no agent of this one has it" proves nothing.
  bool confirmed = false;
  ClaimStanding standing = ClaimStanding::kPlain;

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// Copies a claim into a ClaimRequest or ClaimReply.
template <typename ClaimMessage>
void PutClaim(const Claim& claim, ClaimMessage& message) {
  message.owner_instance = claim.owner.instance;
  message.owner_incarnation = claim.owner.incarnation;
  message.body_hash = claim.body_hash;
  message.confirmed = claim.confirmed;
  message.standing = static_cast<uint8_t>(claim.standing);
  for (const PeerId& agent : claim.agents) {
    message.agents.push_back(agent.instance);
    message.agent_incarnations.push_back(agent.incarnation);
  }
}

/// Reads the claim of a ClaimRequest or ClaimReply.
template <typename ClaimMessage>
Claim TakeClaim(const ClaimMessage& message) {
  Claim claim{.owner = {.instance = message.owner_instance,
                        .incarnation = message.owner_incarnation},
              .body_hash = message.body_hash,
              .agents = {},
              .confirmed = message.confirmed,
              .standing = ToClaimStanding(message.standing)};
  const size_t agents =
      std::min(message.agents.size(), message.agent_incarnations.size());
  for (size_t i = 0; i < agents; ++i) {
    claim.agents.push_back({.instance = message.agents[i],
                            .incarnation = message.agent_incarnations[i]});
  }
  return claim;
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CLAIM_CLAIM_H_
