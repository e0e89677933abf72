#ifndef LAVENDERKEEL_IO_INTERNAL_SETTINGS_FIELDS_H_
#define LAVENDERKEEL_IO_INTERNAL_SETTINGS_FIELDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/config/json_reader.h"
#include "lavenderkeel/memory/process_limits.h"

// Fields that several kinds of settings files share.
namespace lavenderkeel::internal {

/// Returns a nested object, or an empty one if it is missing.
const boost::json::value& ObjectOrEmpty(JsonReader& reader,
                                        const std::string& name);

/// Reads "IP:PORT"; returns an empty text if it is missing and not required.
std::string ReadAddress(JsonReader& reader,
                        const std::string& name,
                        bool required = true);

/// Reads whole milliseconds; `target` holds the default.
void ReadDuration(JsonReader& reader,
                  const std::string& name,
                  Duration& target,
                  uint64_t min_ms = 1);

/// Reads a whole number; `target` holds the default.
template <typename Number>
void ReadCount(JsonReader& reader,
               const std::string& name,
               Number& target,
               uint64_t least = 1) {
  constexpr uint64_t kMost = 1'000'000'000;
  target = static_cast<Number>(
      reader.Number(name, {.default_value = static_cast<uint64_t>(target),
                           .min = least,
                           .max = kMost}));
}

/// Reads the memory of the machine and the descriptors of the process. Without
/// them, the limit of the process for descriptors is used.
void ReadProcessLimits(JsonReader& limits, ProcessLimits& target);

/// Reads the field "level" of the object "log".
LogLevel ReadLogLevel(JsonReader& log);

std::vector<std::string> ReadSeeds(JsonReader& reader);

}  // namespace lavenderkeel::internal

#endif  // LAVENDERKEEL_IO_INTERNAL_SETTINGS_FIELDS_H_
