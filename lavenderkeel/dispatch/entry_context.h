#ifndef LAVENDERKEEL_DISPATCH_ENTRY_CONTEXT_H_
#define LAVENDERKEEL_DISPATCH_ENTRY_CONTEXT_H_

#include <functional>
#include <random>

#include "lavenderkeel/action.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/claim.h"
#include "lavenderkeel/config.h"
#include "lavenderkeel/crash.h"
#include "lavenderkeel/dispatch/caller_subscriptions.h"
#include "lavenderkeel/dispatch/request_table.h"
#include "lavenderkeel/dispatch/team_usage.h"
#include "lavenderkeel/membership.h"
#include "lavenderkeel/retry.h"
#include "lavenderkeel/routing.h"

namespace lavenderkeel {

struct DispatchOptions {
  /// Number of agents that get a reservation at first.
  size_t candidates = 3;
  /// Number of agents named in a claim.
  size_t eligible = 4;
  /// Time without a slot offer after which further agents get a reservation.
  Duration widen_after = std::chrono::milliseconds(500);
  /// How long a lost agent may take to reconnect before the outcome of its
  /// requests is reported unknown, counted from the detection of the loss.
  Duration server_lost_timeout = std::chrono::seconds(8);
  /// Timeout for the agents' replies on whether they have a request.
  Duration seal_timeout = std::chrono::seconds(3);
  /// How long a completed request stays in the table.
  Duration keep_ended = std::chrono::minutes(10);
  /// Interval at which a request held back as suspect is reconsidered.
  Duration suspect_period = std::chrono::milliseconds(100);
  size_t max_waiting = 5000;
  uint32_t max_attempts = 4;
  /// The bound on the retries of this entry, over all its processes.
  RetryBound::Options retries = {.ratio = 0.1, .extra_burst_fraction = 2.0 / 3};
  double extra_retries = 30;
};

/// State shared by the controllers of an entry, and the callbacks by which they
/// pass requests on.
struct EntryContext {
  const DispatchOptions& options;
  const Clock& clock;
  std::mt19937_64& random;
  const EventLog& log;
  Metrics& metrics;
  Outbox& outbox;
  MemberTable& members;
  Router& router;
  ConfigStore& config;
  Claimer& claimer;
  KeyArbiter& key_arbiter;
  RequestTable& requests;
  CallerSubscriptions& caller_subscriptions;
  CrashGuard& crashes;

  /// Checks the limits of a request whose key this entry owns and queues it.
  std::function<void(EntryRequest&)> admit;
  /// Reads the answer of a request that runs, or ran, at request.agent.
  std::function<void(EntryRequest&)> follow;
  /// Ends a request with its final outcome and notifies every caller.
  std::function<void(EntryRequest&, ResultCode)> conclude;
  /// True while an entry that may still be running is unreachable.
  std::function<bool()> has_unconfirmed_loss;
  /// When an entry that may still be running was last unreachable, as of the
  /// last tick.
  TimePoint unconfirmed_loss_at = TimePoint::min();
  /// An agent that can take a request was known at some time since the start.
  bool has_seen_agent = false;
  /// A former process of this entry may have sent retries.
  bool has_predecessor = true;
  bool leaving = false;
  TimePoint leaving_since = TimePoint::max();
  /// When another entry may last have presumed this one lost: until then it may
  /// have taken over any key that was claimed here.
  TimePoint presumed_lost_at = TimePoint::min();

  /// Returns true if the code reports that the key did not run. kKeyReused
  /// reports this of the current request only, not of the key.
  static bool MeansNotRun(ResultCode code) {
    return Describe(code).outcome == Outcome::kNotRun &&
           code != ResultCode::kKeyReused;
  }

  /// Returns true if another entry may own the key by now. Only a retry at
  /// another entry can lead to a second owner, so this applies only to keys
  /// chosen by callers.
  bool MayHaveBeenTakenOver(const EntryRequest& request) const {
    return request.has_callers_key() && presumed_lost_at >= request.arrived;
  }

  /// Returns `code`, or a code without an outcome if `code` reports "not run"
  /// although the request may have run, here or at another entry.
  ///
  /// While this entry was frozen or partitioned, another entry may have
  /// presumed it lost, taken the key over and run it. Back again, this entry
  /// must not report "not run" to its caller or to an entry that queries it.
  ResultCode DowngradeIfUncertain(const EntryRequest& request,
                                  ResultCode code) const {
    if (!MeansNotRun(code)) {
      return code;
    }
    return MayHaveBeenTakenOver(request)
               ? ResultCode::kCannotVouch
               : request.runs.CodeFor(code, request.result_in_doubt);
  }

  /// Appends a decision to the request's history, shown by `explain`.
  void Note(EntryRequest& request, std::string what) const {
    constexpr size_t kMaxHistory = 40;
    if (request.history.size() < kMaxHistory) {
      request.history.push_back(
          std::to_string(ToMilliseconds(clock.Now() - request.arrived)) +
          " ms: " + std::move(what));
    }
  }

  /// Sends the location or outcome of the request to the entries that queried
  /// it.
  void NotifyWatchers(EntryRequest& request) const {
    for (const EntryRequest::Watcher& watcher : request.watchers) {
      SendLocated(watcher.link, request, watcher.subscription);
    }
    request.watchers.clear();
  }

  void SendLocated(LinkId link,
                   const EntryRequest& request,
                   uint64_t subscription) const {
    Located located;
    located.key = ToWire(request.key);
    located.subscription = subscription;
    located.code = static_cast<uint32_t>(
        request.state == EntryRequest::State::kDone ? request.result
                                                    : ResultCode::kAnswered);
    located.agent = request.agent.instance;
    located.agent_incarnation = request.agent.incarnation;
    outbox.Send(link, std::move(located));
  }
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_ENTRY_CONTEXT_H_
