#ifndef LAVENDERKEEL_MEMBERSHIP_HOLDER_COVERAGE_H_
#define LAVENDERKEEL_MEMBERSHIP_HOLDER_COVERAGE_H_

#include <algorithm>
#include <cstdint>

namespace lavenderkeel {

/// Whether the holders of a key that can be asked know of every claim on it.
/// The values are on the wire; a higher one covers less.
enum class HolderCoverage : uint8_t {
  kFull = 0,
  /// One holder was lost and may live, cut off from here. Both sides agree on
  /// which entries there are, so that each knows that the other may have the
  /// key, and neither starts it without the platform's word.
  kPlatformDecides = 1,
  /// Nobody here can tell.
  kNone = 2,
};

/// What two views of the same holders come to.
inline HolderCoverage Lesser(HolderCoverage a, HolderCoverage b) {
  return std::max(a, b);
}

/// Reads the value of a message; what is not known covers nothing.
inline HolderCoverage ToHolderCoverage(uint8_t value) {
  return static_cast<HolderCoverage>(
      std::min(value, static_cast<uint8_t>(HolderCoverage::kNone)));
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_HOLDER_COVERAGE_H_
