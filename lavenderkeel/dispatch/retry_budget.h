#ifndef LAVENDERKEEL_DISPATCH_RETRY_BUDGET_H_
#define LAVENDERKEEL_DISPATCH_RETRY_BUDGET_H_

#include <algorithm>

namespace lavenderkeel {

/// Allows retries as a share of successes.
///
/// Failure: a slow fleet makes requests fail, each is tried again, the load
/// doubles. Symptom: an overload that does not end by itself. With no
/// successes there are soon no retries either.
class RetryBudget {
 public:
  struct Options {
    double share = 0.1;
    double most = 20;
  };

  RetryBudget() = default;
  explicit RetryBudget(Options options)
      : options_(options), tokens_(options.most) {}

  void OnSuccess() {
    tokens_ = std::min(options_.most, tokens_ + options_.share);
  }

  bool TryRetry() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  Options options_;
  double tokens_ = Options().most;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_RETRY_BUDGET_H_
