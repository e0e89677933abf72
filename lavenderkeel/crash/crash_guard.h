#ifndef LAVENDERKEEL_CRASH_CRASH_GUARD_H_
#define LAVENDERKEEL_CRASH_CRASH_GUARD_H_

#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/crash/crash_ledger.h"
#include "lavenderkeel/crash/crash_report.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// Whether a request may be sent to a server now.
struct CrashDecision {
  enum class Kind {
    kRun,
    /// Wait until a run with the same suspect has a result, this entry's trial
    /// interval begins, or the entry has received the reports of another.
    kWait,
    kRefuse,
  };

  Kind kind = Kind::kRun;
  /// Of the suspect that decided; the gravest if the request may run.
  CrashAssessment assessment;
  /// When the caller may retry a refused request.
  Duration retry_after{};

  friend bool operator==(const CrashDecision&, const CrashDecision&) = default;
};

/// Keeps poison requests from reaching more servers.
///
/// A request that crashes each server that starts to run it, or a part of its
/// prompt that does so in any request, crashes one server after another, and
/// all requests that run there fail. A single loss doesn't distinguish the
/// cause from what else ran at the same server, but the losses and answers
/// counted over all entries do, see CrashLedger. What is harmless is cleared by
/// its next answer. Until then a doubtful request runs at no server together
/// with another suspected one, so that none is lost a second time because of
/// another, and one request at a time runs with a doubtful suspect.
class CrashGuard {
 public:
  struct Options {
    CrashLedger::Options ledger;
    /// Time between the runs with the same suspect at different entries: the
    /// result of one run is known everywhere before the next.
    Duration trial_interval = std::chrono::seconds(1);
    /// Entries with a higher rank share the last interval.
    size_t max_rank = 8;
    /// How long an entry that has just started waits for the reports of
    /// another, and for those in the store.
    Duration join_timeout = std::chrono::milliseconds(500);
    /// How often other entries are reminded of a blocked suspect.
    Duration remind_period = std::chrono::minutes(2);
    /// Retry-After of a request that waits for another with the same suspect.
    Duration retry_after = std::chrono::seconds(1);
    /// How long an answer that ended with its connection may be confirmed.
    Duration confirm_timeout = std::chrono::seconds(10);
    /// If the server is found lost within this time after such an answer, the
    /// answer counts as lost with it.
    Duration lost_with_answer_time = std::chrono::seconds(1);
  };

  /// The number of entries that may try a suspect before this one.
  using Rank = std::function<size_t(uint64_t suspect_hash)>;
  /// Whether another request of this entry that has the suspect is at a server
  /// or queued for one.
  using OtherRuns = std::function<bool(const Suspect&)>;

  CrashGuard(
      const Options& options,
      const Clock& clock,
      const EventLog& log,
      Metrics& metrics,
      Rank rank = [](uint64_t) { return size_t{0}; });

  /// What an entry that has just started waits for.
  struct JoinSources {
    bool peers = true;
    bool store = false;
  };
  /// Holds back all requests until these have sent their reports or
  /// join_timeout has passed.
  void Join(const JoinSources& sources);
  void Join() { Join({}); }

  CrashDecision Decide(const RequestTraits& request,
                       const OtherRuns& other_runs);
  /// Handles that the request was sent to a server, as decided.
  /// @return whether this is a trial run, whose end is to be reported
  bool OnSent(const RequestTraits& request);
  /// Handles that a trial run ended, with or without a result.
  void OnTrialEnded(const RequestTraits& request);
  /// Returns the gravest suspicion against the request.
  CrashSuspicion SuspicionOf(const RequestTraits& request) const {
    return ledger_.Assess(request).suspicion;
  }
  /// Handles that the request arrived at this entry.
  void OnRequestArrived(const RequestTraits& request);

