#include "lavenderkeel/notice/notice_wire.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace lavenderkeel {

namespace {

bool IsValid(const fbs::NoticeReportT& report) {
  const bool known =
      std::ranges::any_of(kNoticeKinds, [&report](NoticeKind kind) {
        return static_cast<uint8_t>(kind) == report.kind;
      });
  if (!known || report.server.empty()) {
    return false;
  }
  const NoticeRules rules = RulesOf(static_cast<NoticeKind>(report.kind));
  return rules.shared && report.value >= rules.min_value &&
         report.value <= rules.max_value;
}

}  // namespace

void PutNotices(const std::vector<ServerNotice>& notices,
                TimePoint now,
                ForwardStatus& status) {
  for (const ServerNotice& notice : notices) {
    auto report = std::make_unique<fbs::NoticeReportT>();
    report->server = notice.server;
    report->kind = static_cast<uint8_t>(notice.kind);
    report->value = notice.value;
    report->in_force = notice.in_force;
    report->age_us = (now - notice.said_at).count();
    report->source = notice.source;
    status.notices.push_back(std::move(report));
  }
}

std::vector<ServerNotice> NoticesFromWire(const ForwardStatus& status,
                                          TimePoint now) {
  std::vector<ServerNotice> notices;
  for (const auto& report : status.notices) {
    if (report == nullptr || !IsValid(*report)) {
      continue;
    }
    const Duration age = std::max(Duration::zero(), Duration(report->age_us));
    notices.push_back({.server = report->server,
                       .kind = static_cast<NoticeKind>(report->kind),
                       .value = report->value,
                       .in_force = report->in_force,
                       .said_at = now - age,
                       .source = report->source});
  }
  return notices;
}

}  // namespace lavenderkeel
