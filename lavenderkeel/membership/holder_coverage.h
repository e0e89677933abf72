#ifndef LAVENDERKEEL_MEMBERSHIP_HOLDER_COVERAGE_H_
#define LAVENDERKEEL_MEMBERSHIP_HOLDER_COVERAGE_H_

#include <algorithm>
#include <cstdint>

namespace lavenderkeel {

/// Whether the reachable holders of a key know of every claim on it. The values
/// are on the wire; a higher one covers less.
enum class HolderCoverage : uint8_t {
  kFull = 0,
  /// One holder was lost and may be running but cut off from here, or was
  /// replaced after the key was first sent. Both sides know the same entries,
  /// so each side knows that the other may own the key, and neither starts the
  /// request without the decision of the platform.
  kPlatformDecides = 1,
  /// No reachable entry can tell whether a claim exists.
  kNone = 2,
};

/// Combines two views of the same holders.
inline HolderCoverage LesserCoverage(HolderCoverage a, HolderCoverage b) {
  return std::max(a, b);
}

/// Converts a value from a message; unknown values become kNone.
inline HolderCoverage ToHolderCoverage(uint8_t value) {
  return static_cast<HolderCoverage>(
      std::min(value, static_cast<uint8_t>(HolderCoverage::kNone)));
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_HOLDER_COVERAGE_H_
