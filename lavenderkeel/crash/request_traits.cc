#include "lavenderkeel/crash/request_traits.h"

#include <algorithm>
#include <unordered_set>

namespace lavenderkeel {

namespace {

// The number of pairs grows with the square of the parts. Those beyond are
// recognised by their single parts or by the whole request.
constexpr size_t kMaxPairedParts = 8;

/// Returns the parts without repetitions, in order.
std::vector<PromptPartId> DistinctParts(
    const std::vector<PromptPartId>& parts) {
  // Below this number a search through the parts is faster than hashing them.
  constexpr size_t kFewParts = 32;
  std::vector<PromptPartId> distinct;
  distinct.reserve(std::min(parts.size(), kMaxSuspectParts));
  std::unordered_set<PromptPartId> seen;
  for (const PromptPartId part : parts) {
    const bool is_new =
        parts.size() <= kFewParts
            ? std::ranges::find(distinct, part) == distinct.end()
            : seen.insert(part).second;
    if (is_new) {
      distinct.push_back(part);
    }
    if (distinct.size() == kMaxSuspectParts) {
      break;
    }
  }
  return distinct;
}

}  // namespace

RequestTraits MakeTraits(RequestFingerprint fingerprint,
                         const std::vector<PromptPartId>& parts) {
  return {.fingerprint = fingerprint, .parts = DistinctParts(parts)};
}

std::vector<Suspect> SuspectsOf(const RequestTraits& request) {
  std::vector<Suspect> suspects;
  if (request.fingerprint != 0) {
    suspects.push_back(
        {.kind = Suspect::Kind::kRequest, .first = request.fingerprint});
  }
  const std::vector<PromptPartId>& parts = request.parts;
  const size_t paired = std::min(parts.size(), kMaxPairedParts);
  suspects.reserve(suspects.size() + parts.size() + paired * paired / 2);
  for (const PromptPartId part : parts) {
    suspects.push_back({.kind = Suspect::Kind::kPart, .first = part});
  }
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
