#ifndef LAVENDERKEEL_CRASH_CRASH_WIRE_H_
#define LAVENDERKEEL_CRASH_CRASH_WIRE_H_

#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/crash_report.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// Encodes reports for other entries. Their clocks differ, so times become
/// ages.
///
/// @param complete whether these are all reports of this entry
CrashNews ToWire(const std::vector<CrashReport>& reports,
                 bool complete,
                 TimePoint now);
/// The same as several messages, each of which fits a frame however many parts
/// the requests have; the last one is marked as complete.
std::vector<CrashNews> ToMessages(const std::vector<CrashReport>& reports,
                                  bool complete,
                                  TimePoint now);
/// Decodes the reports of another entry; skips reports of an unknown kind.
std::vector<CrashReport> FromWire(const CrashNews& message, TimePoint now);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_WIRE_H_
