#include "lavenderkeel/forward/request_retries.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

namespace {

/// Maximum number of servers that one request is sent to, whether or not they
/// run it. An attempt that finds no connection costs a connect timeout, and a
/// request has time for few of these.
constexpr size_t kMaxServersTried = 6;

/// Returns whether the next attempt is a retry, which the bound counts.
bool NextIsRetry(const RunHistory& runs) {
  return runs.arrivals() > 0 || runs.under_way();
}

}  // namespace

RequestRetries::RequestRetries(const Options& options,
                               const RequestLog& log,
                               const Clock& clock)
    : options_(options),
      log_(log),
      clock_(clock),
      loans_({.validity = options.bound.max_loan_validity}, clock),
      started_at_(clock.Now()),
      ticked_at_(started_at_) {}

RetryBound& RequestRetries::BoundOf(const std::string& service) {
  return bounds_.try_emplace(service, options_.bound).first->second;
}

ExtraShare RequestRetries::extra() const {
  return {.retries = options_.extra * share_.fraction(),
          .since = share_.has_predecessor ? std::optional(started_at_)
                                          : std::nullopt};
}

TimePoint RequestRetries::EarliestSendTime(TimePoint arrived) const {
  return clock_.Now() < backlog_until_ ? backlog_since_
                                       : std::min(arrived, ticked_at_);
}

void RequestRetries::OnAdmitted(const ForwardedRequest& request) {
  BoundOf(request.service).OnRequest(EarliestSendTime(request.arrived));
}

RetryRefusal RequestRetries::CheckRepeatable(
    const ForwardedRequest& request) const {
  if (request.due - clock_.Now() < kMinTimeForAttempt) {
    return RetryRefusal::kTime;
  }
  if (request.tried.size() >= kMaxServersTried) {
    return RetryRefusal::kServersTried;
  }
  if (request.runs.may_have_run() && !request.may_repeat()) {
    return RetryRefusal::kNotRepeatable;
  }
  const int runs = request.runs.count() + (request.runs.under_way() ? 1 : 0);
  if (runs >= std::max(1, request.route->max_attempts)) {
    return RetryRefusal::kMaxAttempts;
  }
  if (request.head_sent &&
      (!request.streams() || request.last_event_id.empty())) {
    return RetryRefusal::kNoEventId;
  }
  return RetryRefusal::kNone;
}

RequestRetries::Decision RequestRetries::Decide(ForwardedRequest& request) {
  const TimePoint now = clock_.Now();
  RetryBound& bound = BoundOf(request.service);
  const RetryUsage usage = bound.UsageAt(now, extra());
  RetryRefusal refusal = CheckRepeatable(request);
  if (refusal == RetryRefusal::kNone && NextIsRetry(request.runs)) {
    request.retry_reserved = bound.TryReserve(now, extra());
    if (!request.retry_reserved && !ReserveLoan(request)) {
      refusal = RetryRefusal::kBound;
    }
  }
  if (refusal == RetryRefusal::kBound && loans_.AskFor(request.service)) {
    request.loan_wait_end = std::min(request.due, now + options_.max_loan_wait);
    return Decision::kAwaitLoan;
  }
  log_.OnRetryDecision(request, refusal, usage, share_);
  return refusal == RetryRefusal::kNone ? Decision::kSendAgain : Decision::kEnd;
}

RequestRetries::Decision RequestRetries::CheckLoan(ForwardedRequest& request) {
  const bool borrowed = ReserveLoan(request);
  if (!borrowed && clock_.Now() < *request.loan_wait_end) {
    return Decision::kAwaitLoan;
  }
  request.loan_wait_end.reset();
  log_.OnRetryDecision(
      request, borrowed ? RetryRefusal::kNone : RetryRefusal::kBound,
      BoundOf(request.service).UsageAt(clock_.Now(), extra()), share_);
  return borrowed ? Decision::kSendAgain : Decision::kEnd;
}

bool RequestRetries::ReserveLoan(ForwardedRequest& request) {
  request.borrowed_until = loans_.Take(request.service);
  return request.borrowed_until.has_value();
}

void RequestRetries::Release(ForwardedRequest& request) {
  if (std::exchange(request.retry_reserved, false)) {
    BoundOf(request.service).ReleaseReservation();
  }
  if (request.borrowed_until.has_value()) {
    loans_.GiveBack(request.service, *request.borrowed_until);
    request.borrowed_until.reset();
  }
}

bool RequestRetries::OnSend(ForwardedRequest& request) {
  const TimePoint now = clock_.Now();
  request.counted_against.reset();
  request.sent_on_loan_until.reset();
  if (!NextIsRetry(request.runs)) {
    return true;
  }
  if (request.borrowed_until.has_value() &&
      loans_.IsValid(*request.borrowed_until)) {
    request.sent_on_loan_until =
        std::exchange(request.borrowed_until, std::nullopt);
    return true;
  }
  Release(request);
  RetryBound& bound = BoundOf(request.service);
  request.counted_against = bound.TrySend(now, extra());
  if (request.counted_against.has_value()) {
    return true;
  }
  // Requests that allowed the retry have left the window while it waited.
  log_.OnRetryDecision(request, RetryRefusal::kBound,
                       bound.UsageAt(now, extra()), share_);
  return false;
}

void RequestRetries::OnAttemptEnded(ForwardedRequest& request,
                                    RunEvidence evidence) {
  request.runs.OnEnded(evidence);
  if (evidence != RunEvidence::kNotSent) {
    return;
  }
  if (request.sent_on_loan_until.has_value()) {
    loans_.GiveBack(request.service, *request.sent_on_loan_until);
    request.sent_on_loan_until.reset();
  } else if (request.counted_against.has_value()) {
    BoundOf(request.service)
        .OnUnsent(request.sent_at, *request.counted_against);
  }
}

int RequestRetries::Lend(const std::string& borrower,
                         const RetryLoanRequest& request) {
  if (request.validity > options_.bound.max_loan_validity) {
    return 0;
  }
  const TimePoint now = clock_.Now();
  RetryBound& bound = BoundOf(request.service);
  const RetryUsage usage = bound.UsageAt(now, extra());
  const int lent = bound.Lend(now, extra(), request.retries);
  log_.OnRetriesLent(borrower, request, lent, usage);
  return lent;
}

void RequestRetries::PutMetrics(Metrics& metrics) const {
  for (const auto& [service, bound] : bounds_) {
    const RetryUsage usage = bound.UsageAt(clock_.Now(), extra());
    const std::string label = "{service=\"" + service + "\"}";
    const auto set = [&](const char* name, double value) {
      metrics.Set(name + label, value);
    };
    set("retry_bound", usage.bound);
    set("retry_bound_used", usage.retries);
    set("retry_extra", usage.extra);
    set("retry_extra_left", usage.extra_left);
  }
}

void RequestRetries::OnSuspended() {
  for (auto& [service, bound] : bounds_) {
    bound.ForgetRequests();
  }
  loans_.Clear();
}

void RequestRetries::Tick() {
  const TimePoint now = clock_.Now();
  if (now - ticked_at_ > options_.max_tick_gap) {
    backlog_since_ = ticked_at_;
    backlog_until_ = now + options_.backlog_time;
  }
  ticked_at_ = now;
}

}  // namespace lavenderkeel
