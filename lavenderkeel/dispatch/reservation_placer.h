#ifndef LAVENDERKEEL_DISPATCH_RESERVATION_PLACER_H_
#define LAVENDERKEEL_DISPATCH_RESERVATION_PLACER_H_

#include <vector>

#include "lavenderkeel/dispatch/entry_context.h"

namespace lavenderkeel {

/// The component that places and withdraws a waiting request's reservations at
/// agents.
class ReservationPlacer {
 public:
  explicit ReservationPlacer(EntryContext& context) : context_(context) {}

  /// Reserves at up to `count` further agents, the fastest first.
  /// Non-repeatable work goes only to agents named in its claim.
  void Place(EntryRequest& request, size_t count);
  /// Sends the reservation to one agent, possibly again.
  void Send(EntryRequest& request, LinkId link);
  /// Drops all reservations and notifies their agents other than `except`.
  void Withdraw(EntryRequest& request, const PeerId& except);

 private:
  void LogRoute(const EntryRequest& request,
                const std::vector<Candidate>& candidates,
                size_t placed) const;

  EntryContext& context_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_RESERVATION_PLACER_H_
