#include "lavenderkeel/crash/crash_wire.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace lavenderkeel {

namespace {

Duration AgeFromWire(int64_t age_us) {
  return std::max(Duration::zero(), Duration(age_us));
}

}  // namespace

CrashNews ToWire(const std::vector<CrashReport>& reports,
                 bool complete,
                 TimePoint now) {
  CrashNews message;
  message.complete = complete;
  for (const CrashReport& report : reports) {
    auto evidence = std::make_unique<CrashEvidence>();
    evidence->kind = static_cast<uint8_t>(report.kind);
    evidence->request = report.request.fingerprint;
    evidence->parts = report.request.parts;
    evidence->server = report.server;
    evidence->place = report.place;
    evidence->sent_age_us = (now - report.sent).count();
    evidence->ended_age_us = (now - report.ended).count();
    message.evidence.push_back(std::move(evidence));
  }
  return message;
}

std::vector<CrashReport> FromWire(const CrashNews& message, TimePoint now) {
  constexpr auto kLast = static_cast<uint8_t>(CrashReport::Kind::kTrialEnded);
  std::vector<CrashReport> reports;
  for (const auto& evidence : message.evidence) {
    if (evidence == nullptr || evidence->kind > kLast) {
      continue;
    }
    reports.push_back({.kind = static_cast<CrashReport::Kind>(evidence->kind),
                       .request = {.fingerprint = evidence->request,
                                   .parts = evidence->parts},
                       .server = evidence->server,
                       .place = evidence->place,
                       .sent = now - AgeFromWire(evidence->sent_age_us),
                       .ended = now - AgeFromWire(evidence->ended_age_us)});
  }
  return reports;
}

}  // namespace lavenderkeel
