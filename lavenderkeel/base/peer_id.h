#ifndef LAVENDERKEEL_BASE_PEER_ID_H_
#define LAVENDERKEEL_BASE_PEER_ID_H_

#include <compare>
#include <cstdint>
#include <string>

namespace lavenderkeel {

enum class Role : uint8_t { kEntry = 0, kAgent = 1 };

/// One life of a process: its instance and when it started.
///
/// A restarted process has lost its state, so it must never be taken for its
/// predecessor; comparing instance names alone would do just that.
struct PeerId {
  std::string instance;
  uint64_t incarnation = 0;

  bool empty() const { return instance.empty(); }
  std::string ToString() const {
    return instance + "@" + std::to_string(incarnation);
  }

  friend auto operator<=>(const PeerId&, const PeerId&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_PEER_ID_H_
