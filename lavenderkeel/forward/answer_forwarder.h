#ifndef LAVENDERKEEL_FORWARD_ANSWER_FORWARDER_H_
#define LAVENDERKEEL_FORWARD_ANSWER_FORWARDER_H_

#include <cstddef>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/forward/forward_port.h"
#include "lavenderkeel/forward/forwarded_request.h"
#include "lavenderkeel/http/message_head.h"
#include "lavenderkeel/rollout/version_selector.h"

namespace lavenderkeel {

/// Passes the answers of servers on to the clients: streams event by event,
/// other answers buffered until they are complete or too large.
class AnswerForwarder {
 public:
  struct Options {
    /// Answers that are not streams are buffered up to this size.
    size_t max_buffered_bytes = size_t{256} << 10;
    /// The same while the memory for clients is used up. A truncated answer
    /// can't be fetched again once a part of it is passed on.
    size_t max_buffered_bytes_if_short = size_t{16} << 10;
  };

  AnswerForwarder(const Options& options,
                  ForwardPort& port,
                  VersionSelector& version_selector,
                  const Clock& clock,
                  Metrics& metrics)
      : options_(options),
        port_(port),
        version_selector_(version_selector),
        clock_(clock),
        metrics_(metrics) {}

  /// Returns whether the answer is a successful event stream.
  static bool IsEventStream(const ResponseHead& head);

  /// Handles bytes of the body of an answer.
  void OnChunk(ForwardedRequest& request, std::string bytes);
  /// Ends a complete answer that is not a stream.
  void Finish(ForwardedRequest& request);

 private:
  void ForwardEvents(ForwardedRequest& request);

  Options options_;
  ForwardPort& port_;
  VersionSelector& version_selector_;
  const Clock& clock_;
  Metrics& metrics_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_ANSWER_FORWARDER_H_
