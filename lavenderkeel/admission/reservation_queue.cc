#include "lavenderkeel/admission/reservation_queue.h"

#include <algorithm>
#include <cassert>

namespace lavenderkeel {

void ReservationQueue::Add(const Reservation& reservation) {
  Remove(reservation.key);
  TierQueue& queue = tiers_[reservation.tier];
  TeamLine& team = queue.teams[reservation.team];
  if (team.line.empty()) {
    // An idle team gains no credit for the time it did not use.
    team.virtual_start = std::max(team.virtual_start, queue.virtual_now);
  }
  team.line.push_back(reservation);
  by_key_[reservation.key] = std::prev(team.line.end());
  if (reservation.deadline.has_value()) {
    queue.by_deadline.emplace(*reservation.deadline, reservation.key);
  }
  ++queue.size;
}

std::optional<Reservation> ReservationQueue::Remove(const RequestKey& key) {
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) {
    return std::nullopt;
  }
  const Reservation reservation = *found->second;
  TierQueue& queue = tiers_.at(reservation.tier);
  if (reservation.deadline.has_value()) {
    queue.by_deadline.erase({*reservation.deadline, key});
  }
  const auto team = queue.teams.find(reservation.team);
  team->second.line.erase(found->second);
  by_key_.erase(found);
  --queue.size;
  // A team that is behind the virtual time has nothing to be remembered for.
  if (team->second.line.empty() &&
      team->second.virtual_start <= queue.virtual_now) {
    queue.teams.erase(team);
  }
  return reservation;
}

const Reservation* ReservationQueue::Find(const RequestKey& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : &*found->second;
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

Reservation ReservationQueue::Take(const RequestKey& key) {
  const Reservation* reservation = Find(key);
  assert(reservation != nullptr);
  TierQueue& queue = tiers_.at(reservation->tier);
  TeamLine& team = queue.teams.at(reservation->team);
  queue.virtual_now = std::max(queue.virtual_now, team.virtual_start);
  team.virtual_start += reservation->cost() / reservation->weight;
  return *Remove(key);
}

std::vector<RequestKey> ReservationQueue::KeysOf(const PeerId& entry) const {
  std::vector<RequestKey> keys;
  for (const auto& [key, position] : by_key_) {
    if (position->entry == entry) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<RequestKey> ReservationQueue::KeysOfTier(uint32_t tier) const {
  std::vector<RequestKey> keys;
  for (const auto& [key, position] : by_key_) {
    if (position->tier == tier) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<RequestKey> ReservationQueue::Keys() const {
  std::vector<RequestKey> keys;
  for (const auto& [key, position] : by_key_) {
    keys.push_back(key);
  }
  return keys;
}

size_t ReservationQueue::waiting(uint32_t tier) const {
  const auto found = tiers_.find(tier);
  return found == tiers_.end() ? 0 : found->second.size;
}

}  // namespace lavenderkeel
