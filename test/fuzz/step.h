#ifndef LAVENDERKEEL_TEST_FUZZ_STEP_H_
#define LAVENDERKEEL_TEST_FUZZ_STEP_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace lavenderkeel::fuzz {

/// One step: what is done, to whom, and how long the system then runs.
struct Step {
  enum Kind : uint8_t {
    kSubmit,
    kSubmitAgain,
    kRetry,
    kRead,
    kDelete,
    kKill,
    kKillSilently,
    kRestart,
    kFreeze,
    kLeave,
    kSilence,
    kPartition,
    kHeal,
    kPlatformOutage,
    kPlatformLoses,
    kPlatformSlow,
    kApply,
    kPreset,
    kBreakStreams,
    kSilenceStreams,
    kSlowEngine,
    kBurst,
    kCrash,
    kWait,
    kCrashEngine,
    /// Those up to here are drawn by AnyStep.
    kKinds,
    kSubmitEverywhere = kKinds,
    kAllKinds,
  };
  uint8_t kind = 0;
  uint8_t a = 0;
  uint8_t b = 0;
  uint16_t wait_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step);

/// Reads steps as they are printed: "submit(0,1,8), kill(8,0,0)".
std::vector<Step> ReadSteps(const std::string& text);

/// Plays the steps in a world of that seed, then ends all faults.
///
/// With FUZZ_LOG set, what the components log goes to standard error; with
/// FUZZ_VERBOSE, a summary of what callers were told.
/// @return the first promise that was broken; empty if all hold
std::string Play(uint64_t seed, const std::vector<Step>& steps);

}  // namespace lavenderkeel::fuzz

#endif  // LAVENDERKEEL_TEST_FUZZ_STEP_H_
