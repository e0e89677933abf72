#ifndef LAVENDERKEEL_CRASH_REQUEST_TRAITS_H_
#define LAVENDERKEEL_CRASH_REQUEST_TRAITS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "lavenderkeel/base/prompt_part.h"
#include "lavenderkeel/crash/request_fingerprint.h"
#include "lavenderkeel/crash/suspect.h"

namespace lavenderkeel {

/// What a request may have in common with others that crash servers.
struct RequestTraits {
  /// Zero: unknown.
  RequestFingerprint fingerprint = 0;
  /// Without repetitions; see MakeTraits().
  std::vector<PromptPartId> parts;

  friend bool operator==(const RequestTraits&, const RequestTraits&) = default;
};

/// The number of distinct parts of a request that are examined, at least four
/// times what the head of a request holds by default. It bounds the cost of a
/// prompt whose parts are the paragraphs of a body.
constexpr size_t kMaxSuspectParts = 16384;

/// Returns the traits of a request, with the distinct parts of its prompt up to
/// that number.
RequestTraits MakeTraits(RequestFingerprint fingerprint,
                         const std::vector<PromptPartId>& parts);
/// Returns all suspects that the request has: itself, each part, and each pair
/// among the first eight parts.
std::vector<Suspect> SuspectsOf(const RequestTraits& request);
/// Returns the least traits that have the suspect; empty for a place.
RequestTraits TraitsOf(const Suspect& suspect);
/// Returns whether SuspectsOf() contains the suspect.
bool HasSuspect(const RequestTraits& request, const Suspect& suspect);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_REQUEST_TRAITS_H_
