#ifndef LAVENDERKEEL_BASE_PEER_ID_H_
#define LAVENDERKEEL_BASE_PEER_ID_H_

#include <compare>
#include <cstdint>
#include <string>

namespace lavenderkeel {

enum class Role : uint8_t { kEntry = 0, kAgent = 1 };

/// Identity of one run of a process: its instance and its start.
///
/// A restarted process has lost its state, so it must never be mistaken for its
/// predecessor, as a comparison of instance names alone would do.
struct PeerId {
  std::string instance;
  uint64_t incarnation = 0;

  bool empty() const { return instance.empty(); }
  std::string ToString() const {
    return instance + "@" + std::to_string(incarnation);
  }

  friend auto operator<=>(const PeerId&, const PeerId&) = default;
};

/// Returns whether `one` started well before `other`. An incarnation is the
/// calendar time of the start in microseconds; processes that are killed
/// together start within half a second of each other.
constexpr bool StartedBefore(const PeerId& one, const PeerId& other) {
  constexpr uint64_t kMaxJointStartSpreadUs = 1'000'000;
  return one.incarnation + kMaxJointStartSpreadUs < other.incarnation;
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_PEER_ID_H_
