#ifndef LAVENDERKEEL_DISPATCH_ENTRY_CONTEXT_H_
#define LAVENDERKEEL_DISPATCH_ENTRY_CONTEXT_H_

#include <functional>
#include <random>

#include "lavenderkeel/action.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/claim.h"
#include "lavenderkeel/config.h"
#include "lavenderkeel/crash.h"
#include "lavenderkeel/dispatch/caller_feed.h"
#include "lavenderkeel/dispatch/request_table.h"
#include "lavenderkeel/dispatch/retry_budget.h"
#include "lavenderkeel/dispatch/team_usage.h"
#include "lavenderkeel/membership.h"
#include "lavenderkeel/routing.h"

namespace lavenderkeel {

struct DispatchOptions {
  /// Agents that hold a reservation at first.
  size_t candidates = 3;
  /// Agents named in a claim.
  size_t eligible = 4;
  /// Without an offer for so long, further agents get a reservation.
  Duration widen_after = std::chrono::milliseconds(500);
  /// How long a silent agent may take to come back before its requests are
  /// reported unknown, counted from when it was judged lost.
  Duration server_patience = std::chrono::seconds(8);
  /// How long agents may take to say whether they have a request.
  Duration seal_patience = std::chrono::seconds(3);
  /// How long an ended request is remembered here.
  Duration keep_ended = std::chrono::minutes(10);
  /// How often a request that is held back as suspect is looked at.
  Duration suspect_period = std::chrono::milliseconds(100);
  size_t max_waiting = 5000;
  uint32_t max_attempts = 4;
  RetryBudget::Options retries;
};

/// What the controllers of an entry share, and how they hand requests on.
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
  KeyRegister& key_register;
  RequestTable& requests;
  CallerFeed& feed;
  CrashGuard& crashes;

  /// The key is ours for certain: check the limits and find it a server.
  std::function<void(EntryRequest&)> admit;
  /// It runs, or ran, at request.agent: read the answer there.
  std::function<void(EntryRequest&)> follow;
  /// The final outcome; every caller is told at once.
  std::function<void(EntryRequest&, ResultCode)> conclude;
  /// An entry that may live is silent.
  std::function<bool()> any_entry_silent;
  /// When an entry that may live was last silent, as of the last tick.
  TimePoint entry_silent_at = TimePoint::min();
  /// An agent that serves was met since the start.
  bool seen_server = false;
  bool leaving = false;
  TimePoint left_at = TimePoint::max();
  /// When another entry may last have held this one for dead: up to then it may
  /// have taken over any key that was claimed here.
  TimePoint maybe_lost_at = TimePoint::min();

  /// Whether the code tells a caller that its key did not run. A key that was
  /// used with another body says so of this request only.
  static bool SaysNotRun(ResultCode code) {
    return Describe(code).outcome == Outcome::kNotRun &&
           code != ResultCode::kKeyReused;
  }

  /// Whether another entry may own the key by now. A retry elsewhere is the
  /// only way to a second owner, so only keys that callers chose are in doubt.
  bool MayHaveBeenTakenOver(const EntryRequest& request) const {
    return request.has_callers_key() && maybe_lost_at >= request.arrived;
  }

  /// What may be said of a key whose outcome was, or would be, `code`.
  ///
  /// Failure: this entry stood still or was cut off, another held it for dead,
  /// took the key over and ran it. Symptom: this one, back again, tells its
  /// caller, or an entry that asks, "not run".
  ResultCode AsFarAsKnown(const EntryRequest& request, ResultCode code) const {
    const bool doubtful = SaysNotRun(code) && MayHaveBeenTakenOver(request);
    return doubtful ? ResultCode::kCannotVouch : code;
  }

  /// Notes a decision for `explain`.
  void Note(EntryRequest& request, std::string what) const {
    constexpr size_t kMaxHistory = 40;
    if (request.history.size() < kMaxHistory) {
      request.history.push_back(
          std::to_string(ToMilliseconds(clock.Now() - request.arrived)) +
          " ms: " + std::move(what));
    }
  }

  /// Tells those who asked where the request runs, or how it ended.
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
