#ifndef LAVENDERKEEL_FORWARD_WAITING_QUEUE_H_
#define LAVENDERKEEL_FORWARD_WAITING_QUEUE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/attempt.h"

namespace lavenderkeel {

/// Requests that wait for a place at a server of one service: urgent ones
/// first, among equals the one whose time is up first.
class WaitingQueue {
 public:
  struct Place {
    /// Rank of urgency, 0 first: the team's, or the route's without one.
    int priority = 0;
    /// Rank of the route: most teams have the same rank, and their requests
    /// differ twentyfold in what they are worth to them.
    int route_priority = 0;
    TimePoint due;
    ExchangeId exchange = 0;

    friend auto operator<=>(const Place&, const Place&) = default;
  };

  void Add(const Place& place) {
    places_.insert(place);
    by_exchange_[place.exchange] = place;
  }
  void Remove(ExchangeId exchange) {
    const auto found = by_exchange_.find(exchange);
    if (found != by_exchange_.end()) {
      places_.erase(found->second);
      by_exchange_.erase(found);
    }
  }
  std::optional<ExchangeId> First() const {
    return places_.empty() ? std::nullopt
                           : std::optional(places_.begin()->exchange);
  }
  size_t size() const { return places_.size(); }
  bool empty() const { return places_.empty(); }

 private:
  std::set<Place> places_;
  std::unordered_map<ExchangeId, Place> by_exchange_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_WAITING_QUEUE_H_
