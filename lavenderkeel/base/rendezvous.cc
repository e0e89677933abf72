#include "lavenderkeel/base/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace lavenderkeel {

uint64_t HashBytes(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t RendezvousWeight(uint64_t key_hash, std::string_view name) {
  return HashBytes(name, key_hash);
}

std::vector<std::string> RendezvousTop(uint64_t key_hash,
                                       std::span<const std::string> names,
                                       size_t count) {
  std::vector<std::string> top(names.begin(), names.end());
  const size_t kept = std::min(count, top.size());
  const auto heavier = [key_hash](const std::string& a, const std::string& b) {
    const uint64_t weight_a = RendezvousWeight(key_hash, a);
    const uint64_t weight_b = RendezvousWeight(key_hash, b);
    return weight_a != weight_b ? weight_a > weight_b : a < b;
  };
  std::partial_sort(top.begin(), top.begin() + static_cast<ptrdiff_t>(kept),
                    top.end(), heavier);
  top.resize(kept);
  return top;
}

}  // namespace lavenderkeel
