#ifndef LAVENDERKEEL_NOTICE_NOTICE_WIRE_H_
#define LAVENDERKEEL_NOTICE_NOTICE_WIRE_H_

#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/notice/server_notices.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// Adds notices to a status. Clocks differ between machines, so a point in time
/// is sent as its age.
void PutNotices(const std::vector<ServerNotice>& notices,
                TimePoint now,
                ForwardStatus& status);
/// Returns the shared notices of a status; those of kinds that are unknown here
/// are left out.
std::vector<ServerNotice> NoticesFromWire(const ForwardStatus& status,
                                          TimePoint now);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_NOTICE_NOTICE_WIRE_H_
