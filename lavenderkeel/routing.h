// Module routing: which agents a request is offered to.
#ifndef LAVENDERKEEL_ROUTING_H_
#define LAVENDERKEEL_ROUTING_H_

#include "lavenderkeel/routing/router.h"

#endif  // LAVENDERKEEL_ROUTING_H_
