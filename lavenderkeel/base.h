// Module base: time, identities, result codes, logging and metrics.
#ifndef LAVENDERKEEL_BASE_H_
#define LAVENDERKEEL_BASE_H_

#include "lavenderkeel/base/ascii.h"
#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/failure.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/base/peer_id.h"
#include "lavenderkeel/base/prompt_part.h"
#include "lavenderkeel/base/refusal_body.h"
#include "lavenderkeel/base/rendezvous.h"
#include "lavenderkeel/base/request_key.h"
#include "lavenderkeel/base/result_code.h"

#endif  // LAVENDERKEEL_BASE_H_
