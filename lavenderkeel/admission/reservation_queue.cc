#include "lavenderkeel/admission/reservation_queue.h"

#include <algorithm>
#include <cassert>

namespace lavenderkeel {

void ReservationQueue::Add(const Reservation& reservation) {
  Remove(reservation.id());
  TierQueue& queue = tiers_[reservation.tier];
  TeamLine& team = queue.teams[reservation.team];
  if (team.line.empty()) {
    // An idle team gains no credit for the time it did not use.
    team.virtual_start = std::max(team.virtual_start, queue.virtual_now);
  }
  team.line.push_back(reservation);
  by_id_[reservation.id()] = std::prev(team.line.end());
  if (reservation.deadline.has_value()) {
    queue.by_deadline.emplace(*reservation.deadline, reservation.id());
  }
  ++queue.size;
}

std::optional<Reservation> ReservationQueue::Remove(const ReservationId& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return std::nullopt;
  }
  const Reservation reservation = *found->second;
  TierQueue& queue = tiers_.at(reservation.tier);
  if (reservation.deadline.has_value()) {
    queue.by_deadline.erase({*reservation.deadline, id});
  }
  const auto team = queue.teams.find(reservation.team);
  team->second.line.erase(found->second);
  by_id_.erase(found);
  --queue.size;
  // A team that is behind the virtual time has nothing to be remembered for.
  if (team->second.line.empty() &&
      team->second.virtual_start <= queue.virtual_now) {
    queue.teams.erase(team);
  }
  return reservation;
}

const Reservation* ReservationQueue::Find(const ReservationId& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : &*found->second;
}

const Reservation* ReservationQueue::Next(TimePoint now,
                                          const TierOpen& open) const {
  for (const auto& [tier, queue] : tiers_) {
    if (queue.size > 0 && open(tier)) {
      return NextInTier(queue, now);
    }
  }
  return nullptr;
}

const Reservation* ReservationQueue::NextInTier(const TierQueue& queue,
                                                TimePoint now) const {
  const Reservation* fairest = nullptr;
  double least = 0;
  for (const auto& [name, team] : queue.teams) {
    const auto first = std::ranges::find_if(
        team.line, [](const Reservation& r) { return !r.deadline; });
    if (first == team.line.end()) {
      continue;
    }
    if (fairest == nullptr || team.virtual_start < least) {
      fairest = &*first;
      least = team.virtual_start;
    }
  }
  if (queue.by_deadline.empty()) {
    return fairest;
  }
  const bool aged =
      fairest != nullptr && now - fairest->arrived > options_.aging;
  return aged ? fairest : Find(queue.by_deadline.begin()->second);
}

Reservation ReservationQueue::Take(const ReservationId& id) {
  const Reservation* reservation = Find(id);
  assert(reservation != nullptr);
  TierQueue& queue = tiers_.at(reservation->tier);
  TeamLine& team = queue.teams.at(reservation->team);
  queue.virtual_now = std::max(queue.virtual_now, team.virtual_start);
  team.virtual_start += reservation->cost() / reservation->weight;
  return *Remove(id);
}

std::vector<ReservationId> ReservationQueue::Select(
    const std::function<bool(const Reservation&)>& matches) const {
  std::vector<ReservationId> ids;
  for (const auto& [id, position] : by_id_) {
    if (matches(*position)) {
      ids.push_back(id);
    }
  }
  return ids;
}

size_t ReservationQueue::waiting(uint32_t tier) const {
  const auto found = tiers_.find(tier);
  return found == tiers_.end() ? 0 : found->second.size;
}

}  // namespace lavenderkeel
