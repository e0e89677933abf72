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
    /// interval begins, or the entry has received the reports of another.
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
/// crashes one server after another, and all requests that run there fail. A
/// single loss doesn't distinguish it from the requests that ran at the same
/// server, but the losses of equal requests, counted over all entries, do. A
/// harmless request is cleared by its next answer. Until then a doubtful
/// request runs at no server together with another suspected one, so that none
/// is lost a second time because of another.
class CrashGuard {
 public:
  struct Options {
    CrashLedger::Options ledger;
    /// Time between the runs of the same request at different entries: the
    /// result of one run is known everywhere before the next.
    Duration trial_interval = std::chrono::seconds(1);
    /// Entries with a higher rank share the last interval.
    size_t max_rank = 8;
    /// How long an entry that has just started waits for the reports of
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

  /// Holds back all requests until another entry has sent its reports or
  /// join_timeout has passed.
  void Join();
  /// @param equal_runs whether an equal request of this entry is at a server or
  ///     queued for one; called only if it matters
  CrashDecision Decide(RequestFingerprint request,
                       const std::function<bool()>& equal_runs);
  /// Handles that the request was sent to a server, as decided.
  void OnSent(RequestFingerprint request);
  /// Returns the suspicion against the request.
  CrashSuspicion SuspicionOf(RequestFingerprint request) const {
    return ledger_.Assess(request).suspicion;
  }
  /// Handles that the request arrived at this entry.
  void OnRequestArrived(RequestFingerprint request);

  /// Handles the loss of a server that had the request.
  void OnServerLost(RequestFingerprint request,
                    uint64_t server,
                    TimePoint sent);
  /// Handles that a server answered a request that was sent to it at `sent`.
  void OnServerAnswered(uint64_t server, TimePoint sent);
  /// Handles that a server accepted no connection: a later answer comes from
  /// its restarted successor.
  void OnServerUnreachable(uint64_t server);
  /// Handles that a server ran the request to its end.
  void OnServerSurvived(RequestFingerprint request);

  /// Adds the reports of another entry.
  /// @param pass_on whether new reports are forwarded to other entries
  void OnReports(const CrashNews& message, bool pass_on);
  /// Returns the reports for other entries since the last call.
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
  /// Returns whether so many servers were lost while running the request that
  /// the entries run it one after the other.
  bool RunsSequentially(const CrashAssessment& assessment) const {
    return assessment.lost >= options_.ledger.blocked_at_losses;
  }
  /// Returns when this entry may run the request, unless another entry runs it
  /// before.
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
