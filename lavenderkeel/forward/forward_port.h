#ifndef LAVENDERKEEL_FORWARD_FORWARD_PORT_H_
#define LAVENDERKEEL_FORWARD_FORWARD_PORT_H_

#include <string>
#include <string_view>

#include "lavenderkeel/forward/attempt.h"
#include "lavenderkeel/http/message_head.h"

namespace lavenderkeel {

/// The connections that a ForwardController acts on. No call leads back into
/// the controller before it has returned.
class ForwardPort {
 public:
  virtual ~ForwardPort() = default;

  /// A whole answer to the client.
  virtual void Respond(ExchangeId exchange,
                       const ResponseHead& head,
                       std::string_view body) = 0;
  /// The head of an answer whose length is not known yet.
  virtual void RespondHead(ExchangeId exchange, const ResponseHead& head) = 0;
  virtual void RespondPart(ExchangeId exchange, std::string_view bytes) = 0;
  virtual void RespondEnd(ExchangeId exchange) = 0;
  /// Breaks the client's connection, so that a part is not taken for a whole.
  virtual void Abort(ExchangeId exchange) = 0;

  struct Sending {
    /// The incarnation that is meant; no other's connections are used.
    std::string server;
    std::string address;
    std::string bytes;
    /// An idle connection may be used if it was used within this time; zero:
    /// only a new one.
    Duration reuse_within{};
  };
  /// Sends a request to a server.
  virtual void Send(AttemptId attempt, Sending sending) = 0;
  /// Drops the attempt's connection; nothing more is reported of it.
  virtual void Cancel(AttemptId attempt) = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_FORWARD_PORT_H_
