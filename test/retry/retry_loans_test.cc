#include "lavenderkeel/retry/retry_loans.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Borrower {
  fuzz::VirtualClock clock;
  std::vector<RetryLoanRequest> asked;
  bool has_lender = true;
  RetryLoans loans{{.validity = seconds(2)}, clock};

  Borrower() {
    loans.set_ask([this](const RetryLoanRequest& request) {
      asked.push_back(request);
      return has_lender;
    });
  }
};

}  // namespace

BOOST_AUTO_TEST_CASE(OneLoanIsAskedForSeveralRetries) {
  Borrower borrower;
  BOOST_TEST(borrower.loans.AskFor("engines"));
  BOOST_TEST(borrower.loans.AskFor("engines"));
  BOOST_TEST(borrower.loans.AskFor("engines"));
  BOOST_REQUIRE(borrower.asked.size() == 1U);
  borrower.loans.OnLoan(borrower.asked.front().call, 0);
  BOOST_TEST(!borrower.loans.AskFor("engines"));
  borrower.clock.Advance(milliseconds(100));
  BOOST_TEST(borrower.loans.AskFor("engines"));
  BOOST_REQUIRE(borrower.asked.size() == 2U);
  BOOST_TEST(borrower.asked.back().retries == 4);
}

BOOST_AUTO_TEST_CASE(NobodyToAskIsNoLoan) {
  Borrower borrower;
  borrower.has_lender = false;
  BOOST_TEST(!borrower.loans.AskFor("engines"));
  BOOST_TEST(!borrower.loans.AskFor("engines"));
}

// Guards against retries that are sent when the lender no longer counts them.
BOOST_AUTO_TEST_CASE(LoanIsValidFromTheTimeItWasAskedFor) {
  Borrower borrower;
  const TimePoint asked_at = borrower.clock.Now();
  borrower.loans.AskFor("engines");
  borrower.clock.Advance(milliseconds(500));
  borrower.loans.OnLoan(borrower.asked.front().call, 3);
  BOOST_TEST((borrower.loans.Take("engines") == asked_at + seconds(2)));
  BOOST_TEST(!borrower.loans.Take("sheets").has_value());
  borrower.clock.Advance(milliseconds(1500));
  BOOST_TEST(!borrower.loans.Take("engines").has_value());
}

BOOST_AUTO_TEST_CASE(ReturnedLoanIsTakenAgain) {
  Borrower borrower;
  borrower.loans.AskFor("engines");
  borrower.loans.OnLoan(borrower.asked.front().call, 1);
  const auto loan = borrower.loans.Take("engines");
  BOOST_REQUIRE(loan.has_value());
  BOOST_TEST(!borrower.loans.Take("engines").has_value());
  borrower.loans.GiveBack("engines", *loan);
  BOOST_TEST((borrower.loans.Take("engines") == loan));
}

// Guards against retries that are sent late, since the clock stopped.
BOOST_AUTO_TEST_CASE(LoansAreVoidAfterASuspension) {
  Borrower borrower;
  borrower.loans.AskFor("engines");
  const uint64_t call = borrower.asked.front().call;
  borrower.loans.OnLoan(call, 2);
  const auto loan = borrower.loans.Take("engines");
  BOOST_REQUIRE(loan.has_value());
  borrower.loans.Clear();
  BOOST_TEST(!borrower.loans.IsValid(*loan));
  borrower.loans.GiveBack("engines", *loan);
  borrower.loans.OnLoan(call, 2);
  BOOST_TEST(!borrower.loans.Take("engines").has_value());
}

// Guards against an answer that counts twice, or for another service.
BOOST_AUTO_TEST_CASE(LoanThatNobodyAskedForIsIgnored) {
  Borrower borrower;
  borrower.loans.AskFor("engines");
  const uint64_t call = borrower.asked.front().call;
  borrower.loans.OnLoan(call + 1, 3);
  borrower.loans.OnLoan(0, 3);
  BOOST_TEST(!borrower.loans.Take("engines").has_value());
  borrower.loans.OnLoan(call, 1);
  borrower.loans.OnLoan(call, 1);
  BOOST_TEST(borrower.loans.Take("engines").has_value());
  BOOST_TEST(!borrower.loans.Take("engines").has_value());
}

}  // namespace lavenderkeel
