#ifndef LAVENDERKEEL_TEST_FUZZ_STEP_H_
#define LAVENDERKEEL_TEST_FUZZ_STEP_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace lavenderkeel::fuzz {

/// Step of a fuzzing sequence: an action, followed by a run of the simulation
/// for `wait_ms`.
struct Step {
  enum Kind : uint8_t {
    kSubmit,
    kSubmitAgain,
    kRetry,
    kRead,
    kDelete,
    kKill,
    /// Ends a process; its peers get no notice.
    kKillSilently,
    kRestart,
    kFreeze,
    kLeave,
    /// Stalls the open links between two processes.
    kSilence,
    kPartition,
    kHeal,
    kPlatformOutage,
    kPlatformLosesAnswers,
    kPlatformSlow,
    kApply,
    kPreset,
    kBreakStreams,
    /// Stalls the streams of an engine; its agent gets no notice.
    kSilenceStreams,
    kSlowEngine,
    kBurst,
    /// Ends and restarts a process at once.
    kCrash,
    kWait,
    kCrashEngine,
    /// An engine turns requests away with Retry-After, which states the time
    /// left or zero.
    kTurnAway,
    /// Another writer lists an instance that can't be read.
    kListUnreadable,
    /// For a while the events of an engine's streams can't be read.
    kGarbleStreams,
    /// An engine answers like one that turns requests away, but runs them.
    kTurnAwayFalsely,
    /// The body of a request finds no memory at an entry, or its client stops
    /// before the end.
    kRefuseUnread,
    /// Number of kinds that AnyStep generates.
    kGeneratedKinds,
    /// Submits one key to all entries at once.
    kSubmitEverywhere = kGeneratedKinds,
    kAllKinds,
  };
  uint8_t kind = 0;
  /// Index of the process, entry or agent, modulo their number.
  uint8_t target = 0;
  /// Depends on the kind: the second process, the earlier request or a
  /// parameter.
  uint8_t argument = 0;
  uint16_t wait_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step);

/// Parses steps in the format of operator<<: "submit(0,1,8), kill(8,0,0)".
std::vector<Step> ParseSteps(const std::string& text);

/// Runs the steps in a simulation with that seed, then ends all faults and
/// checks recovery.
///
/// With FUZZ_LOG set, the log of all components goes to standard error; with
/// FUZZ_VERBOSE, the number of outcomes per result code does.
///
/// @return the first violated guarantee; empty if all hold
std::string RunSteps(uint64_t seed, const std::vector<Step>& steps);

}  // namespace lavenderkeel::fuzz

#endif  // LAVENDERKEEL_TEST_FUZZ_STEP_H_
