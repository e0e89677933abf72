#ifndef LAVENDERKEEL_CRASH_CRASH_LEDGER_H_
#define LAVENDERKEEL_CRASH_CRASH_LEDGER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/answered_suspects.h"
#include "lavenderkeel/crash/crash_report.h"
#include "lavenderkeel/crash/crash_suspicion.h"
#include "lavenderkeel/crash/loss_rate.h"
#include "lavenderkeel/crash/request_traits.h"
#include "lavenderkeel/crash/suspect.h"

namespace lavenderkeel {

/// The counted losses of a suspect and the suspicion that follows from them.
struct CrashAssessment {
  CrashSuspicion suspicion = CrashSuspicion::kClear;
  Suspect suspect;
  /// Servers lost with the suspect since a server last answered a request that
  /// has it, without those that a culprit explains.
  size_t lost = 0;
  /// Sequential losses: those whose run began after the previous such loss.
  size_t in_turn = 0;
  /// The probability of the sequential losses, given how often runs without the
  /// suspect are lost.
  double chance = 1;
  /// Requests with the suspect that are known to have been answered before the
  /// losses.
  size_t answers = 0;
  /// Whether there is a suspect that the assessed request does not have and
  /// that may as well be the cause. Then a run of the request tells which of
  /// the two it is, and a suspect that would be blocked is only doubtful.
  bool has_alternative = false;
  /// When a single run may test the suspect again; meaningful for kDoubtful
  /// and kBlocked only.
  TimePoint next_run;

  friend bool operator==(const CrashAssessment&,
                         const CrashAssessment&) = default;
};

/// The record of lost servers, and of what may have crashed them.
///
/// Each loss is held against all suspects that the server had: the requests
/// that it ran, the parts of their prompts, the pairs of these, and its place.
/// The evidence tells them apart:
///  - Losses count only until a server answers a request that has the suspect.
///    A culprit is never answered; what is sound is cleared by its next answer.
///    A part that was answered before its losses is forgiven one, and several
///    at the same moment say nothing about it.
///  - Runs that overlap in time count once, since one cause may have ended all
///    their servers at that moment.
///  - The more runs without the suspect are lost, and the longer those with it
///    took until they were, the more losses are needed to take it for the
///    cause.
///  - The suspects with the most losses, if there are enough, are the culprits.
///    They explain the losses that they were part of, which no longer count
///    against the other suspects.
///  - A loss is removed if the server answers a request that was sent to it
///    afterwards: then only connections had broken.
///
/// Entries that share their reports come to the same assessment.
class CrashLedger {
 public:
  struct Options {
    /// Sequential losses at which a suspect is blocked, at least.
    size_t blocked_at_losses = 3;
    /// Losses that are forgiven at most to a suspect that was answered before.
    size_t max_forgiven = 5;
    /// A suspect is blocked only if its losses have less than this probability
    /// without it.
    double max_chance = 0.0001;
    /// Losses of at least this probability may have another cause than the rest
    /// of a suspect's losses.
    double min_plausible_chance = 0.001;
    /// A blocked suspect may run once more this long after the last loss: the
    /// cause may be gone, or the servers may have ended for another reason.
    Duration retest_delay = std::chrono::seconds(60);
    /// The delay grows by this factor with each retest that fails.
    int retest_backoff = 10;
    Duration max_retest_delay = std::chrono::minutes(100);
    /// How long the result of a trial run is awaited before another may begin.
    Duration trial_timeout = std::chrono::seconds(8);
    /// A suspect of which no request has arrived for this long is forgotten.
    Duration forget_after = std::chrono::minutes(10);
    /// Above this many suspects the one that arrived longest ago is evicted.
    size_t max_suspects = size_t{4} * kMaxSuspectParts;
    /// The number of losses kept per suspect.
    size_t max_losses = 16;
  };

  CrashLedger() = default;
  explicit CrashLedger(const Options& options) : options_(options) {}

  /// Adds a report of this entry or another.
  /// @return whether the report changed the ledger
  bool AddReport(const CrashReport& report, TimePoint now);
  /// Records that a run of this entry was answered. Other entries do not learn
  /// of it, unless it clears a suspect.
  void RememberAnswer(const RequestTraits& request,
                      Duration run,
                      TimePoint now) {
    answered_.Add(request, now);
    loss_rate_.OnAnswered(run, now);
  }
  /// Records that a run of this entry was lost with its server.
  void RememberLoss(uint64_t server, Duration run, TimePoint now) {
    loss_rate_.OnLost(server, run, now);
  }
  /// Returns all that is needed to come to the same assessments, for an entry
  /// that has just started.
  std::vector<CrashReport> All() const;

