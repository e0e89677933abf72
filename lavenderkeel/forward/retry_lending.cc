#include "lavenderkeel/forward/retry_lending.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

RetryLending::RetryLending(const Options& options,
                           ForwardController& controller,
                           const MemberTable& members,
                           const RegistryExchange& registry,
                           Outbox& outbox,
                           const Clock& clock)
    : options_(options),
      controller_(controller),
      members_(members),
      registry_(registry),
      outbox_(outbox),
      clock_(clock) {
  controller_.retries().loans().set_ask(
      [this](const RetryLoanRequest& request) { return Ask(request); });
}

bool RetryLending::Ask(const RetryLoanRequest& request) {
  const TimePoint now = clock_.Now();
  std::erase_if(paused_until_,
                [now](const auto& item) { return now >= item.second; });
  const Member* next = nullptr;
  for (const Member* member : members_.Members(Role::kEntry)) {
    const std::string& name = member->info.id.instance;
    if (!member->live() || !member->outbound.has_value() ||
        !registry_.IsSharedWith(name) || paused_until_.contains(name)) {
      continue;
    }
    const bool is_after = name > last_asked_;
    const bool next_is_after =
        next != nullptr && next->info.id.instance > last_asked_;
    if (next == nullptr || (is_after && !next_is_after)) {
      next = member;
    }
  }
  if (next == nullptr) {
    return false;
  }
  Pending& pending = pending_[request.service];
  pending.asked = pending.request == request ? pending.asked + 1 : 1;
  pending.request = request;
  last_asked_ = next->info.id.instance;
  WantRetries want;
  want.call = request.call;
  want.service = request.service;
  want.retries = static_cast<uint32_t>(request.retries);
  want.validity_us = request.validity.count();
  outbox_.Send(*next->outbound, std::move(want));
  return true;
}

void RetryLending::OnWantRetries(const Member& member,
                                 LinkId link,
                                 const WantRetries& want) {
  constexpr uint32_t kMaxRetries = 1000;
  HaveRetries have;
  have.call = want.call;
  const auto& table = controller_.table();
  if (table != nullptr && table->FindService(want.service) != nullptr) {
    have.retries = static_cast<uint32_t>(controller_.retries().Lend(
        member.info.id.ToString(),
        {.call = want.call,
         .service = want.service,
         .retries = static_cast<int>(std::min(want.retries, kMaxRetries)),
         .validity = Duration(want.validity_us)}));
  }
  outbox_.Send(link, have);
}

void RetryLending::OnHaveRetries(const Member& member,
                                 const HaveRetries& have) {
  if (have.retries == 0) {
    paused_until_[member.info.id.instance] =
        clock_.Now() + options_.pause_after_refusal;
    const auto pending =
        std::ranges::find_if(pending_, [&have](const auto& item) {
          return item.second.request.call == have.call;
        });
    if (pending != pending_.end() &&
        pending->second.asked < options_.max_asked &&
        Ask(RetryLoanRequest(pending->second.request))) {
      return;
    }
  }
  controller_.retries().loans().OnLoan(have.call,
                                       static_cast<int>(have.retries));
}

}  // namespace lavenderkeel
