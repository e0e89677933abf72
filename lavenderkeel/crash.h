#ifndef LAVENDERKEEL_CRASH_H_
#define LAVENDERKEEL_CRASH_H_

/// Module crash: poison requests, and parts of prompts, which crash the servers
/// that run them. Covers how they are recognised, the evidence that entries
/// exchange, and when a request is kept from further servers.
#include "lavenderkeel/crash/answered_suspects.h"
#include "lavenderkeel/crash/crash_archive.h"
#include "lavenderkeel/crash/crash_guard.h"
#include "lavenderkeel/crash/crash_ledger.h"
#include "lavenderkeel/crash/crash_report.h"
#include "lavenderkeel/crash/crash_suspicion.h"
#include "lavenderkeel/crash/crash_wire.h"
#include "lavenderkeel/crash/loss_rate.h"
#include "lavenderkeel/crash/request_fingerprint.h"
#include "lavenderkeel/crash/request_traits.h"
#include "lavenderkeel/crash/suspect.h"
#include "lavenderkeel/crash/suspect_runs.h"

#endif  // LAVENDERKEEL_CRASH_H_
