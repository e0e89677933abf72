#include "lavenderkeel/crash/request_traits.h"

#include <algorithm>

namespace lavenderkeel {

namespace {

// A request with more parts than these costs no more to assess.
constexpr size_t kMaxParts = 64;
constexpr size_t kMaxPairedParts = 8;

}  // namespace

std::vector<Suspect> SuspectsOf(const RequestTraits& request) {
  std::vector<Suspect> suspects;
  if (request.fingerprint != 0) {
    suspects.push_back(
        {.kind = Suspect::Kind::kRequest, .first = request.fingerprint});
  }
  // A part may occur more than once in a prompt.
  std::vector<PromptPartId> parts;
  for (const PromptPartId part : request.parts) {
    if (parts.size() < kMaxParts &&
        std::ranges::find(parts, part) == parts.end()) {
      parts.push_back(part);
    }
  }
  for (const PromptPartId part : parts) {
    suspects.push_back({.kind = Suspect::Kind::kPart, .first = part});
  }
  const size_t paired = std::min(parts.size(), kMaxPairedParts);
  for (size_t i = 0; i < paired; ++i) {
    for (size_t j = i + 1; j < paired; ++j) {
      const auto [low, high] = std::minmax(parts[i], parts[j]);
      suspects.push_back(
          {.kind = Suspect::Kind::kPartPair, .first = low, .second = high});
    }
  }
  return suspects;
}

RequestTraits TraitsOf(const Suspect& suspect) {
  switch (suspect.kind) {
    case Suspect::Kind::kRequest:
      return {.fingerprint = suspect.first};
    case Suspect::Kind::kPart:
      return {.parts = {suspect.first}};
    case Suspect::Kind::kPartPair:
      return {.parts = {suspect.first, suspect.second}};
    case Suspect::Kind::kPlace:
      return {};
  }
  return {};
}

bool HasSuspect(const RequestTraits& request, const Suspect& suspect) {
  const auto has_part = [&request](PromptPartId part) {
    return std::ranges::find(request.parts, part) != request.parts.end();
  };
  switch (suspect.kind) {
    case Suspect::Kind::kRequest:
      return request.fingerprint == suspect.first;
    case Suspect::Kind::kPart:
      return has_part(suspect.first);
    case Suspect::Kind::kPartPair:
      return has_part(suspect.first) && has_part(suspect.second);
    case Suspect::Kind::kPlace:
      return false;
  }
  return false;
}

}  // namespace lavenderkeel
