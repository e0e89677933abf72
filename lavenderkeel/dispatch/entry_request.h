#ifndef LAVENDERKEEL_DISPATCH_ENTRY_REQUEST_H_
#define LAVENDERKEEL_DISPATCH_ENTRY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/action/action.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/claim/claim.h"
#include "lavenderkeel/crash/request_fingerprint.h"
#include "lavenderkeel/routing/router.h"

namespace lavenderkeel {

/// What is sent to the backend server; dropped once the request is over.
struct Payload {
  bool service = false;
  std::string method;
  std::string path;
  std::string body;
  /// The first line of the answer; see AnswerRenderer.
  std::string head;
  std::string needs = "engine";
  uint32_t prompt_tokens = 0;
  uint32_t max_tokens = 0;
  std::vector<uint64_t> prefix;

  friend bool operator==(const Payload&, const Payload&) = default;
};

/// What the configuration says of the request's work class and team.
struct WorkTerms {
  std::string team;
  std::string team_key_sha256;
  std::string work;
  std::string tier_name;
  uint32_t tier = 0;
  bool repeatable = false;
  bool deadline_bound = false;
  double weight = 1;

  friend bool operator==(const WorkTerms&, const WorkTerms&) = default;
};

/// A request at its entry.
struct EntryRequest {
  enum class State {
    /// The holders are asked for the key.
    kClaiming,
    /// Agents are asked whether they have it, and to refuse it otherwise.
    kSealing,
    /// Another entry owns it and is asked where it runs.
    kLocating,
    /// Another entry owns it; its answer is read from the agent.
    kFollowing,
    /// Admitted, but its team runs as many as it may, or an equal request is
    /// to show something first; see CrashGuard.
    kHeldBack,
    /// Reservations are placed.
    kWaiting,
    /// The go is sent, no word yet.
    kSent,
    kRunning,
    kDone,
  };

  struct Watcher {
    LinkId link = 0;
    uint64_t subscription = 0;
  };

  RequestKey key;
  std::string public_key;
  /// Made by this entry, so nobody can have used it before.
  bool minted = false;
  /// Came by GET: has nothing to run.
  bool observer = false;
  WorkTerms terms;
  uint64_t body_hash = 0;
  /// Equal for requests of its team for the same work.
  RequestFingerprint fingerprint = 0;
  Payload payload;
  State state = State::kClaiming;
  TimePoint arrived;
  std::optional<TimePoint> deadline;
  /// When the request is looked at next; kept by RequestTable.
  std::optional<TimePoint> timer;

  /// Agents named in the claim, the only ones it may be sent to.
  std::vector<PeerId> eligible;
  /// It was admitted on a claim, which is being made anew.
  bool reclaiming = false;
  /// The agents of that former claim.
  std::vector<PeerId> formerly_eligible;
  std::set<PeerId> reserved;
  /// Where it runs or ran.
  PeerId agent;
  /// When the agent fell silent, or while waiting the last server went away.
  std::optional<TimePoint> silent_since;

  /// The claim of another or former owner.
  Claim held;
  std::set<PeerId> seal_pending;
  /// An agent that may have had it is gone for good.
  bool seal_lost = false;
  /// Microseconds of calendar time when the agents were first asked.
  uint64_t seal_ballot = 0;
  uint32_t sealed_away = 0;

  /// Another entry asked, heard "not run" and takes the key over.
  bool given_away = false;
  /// The platform gave the key to this entry while a holder was silent, so that
  /// this holder has never had the claim.
  bool platform_granted = false;
  /// It was admitted and has stood in the line.
  bool waited = false;
  uint32_t attempts = 0;
  /// Agents whose server accepted no connection for it.
  std::set<PeerId> without_server;
  /// When the go was sent last.
  TimePoint sent_at;
  /// It is held back for what an equal request shows.
  bool held_as_suspect = false;
  bool counted_admitted = false;
  bool counted_running = false;
  ResultCode result = ResultCode::kAnswered;
  std::vector<Watcher> watchers;
  /// What was decided and why, for `explain`.
  std::vector<std::string> history;

  /// Its key was chosen by the caller, who may send it to other entries, and is
  /// claimed since it may run once only.
  bool has_callers_key() const {
    return !terms.repeatable && !minted && !observer;
  }
  bool waiting() const {
    return state == State::kWaiting || state == State::kHeldBack;
  }
  bool at_agent() const {
    return state == State::kSent || state == State::kRunning;
  }
  RouteRequest route() const {
    return {.needs = payload.needs,
            .tier = terms.tier,
            .prompt_tokens = payload.prompt_tokens};
  }
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_ENTRY_REQUEST_H_
