#include "lavenderkeel/rates/refill_reservations.h"

#include <algorithm>

namespace lavenderkeel {

size_t RefillReservations::Advance(TimePoint now) {
  size_t dropped = 0;
  for (auto& [rank, places] : ranks_) {
    while (!places.waiting.empty() &&
           places.waiting.begin()->first <= now + options_.lead) {
      const Entry entry = places.waiting.begin()->second;
      places.waiting.erase(places.waiting.begin());
      places.waiting_units -= entry.units;
      places.held.push_back(entry);
      places.held_units += entry.units;
    }
    while (!places.held.empty() &&
           places.held.front().due + options_.grace < now) {
      places.held_units -= places.held.front().units;
      places.held.pop_front();
      ++dropped;
    }
  }
  size_ -= dropped;
  std::erase_if(ranks_, [](const auto& item) {
    return item.second.waiting.empty() && item.second.held.empty();
  });
  return dropped;
}

bool RefillReservations::Promise(int rank,
                                 double units,
                                 TimePoint due,
                                 TimePoint deadline) {
  if (size_ >= options_.max_promises) {
    return false;
  }
  Rank& places = ranks_[rank];
  places.waiting.emplace(
      due, Entry{.units = units, .due = due, .deadline = deadline});
  places.waiting_units += units;
  ++size_;
  return true;
}

double RefillReservations::UnitsAhead(int rank) const {
  double units = 0;
  for (const auto& [other, places] : ranks_) {
    units += other <= rank ? places.waiting_units : 0;
  }
  return units;
}

double RefillReservations::HeldUnits(int rank) const {
  double units = 0;
  for (const auto& [other, places] : ranks_) {
    units += other <= rank ? places.held_units : 0;
  }
  return units;
}

bool RefillReservations::Redeem(int rank, TimePoint deadline, bool any) {
  const auto found = ranks_.find(rank);
  if (found == ranks_.end() || found->second.held.empty()) {
    return false;
  }
  Rank& places = found->second;
  auto redeemed = std::ranges::find_if(places.held, [&](const Entry& entry) {
    return std::chrono::abs(entry.deadline - deadline) <=
           options_.deadline_tolerance;
  });
  if (redeemed == places.held.end()) {
    if (!any) {
      return false;
    }
    redeemed = places.held.begin();
  }
  places.held_units -= redeemed->units;
  places.held.erase(redeemed);
  --size_;
  return true;
}

}  // namespace lavenderkeel
