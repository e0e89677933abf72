// Module dispatch: handles a request at its entry, from the caller's HTTP
// request to the answer.
#ifndef LAVENDERKEEL_DISPATCH_H_
#define LAVENDERKEEL_DISPATCH_H_

#include "lavenderkeel/dispatch/answer_renderer.h"
#include "lavenderkeel/dispatch/caller_request.h"
#include "lavenderkeel/dispatch/caller_subscriptions.h"
#include "lavenderkeel/dispatch/dispatch_controller.h"
#include "lavenderkeel/dispatch/entry_context.h"
#include "lavenderkeel/dispatch/entry_node.h"
#include "lavenderkeel/dispatch/entry_request.h"
#include "lavenderkeel/dispatch/request_controller.h"
#include "lavenderkeel/dispatch/reservation_placer.h"
#include "lavenderkeel/dispatch/team_usage.h"

#endif  // LAVENDERKEEL_DISPATCH_H_
