#ifndef LAVENDERKEEL_FORWARD_REQUEST_TIMING_H_
#define LAVENDERKEEL_FORWARD_REQUEST_TIMING_H_

#include <optional>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/forwarded_request.h"

namespace lavenderkeel {

/// Time limits of a request: its wait for a slot, the latest start that is in
/// time, and the permitted silence of its server. The limits depend only on the
/// request and the options.
class RequestTiming {
 public:
  struct Options {
    /// A client leaves if nothing arrives for the longest of three times, given
    /// by this option and the next two. The values describe how clients behave.
    Duration client_patience = std::chrono::seconds(2);
    double client_patience_per_target = 4;
    double client_patience_per_gap = 8;
    /// A request waits for a slot for the smaller of these fractions of the
    /// client's patience and of the time until the answer is due, then is
    /// refused; the rest is for the server. Most late answers are still worth a
    /// third to the client.
    double wait_per_patience = 0.7;
    double wait_per_time_left = 0.4;
    /// Fraction of the patience for a client that came back, and does so only
    /// once; the time for its prompt is deducted. Nothing: as for all.
    std::optional<double> retry_wait_per_patience = {};
    /// A client that got no slot is to come back after this fraction of its
    /// time left. In a burst of some seconds, a client that came back after 0.3
    /// s waited and was refused again, and clients come back only once; later
    /// there is capacity. Clients wait for a third of their time at most. The
    /// least urgent rank has a tenth fewer refusals with this value, see
    /// docs/POLICY.md.
    double retry_after_per_time_left = 0.3;
    /// Upper bound of Retry-After: no burst lasts longer.
    Duration max_retry_after = std::chrono::seconds(4);
    /// A repeatable request is sent again if the server is silent for this
    /// multiple of the latency target. Three times the target exceeds the
    /// slowest of a hundred answers of healthy servers.
    double silence_per_target = 3.0;
    /// A stream is resumed at another server if it pauses for this multiple of
    /// the event gap target.
    double silence_per_gap = 3.0;
    /// Lower bound of the permitted silence, for very tight targets.
    Duration min_silence = std::chrono::milliseconds(300);
    /// Prompt tokens per millisecond that a slow model server reads. The
    /// permitted silence is longer by the time for the prompt.
    double slow_prompt_tokens_per_ms = 15;
  };

  explicit RequestTiming(const Options& options) : options_(options) {}

  /// Returns when a request that got no slot ends its wait.
  TimePoint SlotWaitEnd(const ForwardedRequest& request) const;
  /// Returns the latest start at a server with which the answer is in time for
  /// the client.
  ///
  /// In a queue of a plain service that never empties, each request is granted
  /// its slot just before it would be late. If no time, or the mean time, is
  /// left for the server, half of the answers are just too late.
  /// @param answer_time a high quantile of the answer times of plain servers.
  ///     For a model server the time for the prompt counts instead: with the
  ///     same time for long and short prompts, a long prompt waits too long for
  ///     a suitable server, which costs 0.04 of the total value on quiet days
  TimePoint LatestStartInTime(const ForwardedRequest& request,
                              std::optional<Duration> answer_time) const;
  /// Returns the Retry-After of a request that is refused at the end of its
  /// wait: a fraction of its time left at that point, up to the maximum.
  Duration RetryAfter(const ForwardedRequest& request) const;
  /// Returns the silence of a server after which the attempt is abandoned.
  Duration MaxSilence(const ForwardedRequest& request) const;

 private:
  /// Returns how long a client tolerates a pause before it leaves, in seconds.
  double PatienceSeconds(const Route& route) const;
  /// Returns the time that a slow model server needs to read the prompt.
  Duration PromptReadTime(const ForwardedRequest& request) const;

  Options options_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_REQUEST_TIMING_H_
