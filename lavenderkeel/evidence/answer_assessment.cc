#include "lavenderkeel/evidence/answer_assessment.h"

#include <algorithm>

#include "lavenderkeel/evidence/not_run_status.h"

namespace lavenderkeel {

namespace {

using Kind = AnswerAssessment::Kind;
using NotRun = AnswerStatements::NotRun;

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

AnswerAssessment Invalid(std::string_view fault) {
  return {.kind = Kind::kInvalid, .fault = fault};
}

/// Returns whether a server that does not run a request may answer with the
/// status. Others tell of a result.
bool IsStatusOfRejection(int status) {
  return status == kUnavailable ||
         (status >= kFirstClientError && status < kFirstServerError);
}

bool IsFrom(const AnswerStatements& answer, const std::string& server_id) {
  return std::ranges::find(answer.server_ids, server_id) !=
         answer.server_ids.end();
}

AnswerAssessment AssessRejection(const AnswerStatements& answer,
                                 const ExpectedAnswer& expected) {
  if (!IsStatusOfRejection(answer.status)) {
    return Invalid("status");
  }
  if (answer.sealed) {
    return Invalid("receipt");
  }
  // Without an id it can only be that of the first request on a connection.
  if (answer.request_ids.empty() && !expected.fresh) {
    return Invalid("no_id");
  }
  const bool is_misdirected = answer.status == kMisdirected;
  const bool is_expected_server = IsFrom(answer, expected.server_id);
  if (is_misdirected && is_expected_server && answer.not_run == NotRun::kNone) {
    return Invalid("server");
  }
  return {.kind = Kind::kRejection,
          .evidence = is_misdirected && !is_expected_server
                          ? RunEvidence::kOtherServer
                          : RunEvidence::kRejected};
}

}  // namespace

AnswerAssessment AssessAnswer(const AnswerStatements& answer,
                              const ExpectedAnswer& expected) {
  if (answer.request_ids.size() > 1) {
    return Invalid("ids");
  }
  if (!answer.request_ids.empty() &&
      answer.request_ids.front() != expected.request_id) {
    return {.kind = Kind::kOtherRequest};
  }
  if (answer.not_run == NotRun::kUnclear) {
    return Invalid("statement");
  }
  const bool is_misdirected = answer.status == kMisdirected && !answer.sealed;
  if (answer.not_run == NotRun::kStated || is_misdirected) {
    return AssessRejection(answer, expected);
  }
  if (answer.request_ids.empty()) {
    return Invalid("no_id");
  }
  if (!answer.sealed) {
    return Invalid("no_receipt");
  }
  if (answer.encoded) {
    return Invalid("encoding");
  }
  return {.kind = StatesNotRun(answer.status) ? Kind::kWithheld : Kind::kAnswer,
          .evidence = RunEvidence::kAnswered};
}

}  // namespace lavenderkeel
