#ifndef LAVENDERKEEL_FORWARD_REQUEST_LOG_H_
#define LAVENDERKEEL_FORWARD_REQUEST_LOG_H_

#include <string>
#include <string_view>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/forward/attempt.h"
#include "lavenderkeel/forward/forwarded_request.h"
#include "lavenderkeel/forward/server_directory.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/notice/server_notices.h"
#include "lavenderkeel/registry/share_state.h"
#include "lavenderkeel/retry/retry_decision.h"
#include "lavenderkeel/retry/retry_loans.h"

namespace lavenderkeel {

/// Log lines and metrics about the course of forwarded requests.
class RequestLog {
 public:
  RequestLog(const ServerDirectory& directory,
             const ServerNotices& notices,
             const Clock& clock,
             const EventLog& log,
             Metrics& metrics)
      : directory_(directory),
        notices_(notices),
        clock_(clock),
        log_(log),
        metrics_(metrics) {}

  void OnSend(const ForwardedRequest& request,
              const BackendServer& server,
              const std::string& scheduler,
              const SlotGrant& grant) const;
  /// Logs what the head of a rejection states.
  /// @param fresh whether nothing was answered on its connection before
  void OnRejection(const ForwardedRequest& request,
                   const AnswerStatements& answer,
                   bool fresh) const;
  /// Logs an answer to another request, which is skipped.
  void OnForeignAnswer(const ForwardedRequest& request,
                       const AnswerStatements& answer) const;
  /// Logs an answer that proves nothing and is not passed on.
  void OnInvalidAnswer(const ForwardedRequest& request,
                       const AnswerStatements& answer,
                       std::string_view fault) const;
  /// Logs that the server's complete answer is not passed on.
  void OnAnswerWithheld(const ForwardedRequest& request) const;
  void OnAttemptFailed(const ForwardedRequest& request,
                       AttemptFailure failure) const;
  /// Records that a slot at another server is requested in place of a silent
  /// one, or no longer.
  void OnReplacement(const ForwardedRequest& request,
                     std::string_view outcome) const;
  /// Logs whether a request is sent again after a failed attempt.
  /// @param usage how much of the bound was used before the decision
  /// @param share this entry's share of the extra retries
  void OnRetryDecision(const ForwardedRequest& request,
                       RetryRefusal refusal,
                       const RetryUsage& usage,
                       const ShareState& share) const;
  /// Logs what another entry asked for of this entry's part of the bound.
  /// @param usage how much of the bound was used before
  void OnRetriesLent(const std::string& borrower,
                     const RetryLoanRequest& request,
                     int lent,
                     const RetryUsage& usage) const;
  /// @param scheduler the scheduler that last received a slot request
  void OnEnd(const ForwardedRequest& request,
             std::string_view outcome,
             int status,
             const std::string& scheduler) const;
  /// Logs the notices of servers that held a waiting request back.
  void OnHeldBack(const ForwardedRequest& request) const;

 private:
  const ServerDirectory& directory_;
  const ServerNotices& notices_;
  const Clock& clock_;
  const EventLog& log_;
  Metrics& metrics_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_REQUEST_LOG_H_
