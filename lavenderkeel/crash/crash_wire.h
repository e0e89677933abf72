#ifndef LAVENDERKEEL_CRASH_CRASH_WIRE_H_
#define LAVENDERKEEL_CRASH_CRASH_WIRE_H_

#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/crash_report.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// Reports as they cross between entries, whose clocks differ: times become
/// ages and back.
///
/// @param complete all that this entry knows
CrashNews ToWire(const std::vector<CrashReport>& reports,
                 bool complete,
                 TimePoint now);
/// Reports of a kind that is not known here are left out.
std::vector<CrashReport> FromWire(const CrashNews& news, TimePoint now);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_WIRE_H_
