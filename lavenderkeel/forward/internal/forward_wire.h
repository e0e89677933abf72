#ifndef LAVENDERKEEL_FORWARD_INTERNAL_FORWARD_WIRE_H_
#define LAVENDERKEEL_FORWARD_INTERNAL_FORWARD_WIRE_H_

#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/forward_controller.h"
#include "lavenderkeel/forward/server_log.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/forward/slot_router.h"
#include "lavenderkeel/wire.h"

// Conversions between the forwarding types and the messages that entries
// exchange. Clocks differ between machines, so a point in time is sent as the
// time left until it.
namespace lavenderkeel::internal {

ForwardStatus ToWire(const ForwardReport& report,
                     const std::vector<SlotGroupReport>& group_reports);
ForwardReport FromWire(const ForwardStatus& status);
std::vector<SlotGroupReport> GroupReportsFromWire(const ForwardStatus& status);
/// Adds the rate usage that the sender relays for other entries.
void PutRelayed(const UsageTotals& relayed, ForwardStatus& status);
UsageTotals RelayedFromWire(const ForwardStatus& status);
/// Adds what teams asked for at the entries that the sender relays for.
void PutRelayedDemand(const DemandTotals& relayed, ForwardStatus& status);
DemandTotals RelayedDemandFromWire(const ForwardStatus& status);

ServerFeed ToWire(const ObjectDelta& delta);
ObjectDelta FromWire(const ServerFeed& feed);

WantSlot ToWire(const SlotRequest& slot_request, TimePoint now);
SlotRequest FromWire(const WantSlot& want, TimePoint now);

HaveSlot ToWire(const SlotGrant& grant);
SlotGrant FromWire(const HaveSlot& have);

SlotEnd ToWire(AttemptId attempt, const SlotResult& result);
SlotResult FromWire(const SlotEnd& end);

}  // namespace lavenderkeel::internal

#endif  // LAVENDERKEEL_FORWARD_INTERNAL_FORWARD_WIRE_H_
