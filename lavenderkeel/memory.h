#ifndef LAVENDERKEEL_MEMORY_H_
#define LAVENDERKEEL_MEMORY_H_

/// Module memory: what a process holds for its clients, against one bound, and
/// which request bodies may use it.
#include "lavenderkeel/memory/body_memory.h"
#include "lavenderkeel/memory/memory_budget.h"
#include "lavenderkeel/memory/process_limits.h"

#endif  // LAVENDERKEEL_MEMORY_H_
