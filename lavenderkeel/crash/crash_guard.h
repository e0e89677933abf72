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

/// Whether a request may go to a server now.
struct CrashDecision {
  enum class Kind {
    kRun,
    /// Until the run of an equal request shows more, it is this entry's turn,
    /// or the entry knows what others know.
    kWait,
    kRefuse,
  };

  Kind kind = Kind::kRun;
  CrashAssessment assessment;
  /// When a refused request may come back.
  Duration retry_after{};

  friend bool operator==(const CrashDecision&, const CrashDecision&) = default;
};

/// Keeps requests that end the servers that run them from reaching more.
///
/// Failure: a request ends each server that begins to run it, and comes again.
/// Symptom: one server after another is lost, with all that runs there, for as
/// long as it comes. Nothing that a single sending shows tells it from the
/// requests beside it; what equal requests met before, at all entries, does.
/// Innocent ones are cleared by their next answer, and until then run apart
/// from each other, so that none is lost for another's sake twice.
class CrashGuard {
 public:
  struct Options {
    CrashLedger::Options ledger;
    /// Entries that may let the same request run do so this far apart: what one
    /// run shows is known everywhere before the next.
    Duration turn = std::chrono::seconds(1);
    /// Entries that come later still share the last turn.
    size_t most_turns = 8;
    /// An entry that has just started waits so long for what another knows.
    Duration join_patience = std::chrono::milliseconds(500);
    /// Others are told this often that a blocked request still comes.
    Duration tell_again = std::chrono::minutes(2);
    /// Retry-After of a request that waits for an equal one.
    Duration retry_after = std::chrono::seconds(1);
  };

  /// How many entries have their turn at a request before this one.
  using Rank = std::function<size_t(RequestFingerprint)>;

  CrashGuard(
      const Options& options,
      const Clock& clock,
      const EventLog& log,
      Metrics& metrics,
      Rank rank = [](RequestFingerprint) { return size_t{0}; });

  /// Nothing runs until another entry has told what it knows, or for the join
  /// patience.
  void Join();
  /// @param equal_runs an equal request of this entry is at a server or in line
  ///     for one; asked only if it matters
  CrashDecision Decide(RequestFingerprint request,
                       const std::function<bool()>& equal_runs);
  /// It goes to a server, as was decided.
  void OnSent(RequestFingerprint request);
  /// How much speaks against the request.
  CrashStanding StandingOf(RequestFingerprint request) const {
    return ledger_.Assess(request).standing;
  }
  /// It came in, at this entry.
  void OnArrival(RequestFingerprint request);

  /// The server was lost while it had the request.
  void OnServerLost(RequestFingerprint request,
                    uint64_t server,
                    TimePoint sent);
  /// The server answered something that was sent to it at that time.
  void OnServerAnswered(uint64_t server, TimePoint sent);
  /// It accepted no connection: a later answer is its successor's.
  void OnServerUnreachable(uint64_t server);
  /// A server ran the request to its end.
  void OnSurvived(RequestFingerprint request);

  /// From another entry.
  /// @param pass_on what is new is for others too
  void OnNews(const CrashNews& news, bool pass_on);
  /// What others are to hear of since the last call.
  std::vector<CrashReport> TakeNews();
  std::vector<CrashReport> All() const { return ledger_.All(); }
  void Tick();

 private:
  struct Wish {
    /// The first one that could have been granted, or the first again after a
    /// turn passed unused.
    TimePoint since;
    /// The CrashAssessment::next_run that it waits behind.
    TimePoint next_run;
  };

  bool Joining() const;
  /// Several servers were lost under it: entries run it one after the other.
  bool RunsInTurns(const CrashAssessment& assessment) const {
    return assessment.lost >= options_.ledger.blocked_at;
  }
  /// From when on this entry may run it, unless another does before.
  TimePoint TurnOf(RequestFingerprint request,
                   const CrashAssessment& assessment);
  bool Learn(const CrashReport& report, std::string_view from);
  void LearnHere(const CrashReport& report);

  Options options_;
  const Clock& clock_;
  const EventLog& log_;
  Metrics& metrics_;
  Rank rank_;
  CrashLedger ledger_;
  std::vector<CrashReport> news_;
  /// Servers with a counted loss that have accepted no connection since.
  std::set<uint64_t> unreachable_;
  /// When others were told last that the request still comes.
  std::unordered_map<RequestFingerprint, TimePoint> told_;
  TimePoint forget_due_;
  std::optional<TimePoint> joining_since_;
  /// Requests that this entry would run if it were its turn.
  std::unordered_map<RequestFingerprint, Wish> wishes_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_GUARD_H_
