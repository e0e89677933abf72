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
    /// Wait until the run of an equal request has a result, this entry's trial
    /// interval begins, or the entry has received the evidence of others.
    kWait,
    kRefuse,
  };

  Kind kind = Kind::kRun;
  CrashAssessment assessment;
  /// When the caller may retry a refused request.
  Duration retry_after{};

  friend bool operator==(const CrashDecision&, const CrashDecision&) = default;
};

/// Keeps poison requests from reaching more servers.
///
/// A request that crashes each server that starts to run it, and is sent again,
/// takes down one server after another with everything that runs there. A
/// single sending doesn't tell it from the requests that run beside it, but the
/// losses under equal requests at all entries do. Harmless requests are cleared
/// by their next answer; until then they run apart from each other, so that
/// none is lost twice because of another.
class CrashGuard {
 public:
  struct Options {
    CrashLedger::Options ledger;
    /// Time between the runs of the same request at different entries: the
    /// result of one run is known everywhere before the next.
    Duration trial_interval = std::chrono::seconds(1);
    /// Entries with a higher rank share the last interval.
    size_t max_rank = 8;
    /// How long an entry that has just started waits for the evidence of
    /// another.
    Duration join_timeout = std::chrono::milliseconds(500);
    /// How often other entries are reminded of a blocked request.
    Duration remind_period = std::chrono::minutes(2);
    /// Retry-After of a request that waits for an equal one.
    Duration retry_after = std::chrono::seconds(1);
  };

  /// The number of entries that may try the request before this one.
  using Rank = std::function<size_t(RequestFingerprint)>;

  CrashGuard(
      const Options& options,
      const Clock& clock,
      const EventLog& log,
      Metrics& metrics,
      Rank rank = [](RequestFingerprint) { return size_t{0}; });

  /// Runs no request until another entry has sent its evidence or join_timeout
  /// has passed.
  void Join();
  /// @param equal_runs whether an equal request of this entry is at a server or
  ///     queued for one; called only if it matters
  CrashDecision Decide(RequestFingerprint request,
                       const std::function<bool()>& equal_runs);
  /// The request was sent to a server, as decided.
  void OnSent(RequestFingerprint request);
  /// The suspicion against the request.
  CrashSuspicion SuspicionOf(RequestFingerprint request) const {
    return ledger_.Assess(request).suspicion;
  }
  /// The request arrived at this entry.
  void OnRequestArrived(RequestFingerprint request);

  /// The server was lost while it had the request.
  void OnServerLost(RequestFingerprint request,
                    uint64_t server,
                    TimePoint sent);
  /// The server answered a request that was sent to it at `sent`.
  void OnServerAnswered(uint64_t server, TimePoint sent);
  /// The server accepted no connection: a later answer comes from its restarted
  /// successor.
  void OnServerUnreachable(uint64_t server);
  /// A server ran the request to its end.
  void OnServerSurvived(RequestFingerprint request);

  /// Takes evidence from another entry.
  /// @param pass_on whether new evidence is forwarded to other entries
  void OnReports(const CrashNews& news, bool pass_on);
  /// The reports for other entries since the last call.
  std::vector<CrashReport> TakeNewReports();
  std::vector<CrashReport> All() const { return ledger_.All(); }
  void Tick();

 private:
  struct PendingTrial {
    /// When the trial first became possible, or became possible again after an
    /// unused interval.
    TimePoint since;
    /// The CrashAssessment::next_run that the trial waits for.
    TimePoint next_run;
  };

  bool IsJoining() const;
  /// Whether several servers were lost under the request, so that entries run
  /// it one after the other.
  bool RunsSequentially(const CrashAssessment& assessment) const {
    return assessment.lost >= options_.ledger.blocked_at_losses;
  }
  /// When this entry may run the request, unless another entry runs it before.
  TimePoint TrialTime(RequestFingerprint request,
                      const CrashAssessment& assessment);
  bool AddReport(const CrashReport& report, std::string_view from);
  void AddLocalReport(const CrashReport& report);

  Options options_;
  const Clock& clock_;
  const EventLog& log_;
  Metrics& metrics_;
  Rank rank_;
  CrashLedger ledger_;
  std::vector<CrashReport> outgoing_;
  /// Servers with a counted loss that have accepted no connection since.
  std::set<uint64_t> unreachable_servers_;
  /// When other entries were last reminded of the request.
  std::unordered_map<RequestFingerprint, TimePoint> last_reminders_;
  TimePoint next_forget_;
  std::optional<TimePoint> joining_since_;
  /// Requests that this entry would run if its trial interval had begun.
  std::unordered_map<RequestFingerprint, PendingTrial> pending_trials_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_GUARD_H_
