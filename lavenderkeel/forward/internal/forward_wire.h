#ifndef LAVENDERKEEL_FORWARD_INTERNAL_FORWARD_WIRE_H_
#define LAVENDERKEEL_FORWARD_INTERNAL_FORWARD_WIRE_H_

#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/forward_controller.h"
#include "lavenderkeel/forward/server_log.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/forward/slot_router.h"
#include "lavenderkeel/wire.h"

// Between what entries tell each other about forwarding and its form on the
// wire. Clocks differ between machines, so times cross as the time that is
// left.
namespace lavenderkeel::internal {

ForwardStatus ToWire(const ForwardReport& report,
                     const std::vector<GateReport>& gates);
ForwardReport FromWire(const ForwardStatus& status);
std::vector<GateReport> GatesFromWire(const ForwardStatus& status);
/// What teams drew at the entries that the sender passes on.
void PutRelayed(const DrawTotals& relayed, ForwardStatus& status);
DrawTotals RelayedFromWire(const ForwardStatus& status);

ServerFeed ToWire(const ObjectDelta& delta);
ObjectDelta FromWire(const ServerFeed& feed);

WantSlot ToWire(const SlotAsk& ask, TimePoint now);
SlotAsk FromWire(const WantSlot& want, TimePoint now);

HaveSlot ToWire(const SlotGrant& grant);
SlotGrant FromWire(const HaveSlot& have);

SlotEnd ToWire(AttemptId attempt, const SlotResult& result);
SlotResult FromWire(const SlotEnd& end);

}  // namespace lavenderkeel::internal

#endif  // LAVENDERKEEL_FORWARD_INTERNAL_FORWARD_WIRE_H_
