#ifndef LAVENDERKEEL_CLAIM_CLAIM_H_
#define LAVENDERKEEL_CLAIM_CLAIM_H_

#include <cstdint>
#include <vector>

#include "lavenderkeel/base/peer_id.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

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

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// Copies a claim into a ClaimRequest or ClaimReply.
template <typename ClaimMessage>
void PutClaim(const Claim& claim, ClaimMessage& message) {
  message.owner_instance = claim.owner.instance;
  message.owner_incarnation = claim.owner.incarnation;
  message.body_hash = claim.body_hash;
  message.confirmed = claim.confirmed;
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
              .confirmed = message.confirmed};
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
