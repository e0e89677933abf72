#ifndef LAVENDERKEEL_CRASH_CRASH_LEDGER_H_
#define LAVENDERKEEL_CRASH_CRASH_LEDGER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/crash_report.h"
#include "lavenderkeel/crash/crash_standing.h"

namespace lavenderkeel {

struct CrashAssessment {
  CrashStanding standing = CrashStanding::kClear;
  /// Servers lost under the request since a server last answered it.
  size_t lost = 0;
  /// Those of them that it was sent to after the one before was lost.
  size_t in_turn = 0;
  /// When a single run may show whether it still holds; for kDoubtful and
  /// kBlocked only.
  TimePoint next_run;

  friend bool operator==(const CrashAssessment&,
                         const CrashAssessment&) = default;
};

/// What is known of servers that were lost, by the requests that they ran.
///
/// Losses count only until a server answers the request, which one that ends
/// its servers never reaches: an equal request that is harmless is cleared by
/// its next answer. Runs that overlap in time count once, since whatever ended
/// one server at that moment may have ended the others. A loss is void if the
/// server answers what is sent to it afterwards: then connections to it had
/// broken, not the server.
///
/// Whoever shares reports with others has the same assessment as they have.
class CrashLedger {
 public:
  struct Options {
    /// Servers lost in turn under which a request is blocked.
    size_t blocked_at = 3;
    /// A blocked request may run once more this long after the last loss. The
    /// cause may be gone, or the servers may have ended for another reason.
    Duration first_retest = std::chrono::seconds(60);
    /// So often it may; then it is blocked until it is forgotten.
    size_t retests = 1;
    /// What a run shows is awaited this long before another may begin.
    Duration trial_patience = std::chrono::seconds(8);
    /// A request that nobody sends any more is forgotten after this time.
    Duration forget_after = std::chrono::minutes(10);
    /// Of these the one that was last seen longest ago is forgotten first.
    size_t most_requests = 4096;
    /// Losses that are kept of one request.
    size_t most_losses = 8;
  };

  CrashLedger() = default;
  explicit CrashLedger(const Options& options) : options_(options) {}

  /// Takes a report of this entry or another.
  /// @return whether it says something new
  bool Learn(const CrashReport& report, TimePoint now);
  /// Everything that is known, for an entry that knows nothing.
  std::vector<CrashReport> All() const;

  CrashAssessment Assess(RequestFingerprint request) const;
  bool Knows(RequestFingerprint request) const {
    return requests_.contains(request);
  }
  /// A loss of that server's incarnation is counted.
  bool CountsLossOf(uint64_t server) const { return servers_.contains(server); }
  void Forget(TimePoint now);
  size_t size() const { return requests_.size(); }

 private:
  struct Loss {
    uint64_t server = 0;
    TimePoint sent;
    TimePoint ended;
  };
  struct Request {
    /// By the time of the loss.
    std::vector<Loss> losses;
    /// The end of the last run that it survived.
    std::optional<TimePoint> survived;
    /// When the last run that is to show something began.
    std::optional<TimePoint> tried;
    TimePoint seen;
  };
  using Requests = std::unordered_map<RequestFingerprint, Request>;

  bool LearnLoss(const CrashReport& report);
  bool LearnSurvival(const CrashReport& report);
  bool LearnServerLives(const CrashReport& report);
  bool LearnTrial(const CrashReport& report);
  bool LearnArrival(const CrashReport& report);
  /// Positions of the losses in turn: the largest set that don't overlap.
  static std::vector<size_t> InTurn(const std::vector<Loss>& losses);
  void Count(uint64_t server) { ++servers_[server]; }
  void Uncount(uint64_t server);
  void Erase(Requests::iterator request);
  void MakeRoom();

  Options options_;
  Requests requests_;
  /// How many losses are kept of each server.
  std::unordered_map<uint64_t, size_t> servers_;
  /// Servers that were seen alive after a loss, and until when; so that a late
  /// report of that loss doesn't bring it back.
  std::map<uint64_t, TimePoint> alive_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_LEDGER_H_
