#ifndef LAVENDERKEEL_IO_DAEMON_MAIN_H_
#define LAVENDERKEEL_IO_DAEMON_MAIN_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/failure.h"

namespace lavenderkeel {

inline constexpr char kVersion[] = "0.1.0";

/// Exit status of a daemon whose settings or flags are wrong.
inline constexpr int kBadUseStatus = 2;

/// How often a daemon's controllers look at the time.
inline constexpr int kTickMilliseconds = 20;

/// The flags that daemons share.
struct DaemonFlags {
  std::string settings_text;
  std::string ready_file;
  bool check_only = false;
};

/// Parses the command line and reads the settings file.
///
/// @return nothing if the process is to exit with `status`
std::optional<DaemonFlags> ParseDaemonFlags(int argc,
                                            char** argv,
                                            const std::string& usage,
                                            int& status);

/// A log on standard output or a file, one line per event, over log4cplus.
EventLog OpenLog(LogLevel lowest, const std::string& file);

/// Writes the addresses whole, by rename, so that no reader sees a part.
bool WriteReadyFile(
    const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& addresses);

/// Lifts the bound on open descriptors as far as allowed, and makes writes to
/// closed connections fail and not end the process.
void PrepareProcess();

/// A number that grows with each start of an instance.
uint64_t NewIncarnation();

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_DAEMON_MAIN_H_
