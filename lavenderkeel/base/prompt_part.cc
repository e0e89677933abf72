#include "lavenderkeel/base/prompt_part.h"

#include <array>
#include <charconv>

namespace lavenderkeel {

std::string PromptPartName(PromptPartId part) {
  constexpr size_t kMaxDigits = 16;
  constexpr int kHexadecimal = 16;
  std::array<char, kMaxDigits> digits{};
  const auto [end, error] = std::to_chars(
      digits.data(), digits.data() + digits.size(), part, kHexadecimal);
  return {digits.data(), end};
}

std::string JoinPromptParts(const std::vector<PromptPartId>& parts) {
  // Bounds the length of log lines.
  constexpr size_t kMaxParts = 16;
  std::string text;
  for (size_t i = 0; i < parts.size(); ++i) {
    text += i == 0 ? "" : ",";
    if (i == kMaxParts) {
      return text + "...";
    }
    text += PromptPartName(parts[i]);
  }
  return text;
}

}  // namespace lavenderkeel
