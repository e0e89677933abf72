#ifndef LAVENDERKEEL_FORWARD_REQUEST_RETRIES_H_
#define LAVENDERKEEL_FORWARD_REQUEST_RETRIES_H_

#include <map>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/forward/attempt.h"
#include "lavenderkeel/forward/forwarded_request.h"
#include "lavenderkeel/forward/request_log.h"
#include "lavenderkeel/registry/share_state.h"
#include "lavenderkeel/retry.h"

namespace lavenderkeel {

/// Decides whether requests are sent to a further server after an attempt, and
/// counts retries against the bound of their service.
///
/// A retry counts from the moment it is sent; while it waits for a slot it is
/// reserved. Where this entry's part of the bound does not allow it, it is
/// borrowed from another entry.
class RequestRetries {
 public:
  struct Options {
    RetryBound::Options bound;
    /// Extra retries of all entries together, see RetryBound.
    double extra = 52;
    /// A request that may not be sent again for the bound waits this long for a
    /// loan.
    Duration max_loan_wait = std::chrono::milliseconds(100);
    /// Two ticks further apart than this mean that the process did not run, and
    /// requests that it reads within the backlog time may be as old as the
    /// former.
    Duration max_tick_gap = std::chrono::milliseconds(300);
    Duration backlog_time = std::chrono::milliseconds(500);
  };

  enum class Decision {
    kSendAgain,
    /// It waits for a loan, see CheckLoan().
    kAwaitLoan,
    kEnd,
  };

  RequestRetries(const Options& options,
                 const RequestLog& log,
                 const Clock& clock);

  /// Counts a request that this entry admitted.
  void OnAdmitted(const ForwardedRequest& request);
  /// Returns whether the request itself allows a further attempt, whatever the
  /// bound on retries is.
  bool IsRepeatable(const ForwardedRequest& request) const {
    return CheckRepeatable(request) == RetryRefusal::kNone;
  }
  /// Decides on a request whose attempt has ended or is to be replaced;
  /// reserves the retry if it is to be sent again.
  Decision Decide(ForwardedRequest& request);
  /// Decides on a request that waits for a loan.
  Decision CheckLoan(ForwardedRequest& request);
  /// Counts the attempt that is about to be sent if it is a retry.
  /// @return whether the bound still allows it
  bool OnSend(ForwardedRequest& request);
  /// Records the end of an attempt.
  void OnAttemptEnded(ForwardedRequest& request, RunEvidence evidence);
  /// Gives back what is reserved for a request that is not sent again.
  void Release(ForwardedRequest& request);

  /// Lends retries of this entry's part of the bound to another entry.
  /// @return how many
  int Lend(const std::string& borrower, const RetryLoanRequest& request);
  RetryLoans& loans() { return loans_; }

  /// Sets the metrics that tell how much of the bound is used at this entry.
  void PutMetrics(Metrics& metrics) const;

  /// Sets this entry's share of the extra retries.
  void set_share(const ShareState& share) { share_ = share; }
  /// Handles that the clock stopped for some time: all requests are older than
  /// it seems.
  void OnSuspended();
  void Tick();

 private:
  RetryBound& BoundOf(const std::string& service);
  /// Returns this entry's part of the extra retries.
  ExtraShare extra() const;
  bool ReserveLoan(ForwardedRequest& request);
  /// Returns why the request itself may not be sent again, if so.
  RetryRefusal CheckRepeatable(const ForwardedRequest& request) const;
  /// Returns the earliest time at which the client may have sent a request.
  TimePoint EarliestSendTime(TimePoint arrived) const;

  Options options_;
  const RequestLog& log_;
  const Clock& clock_;
  /// By service.
  std::map<std::string, RetryBound> bounds_;
  RetryLoans loans_;
  ShareState share_ = {.status = ShareStatus::kUsable, .entries = 1};
  TimePoint started_at_;
  TimePoint ticked_at_;
  /// Requests that are read up to a time may have been sent since another, see
  /// EarliestSendTime.
  TimePoint backlog_since_;
  TimePoint backlog_until_ = TimePoint::min();
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_REQUEST_RETRIES_H_
