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

/// Exit status of a daemon with invalid settings or flags.
inline constexpr int kBadUseStatus = 2;

/// Period at which a daemon calls Tick() of its controllers.
inline constexpr int kTickMilliseconds = 20;

/// Command-line flags that all daemons share.
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

/// Opens a log with one line per event, over log4cplus.
///
/// @param file path of the log; empty for standard output
EventLog OpenLog(LogLevel min_level, const std::string& file);

/// Writes the addresses to a file atomically, by rename, so that no reader sees
/// an incomplete file.
bool WriteReadyFile(
    const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& addresses);

/// Raises the limit on open file descriptors as far as allowed, and ignores
/// SIGPIPE, so that a write to a closed connection fails instead of ending the
/// process.
void PrepareProcess();

/// Returns a number that grows with each start of an instance.
uint64_t NewIncarnation();

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_DAEMON_MAIN_H_
