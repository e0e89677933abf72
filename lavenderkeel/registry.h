#ifndef LAVENDERKEEL_REGISTRY_H_
#define LAVENDERKEEL_REGISTRY_H_

/// Module registry: the entries that may be running, as recorded in the
/// platform's store, and the share of what all entries share that each may use.
#include "lavenderkeel/registry/entry_registry.h"
#include "lavenderkeel/registry/registered_entry.h"
#include "lavenderkeel/registry/share_state.h"

#endif  // LAVENDERKEEL_REGISTRY_H_
