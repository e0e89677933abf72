#include "lavenderkeel/retry/retry_loans.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

std::optional<TimePoint> RetryLoans::Take(const std::string& service) {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return std::nullopt;
  }
  std::vector<Loan>& loans = found->second.loans;
  std::erase_if(loans, [this](const Loan& loan) {
    return loan.retries == 0 || !IsValid(loan.valid_until);
  });
  if (loans.empty()) {
    return std::nullopt;
  }
  --loans.front().retries;
  return loans.front().valid_until;
}

void RetryLoans::GiveBack(const std::string& service, TimePoint valid_until) {
  services_[service].loans.push_back(
      {.valid_until = valid_until, .retries = 1});
}

bool RetryLoans::AskFor(const std::string& service) {
  const TimePoint now = clock_.Now();
  Service& borrower = services_[service];
  ++borrower.needed;
  const bool asked_recently = borrower.asked_at.has_value() &&
                              now - *borrower.asked_at < options_.min_interval;
  if (asked_recently || !ask_) {
    return borrower.call != 0;
  }
  borrower.asked_at = now;
  borrower.call = ++last_call_;
  const int wanted =
      std::min(options_.max_retries, std::exchange(borrower.needed, 0));
  if (!ask_({.call = borrower.call,
             .service = service,
             .retries = wanted,
             .validity = options_.validity})) {
    borrower.call = 0;
  }
  return borrower.call != 0;
}

void RetryLoans::OnLoan(uint64_t call, int retries) {
  const auto borrower =
      std::ranges::find_if(services_, [call](const auto& item) {
        return call != 0 && item.second.call == call;
      });
  if (borrower == services_.end()) {
    return;
  }
  Service& service = borrower->second;
  service.call = 0;
  if (retries > 0) {
    service.loans.push_back(
        {.valid_until = *service.asked_at + options_.validity,
         .retries = std::min(retries, options_.max_retries)});
  }
}

void RetryLoans::Clear() {
  services_.clear();
  void_until_ = clock_.Now() + options_.validity;
}

}  // namespace lavenderkeel
