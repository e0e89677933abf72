#ifndef LAVENDERKEEL_CRASH_H_
#define LAVENDERKEEL_CRASH_H_

/// Requests under which servers end: how they are recognised.
#include "lavenderkeel/crash/request_fingerprint.h"

#endif  // LAVENDERKEEL_CRASH_H_
