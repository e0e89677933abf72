#ifndef LAVENDERKEEL_FORWARD_ATTEMPT_H_
#define LAVENDERKEEL_FORWARD_ATTEMPT_H_

#include <cstdint>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/evidence/run_evidence.h"

namespace lavenderkeel {

/// Id of a client request at this entry.
using ExchangeId = uint64_t;
/// Id of one attempt at one backend server.
using AttemptId = uint64_t;

/// With less time left than this, a further attempt cannot be answered in time.
constexpr Duration kMinTimeForAttempt = std::chrono::milliseconds(30);

/// Reason why an attempt ended without a complete answer.
enum class AttemptFailure {
  /// No connection was established, so nothing was sent.
  kNotConnected,
  /// The server states that it did not run the request.
  kRejected,
  /// Another server has the address and did not run the request.
  kWrongServer,
  /// The connection was closed or reset before the answer was complete, as when
  /// the server process ends.
  kDisconnected,
  /// The bytes received are no complete answer.
  kBroken,
  /// No bytes arrived for too long; the connection was dropped.
  kSilent,
};

/// Returns what a failure shows about the run of the request. However the
/// connection was closed, the server may have run it: only a statement of the
/// server, or the lack of a connection, proves otherwise.
constexpr RunEvidence EvidenceOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotConnected:
      return RunEvidence::kNotSent;
    case AttemptFailure::kRejected:
      return RunEvidence::kRejected;
    case AttemptFailure::kWrongServer:
      return RunEvidence::kOtherServer;
    case AttemptFailure::kDisconnected:
      return RunEvidence::kDisconnected;
    case AttemptFailure::kBroken:
      return RunEvidence::kInvalidAnswer;
    case AttemptFailure::kSilent:
      return RunEvidence::kSilent;
  }
  return RunEvidence::kInvalidAnswer;
}

constexpr const char* AttemptFailureName(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotConnected:
      return "not_connected";
    case AttemptFailure::kRejected:
      return "rejected";
    case AttemptFailure::kWrongServer:
      return "wrong_server";
    case AttemptFailure::kDisconnected:
      return "disconnected";
    case AttemptFailure::kBroken:
      return "broken";
    case AttemptFailure::kSilent:
      return "silent";
  }
  return "broken";
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_ATTEMPT_H_
