#ifndef LAVENDERKEEL_EVIDENCE_RUN_EVIDENCE_H_
#define LAVENDERKEEL_EVIDENCE_RUN_EVIDENCE_H_

namespace lavenderkeel {

/// What the end of an attempt shows of whether the request ran.
enum class RunEvidence {
  // It did not run, and never will.

  /// No connection was established, so no byte was written.
  kNotSent,
  /// The server stated it, in an answer to this attempt.
  kRejected,
  /// Another server has the address, and stated that it was not meant.
  kOtherServer,
  /// The agent in front of the server did not start it, and will not.
  kNotStarted,

  // It may have run.

  /// The server answered, if only with an error.
  kAnswered,
  /// The connection ended after the request was written.
  kDisconnected,
  /// What arrived is no answer, or contradicts itself.
  kInvalidAnswer,
  /// Nothing arrived for too long.
  kSilent,
  /// The attempt was given up while it was under way.
  kGivenUp,
  /// The agent that has the request reported a failure, or was lost.
  kFailedAtAgent,
};

/// Returns whether the evidence proves that the request did not run and never
/// will.
constexpr bool ProvesNotRun(RunEvidence evidence) {
  switch (evidence) {
    case RunEvidence::kNotSent:
    case RunEvidence::kRejected:
    case RunEvidence::kOtherServer:
    case RunEvidence::kNotStarted:
      return true;
    case RunEvidence::kAnswered:
    case RunEvidence::kDisconnected:
    case RunEvidence::kInvalidAnswer:
    case RunEvidence::kSilent:
    case RunEvidence::kGivenUp:
    case RunEvidence::kFailedAtAgent:
      return false;
  }
  return false;
}

constexpr const char* RunEvidenceName(RunEvidence evidence) {
  switch (evidence) {
    case RunEvidence::kNotSent:
      return "not_sent";
    case RunEvidence::kRejected:
      return "rejected";
    case RunEvidence::kOtherServer:
      return "other_server";
    case RunEvidence::kNotStarted:
      return "not_started";
    case RunEvidence::kAnswered:
      return "answered";
    case RunEvidence::kDisconnected:
      return "disconnected";
    case RunEvidence::kInvalidAnswer:
      return "invalid_answer";
    case RunEvidence::kSilent:
      return "silent";
    case RunEvidence::kGivenUp:
      return "given_up";
    case RunEvidence::kFailedAtAgent:
      return "failed_at_agent";
  }
  return "invalid_answer";
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_EVIDENCE_RUN_EVIDENCE_H_
