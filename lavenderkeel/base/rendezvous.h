#ifndef LAVENDERKEEL_BASE_RENDEZVOUS_H_
#define LAVENDERKEEL_BASE_RENDEZVOUS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderkeel {

uint64_t HashBytes(std::string_view bytes, uint64_t seed = 0);

/// The weight of a name for a key under rendezvous (highest random weight)
/// hashing: a join or a leave moves only the keys that the member wins.
uint64_t RendezvousWeight(uint64_t key_hash, std::string_view name);

/// The first `count` of the names by descending weight.
std::vector<std::string> RendezvousTop(uint64_t key_hash,
                                       std::span<const std::string> names,
                                       size_t count);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_RENDEZVOUS_H_
