#include "lavenderkeel/base/request_key.h"

#include <array>
#include <cstdio>

namespace lavenderkeel {

namespace {

constexpr size_t kTextLength = 36;
constexpr uint64_t kVersionMask = 0xF000;
constexpr uint64_t kVersion7 = 0x7000;
constexpr uint64_t kVariantMask = 0xC000000000000000;
constexpr uint64_t kVariant = 0x8000000000000000;
constexpr int kTimeShift = 16;

bool IsDash(size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return -1;
}

}  // namespace

std::optional<RequestKey> RequestKey::Parse(std::string_view text) {
  if (text.size() != kTextLength) {
    return std::nullopt;
  }
  std::array<uint64_t, 2> words{};
  int digits = 0;
  for (size_t i = 0; i < text.size(); ++i) {
    if (IsDash(i)) {
      if (text[i] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const int digit = HexDigit(text[i]);
    if (digit < 0) {
      return std::nullopt;
    }
    uint64_t& word = words.at(digits / 16);
    word = (word << 4) | static_cast<uint64_t>(digit);
    ++digits;
  }
  const RequestKey key{.hi = words[0], .lo = words[1]};
  const bool is_version_7 = (key.hi & kVersionMask) == kVersion7 &&
                            (key.lo & kVariantMask) == kVariant;
  return is_version_7 ? std::optional(key) : std::nullopt;
}

RequestKey RequestKey::Mint(WallTime now, std::mt19937_64& random) {
  const auto milliseconds =
      static_cast<uint64_t>(ToMilliseconds(now.time_since_epoch()));
  const uint64_t noise = random() & 0x0FFF;
  return {.hi = (milliseconds << kTimeShift) | kVersion7 | noise,
          .lo = (random() & ~kVariantMask) | kVariant};
}

WallTime RequestKey::first_sent() const {
  return WallTime(std::chrono::milliseconds(hi >> kTimeShift));
}

std::string RequestKey::ToString() const {
  std::array<char, kTextLength + 1> text{};
  std::snprintf(text.data(), text.size(), "%08x-%04x-%04x-%04x-%012llx",
                static_cast<unsigned>(hi >> 32),
                static_cast<unsigned>((hi >> 16) & 0xFFFF),
                static_cast<unsigned>(hi & 0xFFFF),
                static_cast<unsigned>(lo >> 48),
                static_cast<unsigned long long>(lo & 0xFFFFFFFFFFFF));
  return text.data();
}

}  // namespace lavenderkeel
