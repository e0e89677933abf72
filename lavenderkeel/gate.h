// Module gate: the agent's handling of a request, from reservation to stored
// answer.
#ifndef LAVENDERKEEL_GATE_H_
#define LAVENDERKEEL_GATE_H_

#include "lavenderkeel/gate/agent_node.h"
#include "lavenderkeel/gate/answer_subscriptions.h"
#include "lavenderkeel/gate/gate_controller.h"
#include "lavenderkeel/gate/run_controller.h"
#include "lavenderkeel/gate/run_table.h"
#include "lavenderkeel/gate/server_rest.h"

#endif  // LAVENDERKEEL_GATE_H_
