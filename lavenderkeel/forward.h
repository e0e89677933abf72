#ifndef LAVENDERKEEL_FORWARD_H_
#define LAVENDERKEEL_FORWARD_H_

/// Forwarding of client requests to backend servers: routes, teams and their
/// rate limits, the queue, placement, attempts, resumption of streams, and the
/// answers to clients.
#include "lavenderkeel/forward/forward_controller.h"
#include "lavenderkeel/forward/forward_port.h"
#include "lavenderkeel/forward/placement.h"
#include "lavenderkeel/forward/request_metadata.h"
#include "lavenderkeel/forward/route_table.h"
#include "lavenderkeel/forward/server_directory.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/forward/slot_router.h"
#include "lavenderkeel/forward/slot_scheduler.h"
#include "lavenderkeel/rollout.h"

#endif  // LAVENDERKEEL_FORWARD_H_
