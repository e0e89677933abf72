#ifndef LAVENDERKEEL_FORWARD_FORWARD_PORT_H_
#define LAVENDERKEEL_FORWARD_FORWARD_PORT_H_

#include <memory>
#include <string>
#include <string_view>

#include "lavenderkeel/forward/attempt.h"
#include "lavenderkeel/http/message_head.h"

namespace lavenderkeel {

/// The connections of a ForwardController. No call may call back into the
/// controller before it returns.
class ForwardPort {
 public:
  virtual ~ForwardPort() = default;

  /// Sends a complete answer to the client.
  virtual void Respond(ExchangeId exchange,
                       const ResponseHead& head,
                       std::string_view body) = 0;
  /// Sends the head of an answer whose length is not known yet.
  virtual void RespondHead(ExchangeId exchange, const ResponseHead& head) = 0;
  virtual void RespondChunk(ExchangeId exchange, std::string_view bytes) = 0;
  virtual void RespondEnd(ExchangeId exchange) = 0;
  /// Breaks the connection, so that a partial answer does not look complete.
  virtual void Abort(ExchangeId exchange) = 0;

  struct OutgoingRequest {
    /// The incarnation to send to; connections to other incarnations are not
    /// used.
    std::string server;
    std::string address;
    /// Echoed in every answer to the request. No connection carries the same id
    /// twice, so that an answer with this id belongs to this attempt.
    std::string request_id;
    /// The encoded head.
    std::string head;
    std::shared_ptr<const std::string> body;
    /// An idle connection may be reused within this time of its last use; zero:
    /// only a new connection.
    Duration max_reuse_idle_time{};
  };
  /// Sends a request to a server.
  virtual void Send(AttemptId attempt, OutgoingRequest outgoing) = 0;
  /// Closes the connection; nothing more is reported for the attempt.
  virtual void Cancel(AttemptId attempt) = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_FORWARD_PORT_H_
