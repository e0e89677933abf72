#include "lavenderkeel/membership/coordinators.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

std::set<std::string> ChooseCoordinators(const std::vector<InstanceInfo>& all,
                                         const CoordinatorRules& rules) {
  double largest_share = 0;
  for (const InstanceInfo& info : all) {
    largest_share = std::max(largest_share, info.processor_share);
  }
  const double min_share = largest_share * rules.min_share_fraction;
  struct Ranked {
    bool strong = false;
    uint64_t weight = 0;
    const std::string* name = nullptr;
  };
  const uint64_t key = HashBytes("coordinators");
  std::vector<Ranked> ranked;
  size_t strong_count = 0;
  for (const InstanceInfo& info : all) {
    const bool is_strong = info.processor_share >= min_share;
    strong_count += is_strong ? 1 : 0;
    ranked.push_back({.strong = is_strong,
                      .weight = RendezvousWeight(key, info.id.instance),
                      .name = &info.id.instance});
  }
  std::ranges::sort(ranked, [](const Ranked& a, const Ranked& b) {
    return std::tie(a.strong, a.weight, *a.name) >
           std::tie(b.strong, b.weight, *b.name);
  });
  const auto root_of_count = static_cast<size_t>(
      std::ceil(std::sqrt(static_cast<double>(all.size()))));
  const size_t max_count =
      std::clamp(root_of_count + rules.max_beyond_root, rules.min,
                 std::max(rules.min, rules.max));
  const size_t count = std::clamp(strong_count, rules.min, max_count);
  ranked.resize(std::min(ranked.size(), count));
  std::set<std::string> chosen;
  for (const Ranked& entry : ranked) {
    chosen.insert(*entry.name);
  }
  return chosen;
}

}  // namespace lavenderkeel
