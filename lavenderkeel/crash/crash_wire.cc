#include "lavenderkeel/crash/crash_wire.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "lavenderkeel/wire/codec.h"

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

std::vector<CrashNews> ToMessages(const std::vector<CrashReport>& reports,
                                  bool complete,
                                  TimePoint now) {
  // A part takes 8 bytes and a report below 128.
  constexpr size_t kBytesPerPart = 8;
  constexpr size_t kBytesPerReport = 128;
  constexpr size_t kMaxBytes = kMaxFrameSize / 4;
  std::vector<CrashNews> messages;
  std::vector<CrashReport> batch;
  size_t bytes = 0;
  for (const CrashReport& report : reports) {
    const size_t size =
        kBytesPerReport + kBytesPerPart * report.request.parts.size();
    if (!batch.empty() && bytes + size > kMaxBytes) {
      messages.push_back(
          ToWire(std::exchange(batch, {}), /*complete=*/false, now));
      bytes = 0;
    }
    batch.push_back(report);
    bytes += size;
  }
  messages.push_back(ToWire(batch, complete, now));
  return messages;
}

std::vector<CrashReport> FromWire(const CrashNews& message, TimePoint now) {
  constexpr auto kLast = static_cast<uint8_t>(CrashReport::Kind::kTrialEnded);
  std::vector<CrashReport> reports;
  for (const auto& evidence : message.evidence) {
    if (evidence == nullptr || evidence->kind > kLast) {
      continue;
    }
    reports.push_back(
        {.kind = static_cast<CrashReport::Kind>(evidence->kind),
         .request = MakeTraits(evidence->request, evidence->parts),
         .server = evidence->server,
         .place = evidence->place,
         .sent = now - AgeFromWire(evidence->sent_age_us),
         .ended = now - AgeFromWire(evidence->ended_age_us)});
  }
  return reports;
}

}  // namespace lavenderkeel
