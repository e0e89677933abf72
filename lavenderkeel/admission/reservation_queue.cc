#include "lavenderkeel/admission/reservation_queue.h"

#include <algorithm>
#include <cassert>

namespace lavenderkeel {

void ReservationQueue::Add(const Reservation& reservation) {
  Remove(reservation.id());
  TierQueue& queue = tiers_[reservation.tier];
  TeamQueue& team = queue.teams[reservation.team];
  if (team.reservations.empty()) {
    // An idle team accumulates no credit.
    team.virtual_start = std::max(team.virtual_start, queue.virtual_now);
  }
  team.reservations.push_back(reservation);
  by_id_[reservation.id()] = std::prev(team.reservations.end());
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
  team->second.reservations.erase(found->second);
  by_id_.erase(found);
  --queue.size;
  // A team whose virtual start is not in the future has no charge to keep.
  if (team->second.reservations.empty() &&
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
                                          const IsTierOpen& is_open) const {
  for (const auto& [tier, queue] : tiers_) {
    if (queue.size > 0 && is_open(tier)) {
      return NextInTier(queue, now);
    }
  }
  return nullptr;
}

const Reservation* ReservationQueue::NextInTier(const TierQueue& queue,
                                                TimePoint now) const {
  const Reservation* next_by_fairness = nullptr;
  double earliest_start = 0;
  for (const auto& [name, team] : queue.teams) {
    const auto first = std::ranges::find_if(
        team.reservations, [](const Reservation& r) { return !r.deadline; });
    if (first == team.reservations.end()) {
      continue;
    }
    if (next_by_fairness == nullptr || team.virtual_start < earliest_start) {
      next_by_fairness = &*first;
      earliest_start = team.virtual_start;
    }
  }
  if (queue.by_deadline.empty()) {
    return next_by_fairness;
  }
  const bool aged = next_by_fairness != nullptr &&
                    now - next_by_fairness->arrived > options_.aging;
  return aged ? next_by_fairness : Find(queue.by_deadline.begin()->second);
}

Reservation ReservationQueue::Dequeue(const ReservationId& id) {
  const Reservation* reservation = Find(id);
  assert(reservation != nullptr);
  TierQueue& queue = tiers_.at(reservation->tier);
  TeamQueue& team = queue.teams.at(reservation->team);
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

size_t ReservationQueue::waiting_count(uint32_t tier) const {
  const auto found = tiers_.find(tier);
  return found == tiers_.end() ? 0 : found->second.size;
}

}  // namespace lavenderkeel
