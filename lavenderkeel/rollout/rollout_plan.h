#ifndef LAVENDERKEEL_ROLLOUT_ROLLOUT_PLAN_H_
#define LAVENDERKEEL_ROLLOUT_ROLLOUT_PLAN_H_

#include <cstdint>
#include <string>

namespace lavenderkeel {

/// The phases of a rollout, in their order.
enum class RolloutPhase : uint8_t {
  /// A small fraction of the requests tests the new version.
  kCanary = 0,
  /// A larger fraction tests it under load.
  kRamp = 1,
  /// All requests go to the new version; runs at the baseline are left to end.
  kShift = 2,
  kCompleted = 3,
  kRolledBack = 4,
};

constexpr bool IsTerminal(RolloutPhase phase) {
  return phase >= RolloutPhase::kCompleted;
}

/// How entries route the requests of one service.
struct RolloutPlan {
  /// KeyOf() the order that the plan carries out.
  uint64_t order = 0;
  std::string service;
  std::string to;
  std::string from;
  RolloutPhase phase = RolloutPhase::kCanary;
  /// Fraction of the requests that may go to the new version before the shift.
  double share = 0;

  friend bool operator==(const RolloutPlan&, const RolloutPlan&) = default;
};

/// The platform's limits on requests that reach a bad version.
struct ExposureBounds {
  /// Whether the platform uses rollouts at all.
  bool enabled = false;
  /// Fraction of a service's requests that may reach a bad version, and a
  /// number of requests on top; over all entries, from the order to its time
  /// limit.
  double share = 0.1;
  double slack = 50;

  friend bool operator==(const ExposureBounds&,
                         const ExposureBounds&) = default;
};

constexpr const char* RolloutPhaseName(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kCanary:
      return "canary";
    case RolloutPhase::kRamp:
      return "ramp";
    case RolloutPhase::kShift:
      return "shift";
    case RolloutPhase::kCompleted:
      return "completed";
    case RolloutPhase::kRolledBack:
      return "rolled_back";
  }
  return "canary";
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ROLLOUT_ROLLOUT_PLAN_H_
