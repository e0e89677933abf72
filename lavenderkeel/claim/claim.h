#ifndef LAVENDERKEEL_CLAIM_CLAIM_H_
#define LAVENDERKEEL_CLAIM_CLAIM_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "lavenderkeel/base/peer_id.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// State of the platform's decision on a claim. The values are on the wire.
enum class ClaimStatus : uint8_t {
  /// The platform is not involved, or granted the key to the owner.
  kPlain = 0,
  /// The decision of the platform is pending.
  kTentative = 1,
  /// The platform did not grant the key to the owner.
  kRefused = 2,
};

/// Converts a value from a message; unknown values become kRefused, so that the
/// claim does not count as confirmed.
inline ClaimStatus ToClaimStatus(uint8_t value) {
  return static_cast<ClaimStatus>(
      std::min(value, static_cast<uint8_t>(ClaimStatus::kRefused)));
}

/// Assignment of a request key to one entry incarnation. Keys are already
/// specific to a team, see CallerApi.
struct Claim {
  PeerId owner;
  /// Hash of the body as sent; a request with the same key and another body is
  /// refused.
  uint64_t body_hash = 0;
  /// The agents that the owner may send the request to. After the loss of the
  /// owner, the entry that takes the claim over asks them whether they have the
  /// request.
  std::vector<PeerId> agents;
  /// This is certainly the first claim: a holder vouched for the key, or the
  /// platform granted it. Otherwise an earlier claim may exist elsewhere, and
  /// the request may have run even if no agent of this claim has it.
  bool confirmed = false;
  ClaimStatus status = ClaimStatus::kPlain;

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// Copies a claim into a ClaimRequest or ClaimReply.
template <typename ClaimMessage>
void WriteClaim(const Claim& claim, ClaimMessage& message) {
  message.owner_instance = claim.owner.instance;
  message.owner_incarnation = claim.owner.incarnation;
  message.body_hash = claim.body_hash;
  message.confirmed = claim.confirmed;
  message.standing = static_cast<uint8_t>(claim.status);
  for (const PeerId& agent : claim.agents) {
    message.agents.push_back(agent.instance);
    message.agent_incarnations.push_back(agent.incarnation);
  }
}

/// Reads the claim of a ClaimRequest or ClaimReply.
template <typename ClaimMessage>
Claim ReadClaim(const ClaimMessage& message) {
  Claim claim{.owner = {.instance = message.owner_instance,
                        .incarnation = message.owner_incarnation},
              .body_hash = message.body_hash,
              .agents = {},
              .confirmed = message.confirmed,
              .status = ToClaimStatus(message.standing)};
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
