// Module wire: the typed messages between processes and their frames.
#ifndef LAVENDERKEEL_WIRE_H_
#define LAVENDERKEEL_WIRE_H_

#include "lavenderkeel/wire/codec.h"
#include "lavenderkeel/wire/message.h"

#endif  // LAVENDERKEEL_WIRE_H_
