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

/// Idempotency key of a request, a UUIDv7.
///
/// The first 48 bits are the milliseconds since 1970 at which the caller first
/// sent the request, so an entry can tell whether it was running at that time.
struct RequestKey {
  uint64_t hi = 0;
  uint64_t lo = 0;

  /// Parses the canonical text form; returns nothing for any other form or UUID
  /// version.
  static std::optional<RequestKey> Parse(std::string_view text);

  /// Creates a new key.
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
