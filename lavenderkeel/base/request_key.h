#ifndef LAVENDERKEEL_BASE_REQUEST_KEY_H_
#define LAVENDERKEEL_BASE_REQUEST_KEY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// A UUIDv7: the idempotency key of a request.
///
/// The first 48 bits are the milliseconds since 1970 at which the caller first
/// sent it; that is what lets an entry tell whether it was up at that time.
struct RequestKey {
  uint64_t hi = 0;
  uint64_t lo = 0;

  /// Reads the canonical text form; nothing for any other form or version.
  static std::optional<RequestKey> Parse(std::string_view text);

  /// A fresh key.
  static RequestKey Mint(WallTime now, std::mt19937_64& random);

  WallTime first_sent() const;
  std::string ToString() const;

  friend auto operator<=>(const RequestKey&, const RequestKey&) = default;
};

struct RequestKeyHash {
  size_t operator()(const RequestKey& key) const {
    constexpr uint64_t kOddMultiplier = 0x9E3779B97F4A7C15;
    return key.lo ^ (key.hi * kOddMultiplier);
  }
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_REQUEST_KEY_H_
