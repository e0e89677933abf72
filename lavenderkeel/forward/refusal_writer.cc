#include "lavenderkeel/forward/refusal_writer.h"

#include <algorithm>

#include "lavenderkeel/base/refusal_body.h"
#include "lavenderkeel/base/result_code.h"

namespace lavenderkeel {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// Formats the wait in seconds with three decimals; clients accept fractions.
std::string RetryAfterValue(Duration wait) {
  constexpr int64_t kMillisecondsPerSecond = 1000;
  const int64_t ms = std::max<int64_t>(1, ToMilliseconds(wait));
  std::string fraction = std::to_string(ms % kMillisecondsPerSecond);
  constexpr size_t kDecimals = 3;
  fraction.insert(0, kDecimals - fraction.size(), '0');
  return std::to_string(ms / kMillisecondsPerSecond) + "." + fraction;
}

}  // namespace

void RefusalWriter::Write(ExchangeId exchange,
                          const std::string& request_id,
                          const Refusal& refusal,
                          const RunHistory& runs) {
  const ResultCodeInfo& info = Describe(CodeOf(refusal, runs));
  const Duration wait = RetryAfterOf(refusal);
  ResponseHead head{.status = info.http_status,
                    .fields = codec_.own_answer_fields(request_id)};
  head.fields.push_back({.name = "Content-Type", .value = "application/json"});
  if (info.http_status == kTooManyRequests ||
      info.http_status == kUnavailable) {
    head.fields.push_back(
        {.name = "Retry-After", .value = RetryAfterValue(wait)});
  }
  metrics_.Add("refused{result=\"" + std::string(info.name) + "\"}");
  port_.Respond(exchange, head,
                RefusalBody(info.code, info.message, wait) + "\n");
}

}  // namespace lavenderkeel
