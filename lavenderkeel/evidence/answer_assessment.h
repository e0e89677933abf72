#ifndef LAVENDERKEEL_EVIDENCE_ANSWER_ASSESSMENT_H_
#define LAVENDERKEEL_EVIDENCE_ANSWER_ASSESSMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "lavenderkeel/evidence/run_evidence.h"

namespace lavenderkeel {

/// What the head of a server's answer states of the request and its run,
/// independent of the wire format.
struct AnswerStatements {
  enum class NotRun {
    kNone,
    /// The server did not run the request and never will.
    kStated,
    /// There is such a statement, but its value denies it or isn't known.
    kUnclear,
  };

  int status = 0;
  /// The requests that are answered, without repetitions.
  std::vector<std::string> request_ids = {};
  /// The servers that answer, without repetitions.
  std::vector<std::string> server_ids = {};
  /// The answer has the receipt of a run.
  bool sealed = false;
  NotRun not_run = NotRun::kNone;
  /// The body has an encoding that was not asked for.
  bool encoded = false;

  friend bool operator==(const AnswerStatements&,
                         const AnswerStatements&) = default;
};

/// The attempt whose answer is expected.
struct ExpectedAnswer {
  std::string request_id;
  std::string server_id;
  /// Whether nothing was answered on the connection before.
  bool fresh = false;
};

/// What an answer is to the attempt that awaits one.
struct AnswerAssessment {
  enum class Kind {
    /// It answers another request.
    kOtherRequest,
    /// It proves that the request did not run, see `evidence`.
    kRejection,
    /// It is the server's answer.
    kAnswer,
    /// It is the server's answer, but its status would tell the caller that the
    /// request did not run.
    kWithheld,
    /// It is no valid answer: it proves nothing, and is not passed on.
    kInvalid,
  };

  Kind kind = Kind::kInvalid;
  RunEvidence evidence = RunEvidence::kInvalidAnswer;
  /// Why it is invalid, for log lines.
  std::string_view fault = {};

  friend bool operator==(const AnswerAssessment&,
                         const AnswerAssessment&) = default;
};

/// Assesses the head of an answer. A statement that the request did not run
/// counts only if nothing in the head contradicts it and it can belong to no
/// other attempt.
AnswerAssessment AssessAnswer(const AnswerStatements& answer,
                              const ExpectedAnswer& expected);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_EVIDENCE_ANSWER_ASSESSMENT_H_
