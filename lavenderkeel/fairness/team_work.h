#ifndef LAVENDERKEEL_FAIRNESS_TEAM_WORK_H_
#define LAVENDERKEEL_FAIRNESS_TEAM_WORK_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace lavenderkeel {

/// Work of a slot request, and the team that it counts for.
struct TeamWork {
  /// Bounds of the weights: a team cannot take all slots, or be left without
  /// any, by the weight that some entry states.
  static constexpr double kMinWeight = 1e-3;
  static constexpr double kMaxWeight = 1e3;

  /// Hash of the team's name; all requests without a team count for zero.
  uint64_t team = 0;
  double weight = 1;
  /// Tokens at model servers, requests at plain services.
  double units = 1;

  /// Returns a usable weight for one that another entry states: that of an
  /// average team if it is no positive number, within the bounds otherwise.
  static double ValidWeight(double stated) {
    return std::isfinite(stated) && stated > 0
               ? std::clamp(stated, kMinWeight, kMaxWeight)
               : 1;
  }

  friend bool operator==(const TeamWork&, const TeamWork&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FAIRNESS_TEAM_WORK_H_
