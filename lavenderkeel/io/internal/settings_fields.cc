#include "lavenderkeel/io/internal/settings_fields.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/json.hpp>

#include "lavenderkeel/io/address.h"

namespace lavenderkeel::internal {

namespace json = boost::json;

namespace {

constexpr uint64_t kDayMs = uint64_t{24} * 3600 * 1000;

}  // namespace

const json::value& ObjectOrEmpty(JsonReader& reader, const std::string& name) {
  static const json::value empty = json::object();
  const json::value* value = reader.FindField(name);
  return value == nullptr ? empty : *value;
}

std::string ReadAddress(JsonReader& reader,
                        const std::string& name,
                        bool required) {
  std::string text = reader.String(name, {.required = required});
  if (!text.empty() && !Address::Parse(text).has_value()) {
    reader.Fault(name, "must be an IP number and a port");
  }
  return text;
}

void ReadDuration(JsonReader& reader,
                  const std::string& name,
                  Duration& target,
                  uint64_t min_ms) {
  const uint64_t milliseconds = reader.Number(
      name, {.default_value = static_cast<uint64_t>(ToMilliseconds(target)),
             .min = min_ms,
             .max = kDayMs});
  target = std::chrono::milliseconds(milliseconds);
}

void ReadProcessLimits(JsonReader& limits, ProcessLimits& target) {
  constexpr size_t kBytesPerMb = size_t{1} << 20;
  size_t memory_mb = 0;
  ReadCount(limits, "memory_mb", memory_mb, 0);
  if (memory_mb > 0) {
    target.memory_bytes = memory_mb * kBytesPerMb;
  }
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
    target.descriptors = files.rlim_max;
  }
  size_t descriptors = 0;
  ReadCount(limits, "descriptors", descriptors, 0);
  if (descriptors > 0) {
    target.descriptors = std::min(target.descriptors, descriptors);
  }
}

LogLevel ReadLogLevel(JsonReader& log) {
  const std::string level = log.String("level", {.default_value = "info"});
  if (level == "debug") {
    return LogLevel::kDebug;
  }
  if (level == "warning") {
    return LogLevel::kWarning;
  }
  if (level == "error") {
    return LogLevel::kError;
  }
  if (level != "info") {
    log.Fault("level", "must be debug, info, warning or error");
  }
  return LogLevel::kInfo;
}

std::vector<std::string> ReadSeeds(JsonReader& reader) {
  std::vector<std::string> seeds = reader.Strings("seeds");
  for (size_t i = 0; i < seeds.size(); ++i) {
    if (!Address::Parse(seeds[i]).has_value()) {
      reader.Fault("seeds/" + std::to_string(i),
                   "must be an IP number and a port");
    }
  }
  return seeds;
}

}  // namespace lavenderkeel::internal
