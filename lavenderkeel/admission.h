// Module admission: orders an agent's reservations and limits the requests in
// flight at its backend server.
#ifndef LAVENDERKEEL_ADMISSION_H_
#define LAVENDERKEEL_ADMISSION_H_

#include "lavenderkeel/admission/in_flight_limit.h"
#include "lavenderkeel/admission/reservation.h"
#include "lavenderkeel/admission/reservation_queue.h"
#include "lavenderkeel/admission/speed_model.h"

#endif  // LAVENDERKEEL_ADMISSION_H_
