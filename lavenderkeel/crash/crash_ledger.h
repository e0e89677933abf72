#ifndef LAVENDERKEEL_CRASH_CRASH_LEDGER_H_
#define LAVENDERKEEL_CRASH_CRASH_LEDGER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/crash_report.h"
#include "lavenderkeel/crash/crash_suspicion.h"

namespace lavenderkeel {

/// The counted losses of a request and the suspicion that follows from them.
struct CrashAssessment {
  CrashSuspicion suspicion = CrashSuspicion::kClear;
  /// Servers lost while they had the request, since a server last answered it.
  size_t lost = 0;
  /// Sequential losses: those whose run began after the previous such loss.
  size_t in_turn = 0;
  /// When a single run may test the request again; meaningful for
  /// kDoubtful and kBlocked only.
  TimePoint next_run;

  friend bool operator==(const CrashAssessment&,
                         const CrashAssessment&) = default;
};

/// The record of lost servers by the requests that they ran.
///
/// Losses count only until a server answers the request. A poison request is
/// never answered, and a harmless equal request is cleared by its next answer.
/// Runs that overlap in time count once, since one cause may have ended all
/// their servers at that moment. A loss is removed if the server answers a
/// request that was sent to it afterwards: then only connections had broken.
///
/// Entries that share their reports come to the same assessment.
class CrashLedger {
 public:
  struct Options {
    /// Sequential losses at which a request is blocked.
    size_t blocked_at_losses = 3;
    /// A blocked request may run once more this long after the last loss: the
    /// cause may be gone, or the servers may have ended for another reason.
    Duration retest_delay = std::chrono::seconds(60);
    /// The number of these retests; after them the request stays blocked until
    /// it is forgotten.
    size_t max_retests = 1;
    /// How long the result of a trial run is awaited before another may begin.
    Duration trial_timeout = std::chrono::seconds(8);
    /// A request that has not arrived for this long is forgotten.
    Duration forget_after = std::chrono::minutes(10);
    /// Above this many requests the one that arrived longest ago is evicted.
    size_t max_requests = 4096;
    /// The number of losses kept per request.
    size_t max_losses = 8;
  };

  CrashLedger() = default;
  explicit CrashLedger(const Options& options) : options_(options) {}

  /// Adds a report of this entry or another.
  /// @return whether the report changed the ledger
  bool AddReport(const CrashReport& report, TimePoint now);
  /// Returns all losses, for an entry that has just started.
  std::vector<CrashReport> All() const;

  CrashAssessment Assess(RequestFingerprint request) const;
  bool IsKnown(RequestFingerprint request) const {
    return requests_.contains(request);
  }
  /// Returns whether a loss of this server's incarnation is counted.
  bool HasLossOf(uint64_t server) const {
    return loss_counts_.contains(server);
  }
  void ForgetExpired(TimePoint now);
  size_t size() const { return requests_.size(); }

 private:
  struct Loss {
    uint64_t server = 0;
    TimePoint sent;
    TimePoint ended;
  };
  struct Request {
    /// Sorted by the time of the loss.
    std::vector<Loss> losses;
    /// The end of the last run that a server survived.
    std::optional<TimePoint> last_survival;
    /// When the last trial run began.
    std::optional<TimePoint> last_trial;
    TimePoint last_arrival;
  };
  using Requests = std::unordered_map<RequestFingerprint, Request>;

  bool AddLoss(const CrashReport& report);
  bool AddSurvival(const CrashReport& report);
  bool AddServerAlive(const CrashReport& report);
  bool AddTrial(const CrashReport& report);
  bool AddArrival(const CrashReport& report);
  /// Returns the indices of the sequential losses: the largest set of losses
  /// whose runs don't overlap.
  static std::vector<size_t> SequentialLosses(const std::vector<Loss>& losses);
  void CountLoss(uint64_t server) { ++loss_counts_[server]; }
  void UncountLoss(uint64_t server);
  void Erase(Requests::iterator request);
  void EvictExcess();

  Options options_;
  Requests requests_;
  /// The number of losses kept per server.
  std::unordered_map<uint64_t, size_t> loss_counts_;
  /// The latest time at which a server was found alive after a loss, so that a
  /// late report of that loss is ignored.
  std::map<uint64_t, TimePoint> alive_until_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_LEDGER_H_
