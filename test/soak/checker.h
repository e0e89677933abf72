#ifndef LAVENDERKEEL_TEST_SOAK_CHECKER_H_
#define LAVENDERKEEL_TEST_SOAK_CHECKER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "test/fakes/retry_history.h"
#include "test/soak/client.h"
#include "test/soak/plan.h"

namespace lavenderkeel::soak {

/// Black-box checker of the system's guarantees. Its only input is what clients
/// received and which requests servers ran.
class Checker {
 public:
  /// @param timed whether answer times are checked as well; only meaningful on
  ///     a machine that runs nothing else
  Checker(bool timed, const fakes::RetryHistory::Bound& retry_bound)
      : timed_(timed), retries_(retry_bound) {}

  /// Checks a request that has ended at its client.
  void OnRequestDone(const RequestRecord& record);
  /// Checks a request that was sent beside planned work only.
  /// @param allowed whether the limits that may be in force allow it; nothing
  ///     if they differ
  void OnRequestBesidePlannedWork(const RequestRecord& record,
                                  std::optional<bool> allowed);
  /// Records that a client sends a request.
  void OnRequest(TimePoint now) { retries_.OnRequest(now); }
  /// Records that a request reached a server.
  void OnArrival(const std::string& id, TimePoint now);
  /// Records that a request crashed a server.
  void OnCrash(TimePoint now) { crashes_.push_back(now); }
  /// Whether the request's prompt has the part that crashes servers.
  static bool HasCrashingPart(const std::string& id) {
    return id.starts_with('c');
  }
  /// Checks how often each request ran and was sent again, once the servers run
  /// nothing more.
  ///
  /// @param runs the id of each run's request
  void OnRuns(const std::multiset<std::string>& runs);
  /// Checks a request that was sent after all faults had ended: it must have
  /// been served.
  void OnRequestAfterRecovery(const RequestRecord& record);

  /// Violated guarantees, each with the id of its request.
  /// Records a violation that was seen elsewhere.
  void OnViolation(std::string what) { violations_.push_back(std::move(what)); }
  const std::vector<std::string>& violations() const { return violations_; }
  /// Number of requests with status 200.
  size_t served() const { return served_; }
  /// Number of requests that were reported as not run.
  size_t refused() const { return refused_; }
  /// Number of requests with another status or without a complete answer.
  size_t lost() const { return lost_; }
  /// Number of arrivals at servers beyond the first of each request.
  size_t retries() const { return retries_.retries(); }
  size_t crashes() const { return crashes_.size(); }
  /// Returns the window with the most retries compared with the bound.
  fakes::RetryHistory::Window WorstRetryWindow() const {
    return retries_.WorstWindow();
  }

 private:
  void AddViolation(const RequestRecord& record, const std::string& guarantee);
  void CheckAnswer(const RequestRecord& record);
  void CheckStream(const RequestRecord& record, bool complete);

  bool timed_;
  fakes::RetryHistory retries_;
  std::multiset<std::string> arrivals_;
  std::vector<std::string> violations_;
  std::set<std::string> non_idempotent_;
  std::set<std::string> reported_not_run_;
  /// Requests whose connection ended early for no reason, by id.
  std::map<std::string, RequestRecord> cut_;
  size_t served_ = 0;
  size_t refused_ = 0;
  size_t lost_ = 0;
  std::vector<TimePoint> crashes_;
  size_t late_culprits_ = 0;
};

}  // namespace lavenderkeel::soak

#endif  // LAVENDERKEEL_TEST_SOAK_CHECKER_H_
