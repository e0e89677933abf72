#include "lavenderkeel/gate/server_rest.h"

#include <string_view>

#include "lavenderkeel/notice/answer_notices.h"

namespace lavenderkeel {

ServerRest::Pushback ServerRest::OnRefused(
    const std::vector<std::string>& retry_after,
    TimePoint now) {
  AnswerNotices notices;
  notices.Add(
      NoticeKind::kPushback,
      std::vector<std::string_view>(retry_after.begin(), retry_after.end()));
  Pushback pushback{.rest = options_.default_rest};
  if (!notices.stated().empty()) {
    pushback = {.rest = FromSeconds(notices.stated().front().value),
                .is_stated = true};
  }
  until_ = std::max(until_.value_or(now), now + pushback.rest);
  probe_.reset();
  return pushback;
}

void ServerRest::OnStarted(RunId run, TimePoint now) {
  if (until_.has_value() && now >= *until_ && !probe_.has_value()) {
    probe_ = run;
  }
}

void ServerRest::OnAccepted(RunId run) {
  if (probe_ == run) {
    until_.reset();
    probe_.reset();
  }
}

void ServerRest::OnEnded(RunId run) {
  if (probe_ == run) {
    probe_.reset();
  }
}

uint32_t ServerRest::AllowedInFlight(uint32_t slots,
                                     uint32_t in_flight,
                                     TimePoint now) const {
  if (!until_.has_value()) {
    return slots;
  }
  if (now < *until_) {
    return 0;
  }
  return std::min(slots, in_flight + (probe_.has_value() ? 0U : 1U));
}

}  // namespace lavenderkeel
