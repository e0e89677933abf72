#ifndef LAVENDERKEEL_RETRY_RETRY_LOANS_H_
#define LAVENDERKEEL_RETRY_RETRY_LOANS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// A request to another entry for retries of its part of the bound.
struct RetryLoanRequest {
  uint64_t call = 0;
  std::string service;
  int retries = 1;
  /// The borrower sends no retry of the loan later than this after it asked.
  Duration validity{};

  friend bool operator==(const RetryLoanRequest&,
                         const RetryLoanRequest&) = default;
};

/// Retries that this entry borrowed from others, as its own part of the bound
/// is used up or not usable yet.
///
/// The lender counts a loan before it answers, and for as long as the loan is
/// valid. So the bound holds though an answer is lost or either end dies; a
/// loan that is not used is wasted.
class RetryLoans {
 public:
  struct Options {
    Duration validity = std::chrono::seconds(2);
    /// Retries of one loan at most.
    int max_retries = 8;
    /// Time between two requests for a loan for the same service.
    Duration min_interval = std::chrono::milliseconds(100);
  };

  /// Returns whether there is somebody to ask.
  using Ask = std::function<bool(const RetryLoanRequest&)>;

  RetryLoans(const Options& options, const Clock& clock)
      : options_(options), clock_(clock) {}

  void set_ask(Ask ask) { ask_ = std::move(ask); }

  /// Takes a borrowed retry.
  /// @return until when it may be sent; nothing if there is none
  std::optional<TimePoint> Take(const std::string& service);
  /// Returns a retry that was not sent.
  void GiveBack(const std::string& service, TimePoint valid_until);

  /// Asks for a loan, as the own part of the bound does not allow a retry;
  /// several retries may be for one loan.
  /// @return whether a loan may come
  bool AskFor(const std::string& service);
  /// Handles the answer to a request.
  void OnLoan(uint64_t call, int retries);
  /// Whether a retry that was taken may still be sent.
  bool IsValid(TimePoint valid_until) const {
    return clock_.Now() < valid_until && valid_until > void_until_;
  }
  /// Makes all loans void: the clock stopped, so that they are older than it
  /// seems.
  void Clear();

 private:
  struct Loan {
    TimePoint valid_until;
    int retries = 0;
  };
  struct Service {
    std::vector<Loan> loans;
    /// Retries that a loan is needed for since the last request for one.
    int needed = 0;
    std::optional<TimePoint> asked_at;
    /// The request without an answer; zero if there is none.
    uint64_t call = 0;
  };

  Options options_;
  const Clock& clock_;
  Ask ask_;
  std::map<std::string, Service> services_;
  /// Loans that end by this time were asked for before they were made void.
  TimePoint void_until_ = TimePoint::min();
  uint64_t last_call_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RETRY_RETRY_LOANS_H_
