// Module platform: calls to the platform's object API.
#ifndef LAVENDERKEEL_PLATFORM_H_
#define LAVENDERKEEL_PLATFORM_H_

#include "lavenderkeel/platform/conditional_update.h"
#include "lavenderkeel/platform/platform_port.h"

#endif  // LAVENDERKEEL_PLATFORM_H_
