#ifndef LAVENDERKEEL_FORWARD_RETRY_LENDING_H_
#define LAVENDERKEEL_FORWARD_RETRY_LENDING_H_

#include <map>
#include <string>

#include "lavenderkeel/action.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/forward/forward_controller.h"
#include "lavenderkeel/forward/registry_exchange.h"
#include "lavenderkeel/membership/member_table.h"
#include "lavenderkeel/retry.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// Asks connected entries for retries of their parts of the bound, and answers
/// such requests.
class RetryLending {
 public:
  struct Options {
    /// An entry that lent nothing is not asked again for this time.
    Duration pause_after_refusal = std::chrono::milliseconds(500);
    /// Entries that are asked for one loan.
    int max_asked = 3;
  };

  RetryLending(const Options& options,
               ForwardController& controller,
               const MemberTable& members,
               const RegistryExchange& registry,
               Outbox& outbox,
               const Clock& clock);

  void OnWantRetries(const Member& member,
                     LinkId link,
                     const WantRetries& want);
  /// Passes a loan on, or asks another entry if there is none.
  void OnHaveRetries(const Member& member, const HaveRetries& have);

 private:
  /// Asks the next entry in order of the names.
  /// @return whether there is one to ask
  bool Ask(const RetryLoanRequest& request);

  Options options_;
  ForwardController& controller_;
  const MemberTable& members_;
  const RegistryExchange& registry_;
  Outbox& outbox_;
  const Clock& clock_;
  /// The requests that were sent last, by service, and how many entries were
  /// asked.
  struct Pending {
    RetryLoanRequest request;
    int asked = 0;
  };

  std::map<std::string, Pending> pending_;
  std::string last_asked_;
  std::map<std::string, TimePoint> paused_until_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_RETRY_LENDING_H_
