#ifndef LAVENDERKEEL_DISPATCH_RESERVATION_PLACER_H_
#define LAVENDERKEEL_DISPATCH_RESERVATION_PLACER_H_

#include <vector>

#include "lavenderkeel/dispatch/entry_context.h"

namespace lavenderkeel {

/// Chooses agents for a waiting request, reserves there and withdraws.
class ReservationPlacer {
 public:
  explicit ReservationPlacer(EntryContext& context) : context_(context) {}

  /// Reserves at up to `count` further agents, the fastest first. Work that may
  /// not be repeated goes only to agents that its claim names.
  void Place(EntryRequest& request, size_t count);
  /// Reserves at one agent (again).
  void Send(EntryRequest& request, LinkId link);
  /// Withdraws all reservations but one.
  void Withdraw(EntryRequest& request, const PeerId& except);

 private:
  void LogRoute(const EntryRequest& request,
                const std::vector<Candidate>& candidates,
                size_t placed) const;

  EntryContext& context_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_RESERVATION_PLACER_H_
