#ifndef LAVENDERKEEL_FORWARD_ATTEMPT_H_
#define LAVENDERKEEL_FORWARD_ATTEMPT_H_

#include <cstdint>

namespace lavenderkeel {

/// One client request at this entry.
using ExchangeId = uint64_t;
/// One sending of a request to one backend server.
using AttemptId = uint64_t;

/// How an attempt ended that brought no whole answer.
enum class AttemptFailure {
  /// No connection came about: nothing was sent.
  kNotConnected,
  /// The server states that it did not run the request.
  kRejected,
  /// Another server has the address; it did not run the request.
  kWrongServer,
  /// The connection closed or was reset before the answer was whole, as when
  /// the server ends.
  kDisconnected,
  /// What came is no whole answer to this request.
  kBroken,
  /// Nothing came for too long; the connection was dropped.
  kSilent,
};

/// What is known about whether a request ran at a server.
enum class RunState { kUnsent, kProvedNotRun, kMayHaveRun };

/// A server that closes its connection in whatever way may have run the
/// request: only its own word, or the lack of a connection, says otherwise.
constexpr RunState RunStateAfter(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotConnected:
      return RunState::kUnsent;
    case AttemptFailure::kRejected:
    case AttemptFailure::kWrongServer:
      return RunState::kProvedNotRun;
    case AttemptFailure::kDisconnected:
    case AttemptFailure::kBroken:
    case AttemptFailure::kSilent:
      return RunState::kMayHaveRun;
  }
  return RunState::kMayHaveRun;
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
