#ifndef LAVENDERKEEL_RATES_H_
#define LAVENDERKEEL_RATES_H_

/// Module rates: which requests of a team are admitted first while its rate is
/// short. Covers the demand of teams by rank, the reserve for more urgent
/// ranks, and the refill that is promised to refused clients.
#include "lavenderkeel/rates/decaying_rate.h"
#include "lavenderkeel/rates/rank_demand.h"
#include "lavenderkeel/rates/rank_reserve.h"
#include "lavenderkeel/rates/ranked_rates.h"
#include "lavenderkeel/rates/refill_reservations.h"
#include "lavenderkeel/rates/team_demand.h"

#endif  // LAVENDERKEEL_RATES_H_
