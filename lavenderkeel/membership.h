// Module membership: detects which instances are alive, by heartbeats on direct
// connections.
#ifndef LAVENDERKEEL_MEMBERSHIP_H_
#define LAVENDERKEEL_MEMBERSHIP_H_

#include "lavenderkeel/membership/backoff.h"
#include "lavenderkeel/membership/coordinators.h"
#include "lavenderkeel/membership/freeze_detector.h"
#include "lavenderkeel/membership/holder_coverage.h"
#include "lavenderkeel/membership/holder_ranking.h"
#include "lavenderkeel/membership/instance_info.h"
#include "lavenderkeel/membership/member_table.h"
#include "lavenderkeel/membership/registration.h"

#endif  // LAVENDERKEEL_MEMBERSHIP_H_
