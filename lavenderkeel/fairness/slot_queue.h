#ifndef LAVENDERKEEL_FAIRNESS_SLOT_QUEUE_H_
#define LAVENDERKEEL_FAIRNESS_SLOT_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lavenderkeel/fairness/queue_position.h"
#include "lavenderkeel/fairness/team_work.h"

namespace lavenderkeel {

/// Work that was charged to a team for a grant, until the grant ends.
struct SlotCharge {
  RequestRank rank;
  uint64_t team = 0;
  /// Work over weight.
  double amount = 0;

  friend bool operator==(const SlotCharge&, const SlotCharge&) = default;
};

/// Requests that wait for a slot of one group of servers, in grant order.
///
/// Ranks come first, then requests that can be in time. Among the teams with
/// such requests the order is start-time fair queueing: each team has a start
/// tag, to which a grant adds its work over the team's weight. The virtual time
/// of a rank is the largest start tag granted so far; a team that begins to
/// wait has at least this tag, so an idle team accumulates no credit. A team
/// whose waiting requests are all late counts as idle for the slots of requests
/// that can be in time: nothing limits how far it falls behind, and it would
/// take all slots until it caught up.
///
/// The team with the least sum of its tag and its running work is next. The
/// running work is bounded by the slots, so over time the shares are those of
/// the work granted; but a team whose long requests hold most slots leaves the
/// next ones to others, which would otherwise wait for as long as these run.
///
/// When a rank has no waiting requests and slots are left, there is capacity
/// for all, and the virtual time passes the tags of all teams.
///
/// Inserting, erasing, granting and ending cost a logarithm of the waiting
/// requests and of the teams.
class SlotQueue {
 public:
  struct Options {
    /// Whether teams share the slots; otherwise all requests count for one
    /// team.
    bool fair_shares = false;
    /// Limit of the teams of a rank that are remembered without a waiting or
    /// running request; those with the least tag are forgotten first.
    size_t max_idle_teams = 10'000;
  };

  struct RankSize {
    RequestRank rank;
    size_t waiting = 0;
    /// Those of the waiting that can no longer be in time.
    size_t late = 0;

    friend bool operator==(const RankSize&, const RankSize&) = default;
  };

  /// State of a team in a rank.
  struct TeamState {
    /// Teams of the rank with waiting requests.
    size_t teams_waiting = 0;
    /// Work over weight by which the team's tag is ahead of the rank's virtual
    /// time.
    double ahead = 0;
    /// Running work over weight.
    double running = 0;

    friend bool operator==(const TeamState&, const TeamState&) = default;
  };

  /// One pass over the waiting requests. During a pass requests may be
  /// inserted, erased and granted; each is returned at most once. There is at
  /// most one pass at a time.
  class Pass {
   public:
    explicit Pass(SlotQueue& queue);
    ~Pass();
    Pass(const Pass&) = delete;
    Pass& operator=(const Pass&) = delete;

    /// Returns the next request; empty at the end. A request of a rank, or of
    /// the requests in time of a rank, that the pass has left is not returned.
    std::optional<QueuePosition> Next();
    /// Tells that the last request returned fits no free server. A team with
    /// several such requests goes behind the other teams of its rank for the
    /// rest of the pass.
    void OnSkipped();

   private:
    SlotQueue& queue_;
    RequestRank rank_;
    size_t band_ = 0;
    bool started_ = false;
    uint64_t team_ = 0;
  };

  explicit SlotQueue(Options options) : options_(options) {}
  SlotQueue(const SlotQueue&) = delete;
  SlotQueue& operator=(const SlotQueue&) = delete;

  void Insert(const QueuePosition& position, const TeamWork& work);
  void Erase(const QueuePosition& position, const TeamWork& work);
  /// Erases a request and charges its work to its team.
  SlotCharge Grant(const QueuePosition& position, const TeamWork& work);
  /// Ends a grant.
  /// @param ran whether the request may have run; its work is returned to the
  ///     team otherwise
  void End(const SlotCharge& charge, bool ran);
  /// Tells that slots are left after a pass.
  void OnSlotsLeft();

  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }
  /// Returns the first request in grant order. The queue must not be empty.
  const QueuePosition& front() const;
  /// Returns the ranks with waiting requests.
  std::vector<RankSize> RankSizes() const;
  TeamState StateOf(const RequestRank& rank, const TeamWork& work) const;
  /// Number of grants that have not ended.
  size_t running() const { return running_; }
  /// Number of teams in memory.
  size_t teams() const;

 private:
  /// Requests in time, and late ones.
  static constexpr size_t kBands = 2;
  static constexpr size_t kInTime = 0;

  struct TeamBand {
    std::set<QueuePosition> waiting;
    /// The last request that the pass in progress returned.
    std::optional<QueuePosition> visited;
    int skipped = 0;
  };
  struct Team {
    /// Start tag of its next grant.
    double tag = 0;
    /// Virtual time when the team began to wait.
    double waiting_since = 0;
    /// Running work over weight, and the number of running requests.
    double running = 0;
    size_t running_count = 0;
    std::array<TeamBand, kBands> bands;

    bool IsWaiting() const {
      return !bands[0].waiting.empty() || !bands[1].waiting.empty();
    }
    bool IsIdle() const { return !IsWaiting() && running_count == 0; }
  };
  /// Next request of a team in a band.
  struct Candidate {
    /// Rises with the requests of the team that the pass skipped.
    int round = 0;
    /// Tag and running work of the team.
    double share = 0;
    const QueuePosition* next = nullptr;

    friend bool operator<(const Candidate& a, const Candidate& b) {
      return a.round != b.round   ? a.round < b.round
             : a.share != b.share ? a.share < b.share
                                  : *a.next < *b.next;
    }
  };
  struct Rank {
    double virtual_time = 0;
    /// The largest tag of any team so far.
    double max_tag = 0;
    size_t waiting = 0;
    size_t late = 0;
    size_t teams_waiting = 0;
    std::unordered_map<uint64_t, Team> teams;
    /// The team of each candidate.
    std::array<std::map<Candidate, uint64_t>, kBands> candidates;
    /// Teams without waiting or running requests, by tag.
    std::set<std::pair<double, uint64_t>> idle_teams;
  };
  struct Visited {
    RequestRank rank;
    uint64_t team = 0;
    size_t band = 0;
  };

  static size_t BandOf(const QueuePosition& position) {
    return position.late ? 1 : kInTime;
  }
  uint64_t TeamOf(const TeamWork& work) const {
    return options_.fair_shares ? work.team : 0;
  }
  /// @return empty if all waiting requests were visited
  static std::optional<Candidate> CandidateOf(const Team& team, size_t band);
  static void List(Rank& rank, uint64_t id, const Team& team, size_t band);
  static void Unlist(Rank& rank, const Team& team, size_t band);
  /// Changes a team, and its place in the order accordingly.
  template <typename Function>
  static void Change(Rank& rank, uint64_t id, Team& team, Function change);
  void Visit(const RequestRank& rank_key,
             Rank& rank,
             uint64_t id,
             size_t band,
             const QueuePosition& position);
  void EndPass();
  /// Forgets idle teams that the virtual time passed, and the rank if it has no
  /// teams.
  void ForgetIdle(std::map<RequestRank, Rank>::iterator rank);

  Options options_;
  std::map<RequestRank, Rank> ranks_;
  size_t size_ = 0;
  size_t running_ = 0;
  bool in_pass_ = false;
  std::vector<Visited> visited_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FAIRNESS_SLOT_QUEUE_H_
