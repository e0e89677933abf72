#ifndef LAVENDERKEEL_RETRY_H_
#define LAVENDERKEEL_RETRY_H_

/// Module retry: the bound on the retries of a service that all entries share.
#include "lavenderkeel/retry/extra_retries.h"
#include "lavenderkeel/retry/retry_bound.h"
#include "lavenderkeel/retry/retry_decision.h"
#include "lavenderkeel/retry/retry_loans.h"

#endif  // LAVENDERKEEL_RETRY_H_
