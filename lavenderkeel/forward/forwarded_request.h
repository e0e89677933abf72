#ifndef LAVENDERKEEL_FORWARD_FORWARDED_REQUEST_H_
#define LAVENDERKEEL_FORWARD_FORWARDED_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/crash_suspicion.h"
#include "lavenderkeel/crash/request_traits.h"
#include "lavenderkeel/evidence/run_history.h"
#include "lavenderkeel/forward/attempt.h"
#include "lavenderkeel/forward/request_metadata.h"
#include "lavenderkeel/forward/route_table.h"
#include "lavenderkeel/http/event_stream.h"
#include "lavenderkeel/http/message_head.h"
#include "lavenderkeel/memory/memory_budget.h"
#include "lavenderkeel/retry/retry_decision.h"
#include "lavenderkeel/rollout/version_selector.h"

namespace lavenderkeel {

/// A client request from its arrival to its final answer.
struct ForwardedRequest {
  enum class State {
    /// Waits for a slot at a server, or for the result of an equal request, see
    /// CrashGuard.
    kWaiting,
    /// Sent to a server.
    kSent,
  };

  ExchangeId exchange = 0;
  RequestHead head;
  /// Shared with the connection that sends it.
  std::shared_ptr<const std::string> body;
  /// What is held for the request.
  MemoryCharge memory;
  /// What is held of the answer and not passed on.
  MemoryCharge answer_memory;
  RequestMetadata metadata;
  /// The configuration in force on arrival; keeps `route` alive.
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  std::string service;
  bool model_server = false;
  std::string team;
  RequestTraits traits;
  int priority = 0;
  /// Whether the priority is that of the team, not of the route.
  bool has_team_priority = false;
  /// The answer is expected to be much longer than usual for the route.
  bool is_long = false;
  TimePoint arrived;
  /// Estimate of when the client first sent the request: before `arrived` if it
  /// was refused before and came back.
  TimePoint first_sent;
  /// Deadline of the final answer, from the client or the route.
  TimePoint due;

  State state = State::kWaiting;
  TimePoint waiting_since;
  /// Predicted wait of a new request; nothing if none was predicted.
  std::optional<Duration> predicted_wait;
  /// Whether the request waits without a slot request.
  bool held = false;
  /// Crash suspicion at the time of the slot request.
  CrashSuspicion suspicion = CrashSuspicion::kClear;

  AttemptId attempt = 0;
  /// Start key, id and address of the server.
  std::string server;
  std::string server_id;
  std::string server_address;
  /// Rollout data of the attempt that was sent last.
  VersionSelector::Attempt version_attempt = {};
  TimePoint sent_at;
  /// Whether the attempt is a trial run, see CrashGuard.
  bool is_crash_trial = false;
  /// When the last byte arrived, or the attempt was sent.
  TimePoint last_received_at;
  /// Slot request for an attempt at another server, made while that of the
  /// present attempt is silent; 0: none.
  AttemptId replacement = 0;
  TimePoint next_replacement_at;
  std::optional<ResponseHead> answer_head;
  std::string answer_body;
  /// What the head of a rejection proves; nothing for another answer.
  std::optional<AttemptFailure> rejection;
  /// The answer is not passed on, since its status would state that the request
  /// did not run.
  bool withheld = false;
  /// When the body began that is read and not used, and its size so far.
  TimePoint discarding_since;
  size_t discarded_bytes = 0;
  /// The answer is an event stream.
  bool answer_streams = false;
  EventStreamReader events;
  /// Events of this attempt, and the arrival of the first.
  int event_count = 0;
  TimePoint first_event_at;

  /// Servers that the request was sent to, in order.
  std::vector<std::string> tried;
  /// What is known of its runs.
  RunHistory runs;
  /// Whether a retry is reserved for the next attempt, see RetryBound.
  bool retry_reserved = false;
  /// Until when the retry that is borrowed for the next attempt is valid.
  std::optional<TimePoint> borrowed_until;
  /// The same for the attempt that was sent last.
  std::optional<TimePoint> sent_on_loan_until;
  /// The request waits for a loan up to this time.
  std::optional<TimePoint> loan_wait_end;
  /// The part of the bound on retries that the attempt that was sent last
  /// counts against; nothing if it is no retry, or was borrowed.
  std::optional<RetrySource> counted_against;
  /// The last attempt brought a complete answer, an error.
  bool has_error_answer = false;
  /// The client has the head of an incomplete answer.
  bool head_sent = false;
  /// Id of the last event that was sent to the client.
  std::string last_event_id;
  TimePoint last_event_at;
  /// Longest pause between two events sent to the client, over all attempts.
  Duration longest_pause{};

  /// Returns whether the request was never sent and is not suspected of
  /// crashing servers.
  bool fresh() const {
    return tried.empty() && !head_sent && suspicion == CrashSuspicion::kClear;
  }
  /// Returns whether the client was refused before and came back. The times
  /// left of clients that send for the first time differ by less.
  bool is_retry() const {
    return arrived - first_sent >= std::chrono::milliseconds(100);
  }
  bool discards_answer() const { return rejection.has_value() || withheld; }
  bool streams() const { return route->streaming; }
  bool may_repeat() const { return route->may_repeat(); }
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_FORWARDED_REQUEST_H_
