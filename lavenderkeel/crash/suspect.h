#ifndef LAVENDERKEEL_CRASH_SUSPECT_H_
#define LAVENDERKEEL_CRASH_SUSPECT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lavenderkeel {

/// A possible cause of the loss of a server.
struct Suspect {
  enum class Kind : uint8_t {
    /// Equal requests; `first` is their fingerprint.
    kRequest = 0,
    /// A part of a prompt, whatever else the request holds.
    kPart = 1,
    /// Two parts of a prompt together, in ascending order.
    kPartPair = 2,
    /// The place of the server, which crashes it whatever it runs; `first` is
    /// the hash of its address.
    kPlace = 3,
  };

  Kind kind = Kind::kRequest;
  uint64_t first = 0;
  uint64_t second = 0;

  friend auto operator<=>(const Suspect&, const Suspect&) = default;
};

struct SuspectHash {
  size_t operator()(const Suspect& suspect) const;
};

/// Returns the name of the kind, as in logs and metrics.
const char* SuspectKindName(Suspect::Kind kind);
/// Returns the kind and the ids, as "part:5c1e07a2".
std::string SuspectName(const Suspect& suspect);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_SUSPECT_H_
