#ifndef LAVENDERKEEL_TEST_SOAK_PLAN_H_
#define LAVENDERKEEL_TEST_SOAK_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel::soak {

/// What is done to the system from outside.
enum class Fault {
  kKillEntry,
  kStopEntry,
  kPauseEntry,
  kKillAllEntries,
  kKillServer,
  kPauseServer,
  kDrainServer,
  kResetServerLinks,
  kSilenceServerLinks,
  kDelayServerLinks,
  kCutServerOneWay,
  kPauseStore,
  kResetStoreLinks,
  kSilenceStoreLinks,
  kCutStoreOneWay,
  kResetPeerLinks,
  kSilencePeerLinks,
  kCutPeerOneWay,
  kChangeConfig,
};

inline constexpr int kFaultKinds = static_cast<int>(Fault::kChangeConfig) + 1;

/// One fault of a plan. Times are from the start of traffic.
struct Step {
  Duration at{};
  Fault fault = Fault::kKillEntry;
  /// Which entry or server, modulo their number.
  int target = 0;
  /// How long it lasts, where it has an end.
  Duration lasts{};

  friend bool operator==(const Step&, const Step&) = default;
};

struct Plan {
  uint64_t seed = 0;
  int entries = 3;
  int servers = 4;
  Duration traffic = std::chrono::seconds(12);
  std::vector<Step> steps;
};

/// The plan of a seed: always the same one. Faults come in series and overlap;
/// the last third of the traffic is left calm, so that recovery can be seen.
Plan MakePlan(uint64_t seed);

std::string Describe(const Step& step);

}  // namespace lavenderkeel::soak

#endif  // LAVENDERKEEL_TEST_SOAK_PLAN_H_
