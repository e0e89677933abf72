#ifndef LAVENDERKEEL_TEST_FORWARD_GATE_HARNESS_H_
#define LAVENDERKEEL_TEST_FORWARD_GATE_HARNESS_H_

#include <map>
#include <string>

#include "lavenderkeel/forward/slot_gate.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

/// A gate under a virtual clock, with its grants noted.
struct GateHarness {
  /// "none" for a wish that has not been granted.
  std::string ServerOf(AttemptId attempt) const {
    const auto found = granted.find(attempt);
    return found == granted.end() ? "none" : found->second;
  }

  fuzz::VirtualClock clock;
  ServerDirectory directory;
  std::map<AttemptId, std::string> granted;
  SlotGate gate{{},
                directory,
                clock,
                [this](const std::string&, const SlotGrant& grant) {
                  granted[grant.attempt] = grant.server;
                }};
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_FORWARD_GATE_HARNESS_H_
