#ifndef LAVENDERKEEL_TEST_SOAK_PLAN_H_
#define LAVENDERKEEL_TEST_SOAK_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "test/fakes/retry_history.h"

namespace lavenderkeel::soak {

/// Kind of fault that is injected into the system. "Silence" stalls the open
/// connections without an error; "cut one way" blocks one direction.
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
  /// These make a server fail a part of its requests.
  kServerRejects,
  kServerErrs,
  kServerLosesAnswers,
  /// Some answers are sent a second time, where the next one is expected.
  kServerRepeatsAnswers,
  /// Bytes without end follow the answers.
  kServerNeverEnds,
  /// Another writer lists objects with values that can't be read or used.
  kStoreListsOddObject,
  /// The server runs a part of its requests and answers as if it had not.
  kServerRefuses,
  kServerContradicts,
  /// Some receipts end at some byte, by a close or a reset.
  kCutServerAnswers,
  kCutStoreAnswers,
  kCutPeerMessages,
  /// Answers come after an interim response.
  kServerSendsInterim,
  /// A crowd of clients sends requests without end to an entry, or takes
  /// connections.
  kClientsCrowd,
  /// The server stops for a time in the middle of its answers.
  kServerPauses,
  /// A new configuration has other limits on what clients may send.
  kChangeLimits,
  kReloadEntry,
};

inline constexpr int kFaultKinds = static_cast<int>(Fault::kReloadEntry) + 1;

/// The usual bound on retries. Its window is short, so that the faults of a
/// plan spread over several.
inline constexpr fakes::RetryHistory::Bound kRetryBound = {
    .window = std::chrono::seconds(3),
    .ratio = 0.02,
    .extra = 8};

enum class Variant {
  kUsual,
  /// The system has several dozen processes.
  kLarge,
  /// A part of some prompts crashes servers; processes end beside it, but all
  /// that run reach each other.
  kCrashingPart,
  /// For a time a single server is left, which rejects requests and repeats its
  /// answers, and retries are limited little.
  kRepeatedRejections,
  /// For most of the time all servers run requests that they refuse.
  kFalseRefusals,
  /// All servers and links are sound, but servers pause and clients read
  /// slowly. Entries are stopped and started, and the configuration changes:
  /// none of it excuses the loss of a request.
  kPlannedWork,
};

/// One fault of a plan.
struct Step {
  /// Time since the start of the traffic.
  Duration at{};
  Fault fault = Fault::kKillEntry;
  /// Index of the entry or server, modulo their number.
  int target = 0;
  /// Duration of the fault, for kinds that end by themselves.
  Duration duration{};

  friend bool operator==(const Step&, const Step&) = default;
};

/// Faults of a test run, and the size of the system that they are injected
/// into.
struct Plan {
  uint64_t seed = 0;
  int entries = 3;
  int servers = 4;
  int clients = 10;
  /// Whether a part of some prompts crashes the servers that answer them.
  bool has_crashing_part = false;
  /// Whether only planned work is done, see Variant.
  bool is_planned_work = false;
  /// The bound on retries that the entries are started with.
  fakes::RetryHistory::Bound retry_bound = kRetryBound;
  /// Duration of the traffic.
  Duration traffic = std::chrono::seconds(12);
  std::vector<Step> steps;
};

/// Generates the plan of a seed, deterministically. Faults may follow each
/// other closely and overlap. The last third of the traffic has no faults, so
/// that recovery is observable.
///
Plan MakePlan(uint64_t seed, Variant variant);

std::string Describe(const Step& step);

}  // namespace lavenderkeel::soak

#endif  // LAVENDERKEEL_TEST_SOAK_PLAN_H_
