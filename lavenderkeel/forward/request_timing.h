#ifndef LAVENDERKEEL_FORWARD_REQUEST_TIMING_H_
#define LAVENDERKEEL_FORWARD_REQUEST_TIMING_H_

#include <optional>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/forwarded_request.h"

namespace lavenderkeel {

/// How long a request waits for a slot, until when it can be in time, and how
/// long its server may be silent. Pure: the request and the options decide.
class RequestTiming {
 public:
  struct Options {
    /// A client leaves when nothing came for the longest of these three. They
    /// are what the users' clients do.
    Duration client_patience = std::chrono::seconds(2);
    double client_patience_per_target = 4;
    double client_patience_per_gap = 8;
    /// A request waits for a slot this part of its client's patience and of the
    /// time until its answer is due, then is refused; the rest is for the
    /// server. Most late answers are still worth a third to the client.
    double wait_per_patience = 0.7;
    double wait_per_time_left = 0.4;
    /// Who waited in vain comes back after this part of the time it has left.
    /// Load it answers: a burst of some seconds. Clients come back once, and
    /// whoever came back after 0.3 s waited and was refused again; later there
    /// is room. Clients wait for a third of their time at most. Refusals of the
    /// least urgent rank fell by a tenth, see docs/POLICY.md.
    double come_back_per_time_left = 0.3;
    /// Bursts last no longer.
    Duration longest_come_back = std::chrono::seconds(4);
    /// A repeatable request is sent anew if the server stays silent for this
    /// multiple of the target. Three times the target is past the slowest of a
    /// hundred sound answers.
    double silence_per_target = 3.0;
    /// A stream is resumed elsewhere if it pauses for this multiple of the
    /// gap that clients find fluent.
    double silence_per_gap = 3.0;
    /// The shortest silence that counts, for targets that are very tight.
    Duration least_silence = std::chrono::milliseconds(300);
    /// Prompt tokens that a slow model server reads in a millisecond; a long
    /// prompt is allowed its time before a server counts as silent.
    double slow_prompt_tokens_per_ms = 15;
  };

  explicit RequestTiming(const Options& options) : options_(options) {}

  /// When a wait for a slot ends without one.
  TimePoint WaitsUntil(const ForwardedRequest& request) const;
  /// A start at a server after this is late for the client.
  ///
  /// Load it answers: a line at a plain service that never empties, in which
  /// each request is granted its place just before it would be late. With no
  /// time, or the mean time, left for the server half of the answers came just
  /// too late.
  /// @param answer_time what plain servers take, at the long end. A model
  ///     server's time is that for the prompt: with one time for long and short
  ///     prompts a long one waited too long for a server that it suits, and
  ///     0.04 of all worth was lost on quiet days
  TimePoint InTimeUntil(const ForwardedRequest& request,
                        std::optional<Duration> answer_time) const;
  /// When a client that is refused at the end of its wait is to come back: of
  /// what it has left then, and never past the longest pause.
  Duration ComeBackAfter(const ForwardedRequest& request) const;
  /// After such a silence the server is given up.
  Duration LongestSilence(const ForwardedRequest& request) const;

 private:
  /// How long a client takes a pause before it leaves, in seconds.
  double Patience(const Route& route) const;
  /// What a slow model server needs to read the prompt.
  Duration PromptTime(const ForwardedRequest& request) const;

  Options options_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_REQUEST_TIMING_H_
