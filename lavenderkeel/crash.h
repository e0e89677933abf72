#ifndef LAVENDERKEEL_CRASH_H_
#define LAVENDERKEEL_CRASH_H_

/// Requests under which servers end: how they are recognised, what entries tell
/// each other of them, and when one is kept from reaching further servers.
#include "lavenderkeel/crash/crash_guard.h"
#include "lavenderkeel/crash/crash_ledger.h"
#include "lavenderkeel/crash/crash_report.h"
#include "lavenderkeel/crash/crash_standing.h"
#include "lavenderkeel/crash/crash_wire.h"
#include "lavenderkeel/crash/request_fingerprint.h"

#endif  // LAVENDERKEEL_CRASH_H_
