// Module action: commands from the decision components to the I/O layer.
#ifndef LAVENDERKEEL_ACTION_H_
#define LAVENDERKEEL_ACTION_H_

#include "lavenderkeel/action/action.h"
#include "lavenderkeel/action/outbox.h"

#endif  // LAVENDERKEEL_ACTION_H_
