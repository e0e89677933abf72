// Module claim: decides which entry owns a request key.
#ifndef LAVENDERKEEL_CLAIM_H_
#define LAVENDERKEEL_CLAIM_H_

#include "lavenderkeel/claim/claim.h"
#include "lavenderkeel/claim/claim_table.h"
#include "lavenderkeel/claim/claimer.h"
#include "lavenderkeel/claim/key_arbiter.h"

#endif  // LAVENDERKEEL_CLAIM_H_
