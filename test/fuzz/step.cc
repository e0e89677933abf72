#include "test/fuzz/step.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <sstream>

namespace lavenderkeel::fuzz {

namespace {

constexpr const char* kKindNames[] = {"submit",
                                      "submit-again",
                                      "retry",
                                      "read",
                                      "delete",
                                      "kill",
                                      "kill-silently",
                                      "restart",
                                      "freeze",
                                      "leave",
                                      "silence",
                                      "partition",
                                      "heal",
                                      "outage",
                                      "lose",
                                      "slow",
                                      "apply",
                                      "preset",
                                      "break-streams",
                                      "silence-streams",
                                      "slow-engine",
                                      "burst",
                                      "crash",
                                      "wait",
                                      "crash-engine",
                                      "turn-away",
                                      "list-unreadable",
                                      "garble-streams",
                                      "turn-away-falsely",
                                      "refuse-unread",
                                      "submit-everywhere"};
static_assert(std::size(kKindNames) == Step::kAllKinds);

}  // namespace

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << kKindNames[step.kind] << "(" << int{step.target} << ","
             << int{step.argument} << "," << step.wait_ms << ")";
}

std::vector<Step> ParseSteps(const std::string& text) {
  std::vector<Step> steps;
  std::istringstream words(text);
  std::string word;
  while (words >> word) {
    const size_t open = word.find('(');
    const std::string name = word.substr(0, open);
    const auto* found =
        std::find(std::begin(kKindNames), std::end(kKindNames), name);
    int target = 0;
    int argument = 0;
    int wait = 0;
    std::sscanf(word.c_str() + open, "(%d,%d,%d", &target, &argument, &wait);
    steps.push_back({.kind = static_cast<uint8_t>(found - kKindNames),
                     .target = static_cast<uint8_t>(target),
                     .argument = static_cast<uint8_t>(argument),
                     .wait_ms = static_cast<uint16_t>(wait)});
  }
  return steps;
}

}  // namespace lavenderkeel::fuzz
