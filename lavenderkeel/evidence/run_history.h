#ifndef LAVENDERKEEL_EVIDENCE_RUN_HISTORY_H_
#define LAVENDERKEEL_EVIDENCE_RUN_HISTORY_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/result_code.h"
#include "lavenderkeel/evidence/run_evidence.h"

namespace lavenderkeel {

/// The attempts of one request and what their ends show.
///
/// The only source of the statement "not run": all refusals pass through
/// CodeFor(), whatever the reason to refuse.
class RunHistory {
 public:
  /// Records that an attempt begins; the request may run from now on.
  void OnSent();
  /// Records the end of the attempt that is under way.
  void OnEnded(RunEvidence evidence);

  /// Returns whether an attempt has begun that has not ended.
  bool under_way() const { return under_way_; }
  /// Returns whether the request may have run, or may run yet.
  bool may_have_run() const { return under_way_ || runs_ > 0; }
  /// Returns the number of ended attempts after which it may have run.
  int count() const { return runs_; }
  /// Returns the number of ended attempts after which it may have reached a
  /// server, whether or not it ran.
  int arrivals() const { return arrivals_; }
  /// Returns the evidence of the last attempt that ended.
  std::optional<RunEvidence> last() const {
    return ended_.empty() ? std::nullopt : std::optional(ended_.back());
  }

  /// Returns the code that the caller may get.
  /// @param code the code of the reason to end the request
  /// @param if_in_doubt the code in place of one that states "not run" while
  ///     the request may have run
  ResultCode CodeFor(ResultCode code, ResultCode if_in_doubt) const;

  /// Returns the evidence of the last attempts in order, for log lines: "none"
  /// without an attempt, else separated by commas.
  std::string ToString() const;

  friend bool operator==(const RunHistory&, const RunHistory&) = default;

 private:
  static constexpr size_t kMaxLogged = 8;

  bool under_way_ = false;
  int runs_ = 0;
  int arrivals_ = 0;
  /// The last attempts that ended.
  std::vector<RunEvidence> ended_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_EVIDENCE_RUN_HISTORY_H_
