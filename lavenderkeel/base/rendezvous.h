#ifndef LAVENDERKEEL_BASE_RENDEZVOUS_H_
#define LAVENDERKEEL_BASE_RENDEZVOUS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderkeel {

uint64_t HashBytes(std::string_view bytes, uint64_t seed = 0);

/// Returns the weight of a name for a key in rendezvous (highest random weight)
/// hashing: a member that joins or leaves moves only the keys that it wins.
uint64_t RendezvousWeight(uint64_t key_hash, std::string_view name);

/// Returns the first `count` names by descending weight.
std::vector<std::string> RendezvousTop(uint64_t key_hash,
                                       std::span<const std::string> names,
                                       size_t count);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_RENDEZVOUS_H_