  /// Returns the assessments of the request's suspects that are not clear, the
  /// gravest first.
  std::vector<CrashAssessment> AssessAll(const RequestTraits& request) const;
  /// Returns the gravest assessment of a suspect of the request.
  CrashAssessment Assess(const RequestTraits& request) const;
  /// Returns the suspects that are taken for the cause of losses.
  std::vector<Suspect> Culprits() const;
  /// Returns these and the doubtful suspects.
  std::vector<Suspect> DoubtfulSuspects() const;
  /// Returns the doubtful parts of prompts that were lost with different
  /// requests.
  std::vector<Suspect> SharedDoubtfulParts() const;
  /// Returns a number that changes with the losses and answers.
  uint64_t generation() const { return generation_; }
  /// Returns the runs with the suspect whose losses no other culprit explains.
  std::vector<CrashReport> LossesOf(const Suspect& suspect) const;
  /// Returns whether the loss counts against a suspect that has others, too.
  bool IsEvidence(const CrashReport& loss) const;
  /// Returns when a request with the suspect was last answered after a loss.
  std::optional<TimePoint> LastSurvival(const Suspect& suspect) const;
  /// Returns whether a suspect of the request has losses or survived some.
  bool IsKnown(const RequestTraits& request) const;
  bool IsKnown(const Suspect& suspect) const {
    return suspects_.contains(suspect);
  }
  /// Returns whether a loss of this server's incarnation is counted.
  bool HasLossOf(uint64_t server) const {
    return lost_servers_.contains(server);
  }
  void ForgetExpired(TimePoint now);
  /// Returns the number of suspects.
  size_t size() const { return suspects_.size(); }

 private:
  struct Loss {
    uint64_t server = 0;
    /// The begin of the first lost run that had the suspect.
    TimePoint sent;
    TimePoint ended;
  };
  struct Record {
    /// Sorted by the time of the loss.
    std::vector<Loss> losses;
    /// The end of the last run that a server survived.
    std::optional<TimePoint> last_survival;
    /// When the last trial run began that has no result yet.
    std::optional<TimePoint> last_trial;
    TimePoint last_arrival;
    /// Number of answers that are known to precede the losses.
    size_t answers = 0;
  };
  /// A run that ended with its server.
  struct LostRun {
    RequestTraits request;
    uint64_t place = 0;
    TimePoint sent;
    TimePoint ended;
  };
  struct LostServer {
    std::vector<LostRun> runs;
    /// Losses of suspects that are counted because of this server.
    size_t counted = 0;
  };
  struct Count {
    size_t lost = 0;
    size_t in_turn = 0;
    double chance = 1;
  };
  using Suspects = std::unordered_map<Suspect, Record, SuspectHash>;

  bool AddLoss(const CrashReport& report, TimePoint now);
  bool AddLossTo(const Suspect& suspect, const Loss& loss, TimePoint now);
  bool AddSurvival(const CrashReport& report);
  bool AddServerAlive(const CrashReport& report);
  bool AddTrial(const CrashReport& report);
  bool EndTrial(const CrashReport& report);
  bool AddArrival(const CrashReport& report);
  /// Returns the indices of the sequential losses: the largest set of losses
  /// whose runs don't overlap.
  static std::vector<size_t> SequentialLosses(const std::vector<Loss>& losses);
  /// Returns how long the runs of the sequential losses took.
  static std::vector<Duration> SequentialRuns(const std::vector<Loss>& losses);
  /// Removes the losses for which the predicate holds; returns whether there
  /// were any.
  template <typename Predicate>
  bool RemoveLosses(const Suspect& suspect,
                    Record& record,
                    Predicate predicate);
  void UncountLoss(uint64_t server);
  void Erase(Suspects::iterator suspect);
  void EvictExcess();
  /// Finds the culprits anew.
  void FindCulprits();
  /// Returns the losses that no culprit explains, other than the suspect.
  std::vector<Loss> UnexplainedLosses(const Suspect& suspect,
                                      const Record& record) const;
  /// Counts these losses of the suspect.
  Count CountOf(const Record& record, const std::vector<Loss>& losses) const;
  /// Returns the probability that runs which were lost after these times, one
  /// after the other, were lost by another cause than the suspect.
  double ChanceOf(const Record& record,
                  const std::vector<Duration>& runs,
                  TimePoint since) const;
  CrashSuspicion SuspicionOf(const Count& count) const;
  /// Returns whether different requests with the suspect were lost.
  bool IsShared(const Suspect& suspect, const Record& record) const;
  /// Returns whether some suspect that the request does not have is as strongly
  /// suspected as the one with these losses, and explains them but for some
  /// that may have another cause.
  bool HasAlternative(const std::vector<Loss>& losses,
                      const Count& count,
                      const RequestTraits& request) const;
  /// Returns the suspects other than those of the request that were lost with
  /// at least half of these servers, and have at least `min_losses`.
  std::vector<Suspect> AlternativesFor(const std::vector<Loss>& losses,
                                       size_t min_losses,
                                       const RequestTraits& request) const;
  /// Returns whether a request that the server ran when it was lost, or its
  /// place, had the suspect.
  bool WasLostWith(uint64_t server, const Suspect& suspect) const;
  CrashAssessment AssessSuspect(const Suspect& suspect,
                                const Record& record,
                                const RequestTraits& request) const;
  /// Returns the delay of the next retest, by the number of those that failed.
  Duration RetestDelay(const std::vector<Loss>& losses) const;

  Options options_;
  Suspects suspects_;
  /// Those of them that have two losses or more.
  std::unordered_set<Suspect, SuspectHash> repeated_;
  std::unordered_map<uint64_t, LostServer> lost_servers_;
  /// The latest time at which a server was found alive after a loss, so that a
  /// late report of that loss is ignored.
  std::map<uint64_t, TimePoint> alive_until_;
  uint64_t generation_ = 0;
  AnsweredSuspects answered_;
  LossRate loss_rate_;
  /// The culprits by their order: those with more losses come first, equals
  /// together.
  std::unordered_map<Suspect, size_t, SuspectHash> culprits_;
  /// The order of the first culprits that explain the loss, by server.
  std::unordered_map<uint64_t, size_t> explained_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_LEDGER_H_
