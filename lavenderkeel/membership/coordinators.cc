#include "lavenderkeel/membership/coordinators.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

std::set<std::string> ChooseCoordinators(const std::vector<InstanceInfo>& all,
                                         const CoordinatorRules& rules) {
  double largest = 0;
  for (const InstanceInfo& info : all) {
    largest = std::max(largest, info.processor_share);
  }
  const double least = largest * rules.least_part_of_share;
  struct Ranked {
    bool strong = false;
    uint64_t weight = 0;
    const std::string* name = nullptr;
  };
  const uint64_t key = HashBytes("coordinators");
  std::vector<Ranked> ranked;
  size_t strong = 0;
  for (const InstanceInfo& info : all) {
    const bool is_strong = info.processor_share >= least;
    strong += is_strong ? 1 : 0;
    ranked.push_back({.strong = is_strong,
                      .weight = RendezvousWeight(key, info.id.instance),
                      .name = &info.id.instance});
  }
  std::ranges::sort(ranked, [](const Ranked& a, const Ranked& b) {
    return std::tie(a.strong, a.weight, *a.name) >
           std::tie(b.strong, b.weight, *b.name);
  });
  const auto root = static_cast<size_t>(
      std::ceil(std::sqrt(static_cast<double>(all.size()))));
  const size_t most = std::clamp(root + rules.beyond_root, rules.fewest,
                                 std::max(rules.fewest, rules.most));
  const size_t wanted = std::clamp(strong, rules.fewest, most);
  ranked.resize(std::min(ranked.size(), wanted));
  std::set<std::string> chosen;
  for (const Ranked& entry : ranked) {
    chosen.insert(*entry.name);
  }
  return chosen;
}

}  // namespace lavenderkeel
