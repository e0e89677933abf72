#include "test/soak/plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace lavenderkeel::soak {

namespace {

constexpr std::array<const char*, kFaultKinds> kFaultNames = {
    "kill entry",         "stop entry",          "pause entry",
    "kill all entries",   "kill server",         "pause server",
    "drain server",       "reset server links",  "silence server links",
    "delay server links", "cut server one way",  "pause store",
    "reset store links",  "silence store links", "cut store one way",
    "reset peer links",   "silence peer links",  "cut peer one way",
    "change config"};

}  // namespace

Plan MakePlan(uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto pick = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  Plan plan{.seed = seed, .entries = pick(2, 4), .servers = pick(3, 6)};
  constexpr int kFaultsEndMs = 8000;
  constexpr int kMaxFaultMs = 2500;
  const int count = pick(4, 14);
  for (int i = 0; i < count; ++i) {
    const int at = pick(300, kFaultsEndMs - kMaxFaultMs);
    plan.steps.push_back(
        {.at = std::chrono::milliseconds(at),
         .fault = static_cast<Fault>(pick(0, kFaultKinds - 1)),
         .target = pick(0, 7),
         .duration = std::chrono::milliseconds(pick(200, kMaxFaultMs))});
  }
  std::ranges::sort(plan.steps, {}, &Step::at);
  return plan;
}

std::string Describe(const Step& step) {
  return std::to_string(ToMilliseconds(step.at)) +
         " ms: " + kFaultNames.at(static_cast<size_t>(step.fault)) + " " +
         std::to_string(step.target) + " for " +
         std::to_string(ToMilliseconds(step.duration)) + " ms";
}

}  // namespace lavenderkeel::soak
