// Module routing: selects the agents at which a request reserves a slot.
#ifndef LAVENDERKEEL_ROUTING_H_
#define LAVENDERKEEL_ROUTING_H_

#include "lavenderkeel/routing/router.h"

#endif  // LAVENDERKEEL_ROUTING_H_
