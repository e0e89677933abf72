#include "lavenderkeel/crash/suspect.h"

#include "lavenderkeel/base/prompt_part.h"

namespace lavenderkeel {

size_t SuspectHash::operator()(const Suspect& suspect) const {
  // Ids of parts may be small numbers; the multiplication spreads them.
  constexpr uint64_t kOddFactor = 0x9e3779b97f4a7c15;
  constexpr int kHalfWord = 32;
  uint64_t hash = static_cast<uint64_t>(suspect.kind);
  for (const uint64_t word : {suspect.first, suspect.second}) {
    hash = (hash ^ word) * kOddFactor;
    hash ^= hash >> kHalfWord;
  }
  return hash;
}

const char* SuspectKindName(Suspect::Kind kind) {
  switch (kind) {
    case Suspect::Kind::kRequest:
      return "request";
    case Suspect::Kind::kPart:
      return "part";
    case Suspect::Kind::kPartPair:
      return "part_pair";
    case Suspect::Kind::kPlace:
      return "place";
  }
  return "request";
}

std::string SuspectName(const Suspect& suspect) {
  std::string kind = std::string(SuspectKindName(suspect.kind)) + ":";
  switch (suspect.kind) {
    case Suspect::Kind::kPart:
      return kind + PromptPartName(suspect.first);
    case Suspect::Kind::kPartPair:
      return kind + PromptPartName(suspect.first) + "+" +
             PromptPartName(suspect.second);
    case Suspect::Kind::kRequest:
    case Suspect::Kind::kPlace:
      // In decimal, as the other log fields with hashes.
      return kind + std::to_string(suspect.first);
  }
  return kind;
}

}  // namespace lavenderkeel
