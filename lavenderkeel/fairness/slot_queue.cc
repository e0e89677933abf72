#include "lavenderkeel/fairness/slot_queue.h"

#include <algorithm>

namespace lavenderkeel {

namespace {

/// Requests of one team that a pass skips before it prefers other teams. The
/// limit of skipped requests in a pass then covers several teams.
constexpr int kSkippedPerRound = 8;

}  // namespace

std::optional<SlotQueue::Candidate> SlotQueue::CandidateOf(const Team& team,
                                                           size_t band) {
  const TeamBand& requests = team.bands[band];
  const auto next = requests.visited.has_value()
                        ? requests.waiting.upper_bound(*requests.visited)
                        : requests.waiting.begin();
  if (next == requests.waiting.end()) {
    return std::nullopt;
  }
  return Candidate{.round = requests.skipped / kSkippedPerRound,
                   .share = team.tag + team.running,
                   .next = &*next};
}

void SlotQueue::List(Rank& rank, uint64_t id, const Team& team, size_t band) {
  if (const auto candidate = CandidateOf(team, band)) {
    rank.candidates[band].emplace(*candidate, id);
  }
}

void SlotQueue::Unlist(Rank& rank, const Team& team, size_t band) {
  if (const auto candidate = CandidateOf(team, band)) {
    rank.candidates[band].erase(*candidate);
  }
}

template <typename Function>
void SlotQueue::Change(Rank& rank, uint64_t id, Team& team, Function change) {
  if (team.IsIdle()) {
    rank.idle_teams.erase({team.tag, id});
  }
  for (size_t band = 0; band < kBands; ++band) {
    Unlist(rank, team, band);
  }
  const bool was_waiting = team.IsWaiting();
  change(team);
  rank.max_tag = std::max(rank.max_tag, team.tag);
  for (size_t band = 0; band < kBands; ++band) {
    List(rank, id, team, band);
  }
  if (was_waiting) {
    --rank.teams_waiting;
  }
  if (team.IsWaiting()) {
    ++rank.teams_waiting;
  }
  if (team.IsIdle()) {
    rank.idle_teams.emplace(team.tag, id);
  }
}

void SlotQueue::ForgetIdle(std::map<RequestRank, Rank>::iterator found) {
  // A pass needs to know which requests of a team it returned.
  if (in_pass_) {
    return;
  }
  Rank& rank = found->second;
  while (!rank.idle_teams.empty() &&
         (rank.idle_teams.begin()->first <= rank.virtual_time ||
          rank.idle_teams.size() > options_.max_idle_teams)) {
    rank.teams.erase(rank.idle_teams.begin()->second);
    rank.idle_teams.erase(rank.idle_teams.begin());
  }
  if (rank.teams.empty()) {
    ranks_.erase(found);
  }
}

void SlotQueue::Insert(const QueuePosition& position, const TeamWork& work) {
  Rank& rank = ranks_[position.rank];
  const uint64_t id = TeamOf(work);
  const size_t band = BandOf(position);
  Change(rank, id, rank.teams[id], [&](Team& team) {
    const bool begins =
        !team.IsWaiting() ||
        (band == kInTime && team.bands[kInTime].waiting.empty());
    if (begins) {
      team.tag = std::max(team.tag, rank.virtual_time);
      team.waiting_since = rank.virtual_time;
    }
    team.bands[band].waiting.insert(position);
  });
  ++rank.waiting;
  rank.late += band == kInTime ? 0 : 1;
  ++size_;
}

void SlotQueue::Erase(const QueuePosition& position, const TeamWork& work) {
  const auto rank = ranks_.find(position.rank);
  if (rank == ranks_.end()) {
    return;
  }
  const uint64_t id = TeamOf(work);
  const auto team = rank->second.teams.find(id);
  const size_t band = BandOf(position);
  if (team == rank->second.teams.end() ||
      !team->second.bands[band].waiting.contains(position)) {
    return;
  }
  Change(rank->second, id, team->second,
         [&](Team& changed) { changed.bands[band].waiting.erase(position); });
  --rank->second.waiting;
  rank->second.late -= band == kInTime ? 0 : 1;
  --size_;
  ForgetIdle(rank);
}

SlotCharge SlotQueue::Grant(const QueuePosition& position,
                            const TeamWork& work) {
  const auto found = ranks_.find(position.rank);
  Rank& rank = found->second;
  const SlotCharge charge = {.rank = position.rank,
                             .team = TeamOf(work),
                             .amount = work.units / work.weight};
  Change(rank, charge.team, rank.teams.at(charge.team), [&](Team& team) {
    rank.virtual_time = std::max(rank.virtual_time, team.tag);
    team.tag += charge.amount;
    team.running += charge.amount;
    ++team.running_count;
    team.bands[BandOf(position)].waiting.erase(position);
  });
  --rank.waiting;
  rank.late -= position.late ? 1 : 0;
  --size_;
  ++running_;
  ForgetIdle(found);
  return charge;
}

void SlotQueue::End(const SlotCharge& charge, bool ran) {
  const auto rank = ranks_.find(charge.rank);
  if (rank == ranks_.end()) {
    return;
  }
  const auto found = rank->second.teams.find(charge.team);
  if (found == rank->second.teams.end() || found->second.running_count == 0) {
    return;
  }
  Change(rank->second, charge.team, found->second, [&](Team& team) {
    --team.running_count;
    // Rounding errors of the sums must not remain.
    team.running = team.running_count == 0 ? 0 : team.running - charge.amount;
    if (!ran) {
      // Work that is returned from before the team began to wait is no credit.
      team.tag = std::max(team.tag - charge.amount, team.waiting_since);
    }
  });
  --running_;
  ForgetIdle(rank);
}

void SlotQueue::OnSlotsLeft() {
  for (auto rank = ranks_.begin(); rank != ranks_.end();) {
    const auto current = rank++;
    if (current->second.waiting == 0) {
      current->second.virtual_time = current->second.max_tag;
      ForgetIdle(current);
    }
  }
}

const QueuePosition& SlotQueue::front() const {
  const auto rank = std::ranges::find_if(
      ranks_, [](const auto& item) { return item.second.waiting > 0; });
  const auto& candidates = rank->second.candidates;
  const auto& band =
      candidates[kInTime].empty() ? candidates[1] : candidates[kInTime];
  return *band.begin()->first.next;
}

std::vector<SlotQueue::RankSize> SlotQueue::RankSizes() const {
  std::vector<RankSize> sizes;
  sizes.reserve(ranks_.size());
  for (const auto& [key, rank] : ranks_) {
    if (rank.waiting > 0) {
      sizes.push_back(
          {.rank = key, .waiting = rank.waiting, .late = rank.late});
    }
  }
  return sizes;
}

SlotQueue::TeamState SlotQueue::StateOf(const RequestRank& rank,
                                        const TeamWork& work) const {
  const auto found = ranks_.find(rank);
  if (found == ranks_.end()) {
    return {};
  }
  const Rank& in_rank = found->second;
  TeamState state = {.teams_waiting = in_rank.teams_waiting};
  const auto team = in_rank.teams.find(TeamOf(work));
  if (team != in_rank.teams.end()) {
    state.ahead = team->second.tag - in_rank.virtual_time;
    state.running = team->second.running;
  }
  return state;
}

size_t SlotQueue::teams() const {
  size_t teams = 0;
  for (const auto& [key, rank] : ranks_) {
    teams += rank.teams.size();
  }
  return teams;
}

void SlotQueue::Visit(const RequestRank& rank_key,
                      Rank& rank,
                      uint64_t id,
                      size_t band,
                      const QueuePosition& position) {
  Team& team = rank.teams.at(id);
  Unlist(rank, team, band);
  if (!team.bands[band].visited.has_value()) {
    visited_.push_back({.rank = rank_key, .team = id, .band = band});
  }
  team.bands[band].visited = position;
  List(rank, id, team, band);
}

void SlotQueue::EndPass() {
  for (const Visited& visited : visited_) {
    Rank& rank = ranks_.at(visited.rank);
    const auto team = rank.teams.find(visited.team);
    if (team != rank.teams.end()) {
      Unlist(rank, team->second, visited.band);
      team->second.bands[visited.band].visited.reset();
      team->second.bands[visited.band].skipped = 0;
      List(rank, visited.team, team->second, visited.band);
    }
  }
  visited_.clear();
  in_pass_ = false;
  for (auto rank = ranks_.begin(); rank != ranks_.end();) {
    ForgetIdle(rank++);
  }
}

SlotQueue::Pass::Pass(SlotQueue& queue) : queue_(queue) {
  queue_.in_pass_ = true;
}

SlotQueue::Pass::~Pass() {
  queue_.EndPass();
}

std::optional<QueuePosition> SlotQueue::Pass::Next() {
  auto rank =
      started_ ? queue_.ranks_.lower_bound(rank_) : queue_.ranks_.begin();
  for (; rank != queue_.ranks_.end(); ++rank) {
    if (!started_ || rank->first != rank_) {
      started_ = true;
      rank_ = rank->first;
      band_ = kInTime;
    }
    for (; band_ < kBands; ++band_) {
      const auto& candidates = rank->second.candidates[band_];
      if (candidates.empty()) {
        continue;
      }
      const QueuePosition position = *candidates.begin()->first.next;
      team_ = candidates.begin()->second;
      queue_.Visit(rank_, rank->second, team_, band_, position);
      return position;
    }
  }
  return std::nullopt;
}

void SlotQueue::Pass::OnSkipped() {
  const auto rank = queue_.ranks_.find(rank_);
  if (rank == queue_.ranks_.end()) {
    return;
  }
  const auto team = rank->second.teams.find(team_);
  if (team == rank->second.teams.end()) {
    return;
  }
  Unlist(rank->second, team->second, band_);
  ++team->second.bands[band_].skipped;
  List(rank->second, team_, team->second, band_);
}

}  // namespace lavenderkeel
