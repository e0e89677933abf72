// Module action: what the deciding components ask the I/O layer to do.
#ifndef LAVENDERKEEL_ACTION_H_
#define LAVENDERKEEL_ACTION_H_

#include "lavenderkeel/action/action.h"
#include "lavenderkeel/action/outbox.h"

#endif  // LAVENDERKEEL_ACTION_H_
