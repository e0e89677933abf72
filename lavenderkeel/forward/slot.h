#ifndef LAVENDERKEEL_FORWARD_SLOT_H_
#define LAVENDERKEEL_FORWARD_SLOT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/crash_suspicion.h"
#include "lavenderkeel/forward/attempt.h"
#include "lavenderkeel/forward/work_size.h"

namespace lavenderkeel {

/// The part of a service's servers that one scheduler manages: those whose hash
/// modulo `count` is `index`.
struct SlotGroup {
  uint32_t index = 0;
  uint32_t count = 1;

  bool Contains(uint64_t server_hash) const {
    return server_hash % count == index;
  }

  friend auto operator<=>(const SlotGroup&, const SlotGroup&) = default;
};

/// Queue of the requests of one rank at the scheduler of a group.
struct RankLoad {
  int priority = 0;
  int route_priority = 0;
  int waiting = 0;
  /// Slots granted to the rank since the start of the scheduler's entry.
  uint64_t granted = 0;
  /// Waiting requests that can no longer be in time, which go behind the others
  /// of the rank.
  int late = 0;

  friend bool operator==(const RankLoad&, const RankLoad&) = default;
};

/// State of a group, as its scheduler reports it.
struct SlotGroupReport {
  uint64_t service_hash = 0;
  SlotGroup group;
  int free = 0;
  int waiting = 0;
  /// Queues by rank; empty if the scheduler does not report them.
  std::vector<RankLoad> ranks = {};

  friend bool operator==(const SlotGroupReport&,
                         const SlotGroupReport&) = default;
};

/// Request of an entry for a slot at some server of a service.
struct SlotRequest {
  /// The attempt that needs the slot; unique within the requesting entry.
  AttemptId attempt = 0;
  std::string service;
  bool model_server = false;
  SlotGroup group;
  /// Priority rank, 0 first: the team's, or the route's if there is no team.
  int priority = 0;
  /// Priority rank of the route. Most teams have the same rank, while the value
  /// of their requests differs twentyfold.
  int route_priority = 0;
  /// A later start is late for the client; late requests go behind others of
  /// the same rank that can still be in time.
  TimePoint in_time_until;
  /// Deadline of the final answer.
  TimePoint due;
  /// Hashes of the servers at which this request failed before.
  std::vector<uint64_t> tried;
  /// Estimated work for a model server.
  WorkSize size;
  /// Longest pause between events that the client accepts as fluent; zero if it
  /// is not a stream.
  Duration event_gap_target{};
  /// Whether it is ordered by estimated length among others of its rank,
  /// shorter first.
  bool by_length = false;
  /// Server version that the request must run at; empty for any.
  std::string version = {};
  /// Server version to prefer if one of its servers has a free slot; empty for
  /// none.
  std::string canary_version = {};
  /// Evidence that the request crashes servers.
  CrashSuspicion suspicion = CrashSuspicion::kClear;
  /// Hash of the team's name; zero without a team.
  uint64_t team = 0;
  /// Share of the team relative to other teams of the same rank.
  double team_weight = 1;
  /// Data centre of the requesting entry; empty if it is not known.
  std::string data_centre = {};
  /// Whether the request may run again if its answer is lost.
  bool repeatable = false;

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// Slot held for an attempt until the end of the attempt is reported.
struct SlotGrant {
  AttemptId attempt = 0;
  std::string server;
  /// Basis of the decision: requests at the server, and its pace in
  /// milliseconds, zero if unknown.
  int in_flight = 0;
  double pace_ms = 0;

  friend bool operator==(const SlotGrant&, const SlotGrant&) = default;
};

/// Result of an attempt, from which the health of servers is tracked.
struct SlotResult {
  enum class Kind : uint8_t {
    /// The slot was not needed; says nothing about the server.
    kUnused = 0,
    kAnswered = 1,
    /// A complete answer that reports a failure of the server.
    kServerError = 2,
    /// No complete answer.
    kFailed = 3,
    /// The server had no free capacity.
    kFull = 4,
    /// Another server has the address now.
    kReplaced = 5,
    /// No connection was established.
    kUnreachable = 6,
  };

  Kind kind = Kind::kUnused;
  /// Milliseconds: between events of a stream, otherwise until the complete
  /// answer.
  std::optional<double> pace_ms;
  /// Reading time of the prompt at a model server, if it was long enough to
  /// measure.
  std::optional<PromptRead> read;
  /// How long the server wants no further requests of the entry.
  Duration pushback{};

  friend bool operator==(const SlotResult&, const SlotResult&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SLOT_H_
