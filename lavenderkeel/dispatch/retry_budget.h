#ifndef LAVENDERKEEL_DISPATCH_RETRY_BUDGET_H_
#define LAVENDERKEEL_DISPATCH_RETRY_BUDGET_H_

#include <algorithm>

namespace lavenderkeel {

/// A token bucket that limits retries to a share of successes.
///
/// If overloaded servers make requests fail and each one is retried, the load
/// doubles and the overload sustains itself. Without successes the budget is
/// soon exhausted.
class RetryBudget {
 public:
  struct Options {
    double tokens_per_success = 0.1;
    double max_tokens = 20;
  };

  RetryBudget() = default;
  explicit RetryBudget(Options options)
      : options_(options), tokens_(options.max_tokens) {}

  void OnSuccess() {
    tokens_ =
        std::min(options_.max_tokens, tokens_ + options_.tokens_per_success);
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
  double tokens_ = Options().max_tokens;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_RETRY_BUDGET_H_