  /// A request at a server.
  struct Run {
    RequestTraits request;
    /// Hash of the server's incarnation.
    uint64_t server = 0;
    /// Hash of the server's address; zero if it is not known.
    uint64_t place = 0;
    TimePoint sent;
  };
  /// Handles the loss of the server that had the request.
  void OnServerLost(const Run& run);
  /// Handles that a server answered a request that was sent to it at `sent`.
  void OnServerAnswered(uint64_t server, TimePoint sent);
  /// Handles that a server accepted no connection: a later answer comes from
  /// its restarted successor.
  void OnServerUnreachable(uint64_t server);
  /// Handles that a server ran the request to its end.
  void OnServerSurvived(const Run& run);
  /// Handles that the answer to the request ended with its connection. Whether
  /// the server survived shows when it answers a later request or is found
  /// lost.
  void OnConnectionEnded(const Run& run);

  /// What is known of the sender of reports.
  struct Sender {
    /// Whether new reports are forwarded to other entries.
    bool pass_on = false;
    /// Whether it started well before this entry, so that it has what the store
    /// has.
    bool is_older = false;
  };
  /// Adds the reports of another entry.
  void OnReports(const CrashNews& message, const Sender& sender);
  /// Adds the reports that the store has.
  void OnStoredReports(const std::vector<CrashReport>& reports);
  /// Returns the reports for other entries since the last call.
  std::vector<CrashReport> TakeNewReports();
  std::vector<CrashReport> All() const { return ledger_.All(); }
  const CrashLedger& ledger() const { return ledger_; }
  void Tick();

 private:
  struct PendingTrial {
    /// When the trial first became possible, or became possible again after an
    /// unused interval.
    TimePoint since;
    /// The CrashAssessment::next_run that the trial waits for.
    TimePoint next_run;
  };
  struct UnconfirmedAnswer {
    Run run;
    TimePoint ended;
  };
  template <typename Value>
  using BySuspect = std::unordered_map<Suspect, Value, SuspectHash>;

  bool IsJoining() const;
  /// Returns whether so many servers were lost with the suspect that the
  /// entries run it one after the other.
  bool RunsSequentially(const CrashAssessment& assessment) const {
    return assessment.lost >= options_.ledger.blocked_at_losses;
  }
  /// Returns when this entry may run the suspect, unless another entry runs it
  /// before.
  TimePoint TrialTime(const CrashAssessment& assessment);
  bool AddReport(const CrashReport& report, std::string_view from);
  void AddLocalReport(const CrashReport& report);
  void AddLoss(const Run& run, TimePoint ended);
  /// Counts the server's last answers as lost with it.
  void LoseUnconfirmedAnswers(uint64_t server);
  /// Removes and returns the server's unconfirmed answers that ended no later
  /// than this.
  std::vector<UnconfirmedAnswer> TakeUnconfirmedAnswers(uint64_t server,
                                                        TimePoint latest_end);
  /// Writes a line for each suspect of the request that became or no longer is
  /// doubtful or blocked.
  void LogChanges(const RequestTraits& request);

  Options options_;
  const Clock& clock_;
  const EventLog& log_;
  Metrics& metrics_;
  Rank rank_;
  CrashLedger ledger_;
  std::vector<CrashReport> outgoing_;
  /// Servers with a counted loss that have accepted no connection since.
  std::set<uint64_t> unreachable_servers_;
  /// When other entries were last reminded of the suspect.
  BySuspect<TimePoint> last_reminders_;
  TimePoint next_forget_;
  std::optional<TimePoint> joining_since_;
  JoinSources awaited_;
  /// Suspects that this entry would run if its trial interval had begun.
  BySuspect<PendingTrial> pending_trials_;
  /// The suspicions that were logged last; clear ones are left out.
  BySuspect<CrashSuspicion> logged_;
  /// By server, the oldest first. All overlapped the oldest one, which bounds
  /// their number: any answer to a later request would have confirmed it.
  std::unordered_map<uint64_t, std::vector<UnconfirmedAnswer>>
      unconfirmed_answers_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_GUARD_H_
