#ifndef LAVENDERKEEL_IO_SETTINGS_H_
#define LAVENDERKEEL_IO_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/failure.h"
#include "lavenderkeel/dispatch/entry_node.h"
#include "lavenderkeel/gate/agent_node.h"
#include "lavenderkeel/io/http_server.h"
#include "lavenderkeel/memory/process_limits.h"

namespace lavenderkeel {

/// Settings that entries and agents share.
struct CommonSettings {
  InstanceInfo self;
  std::string listen_peers;
  std::string platform;
  LogLevel log_level = LogLevel::kInfo;
  ProcessLimits limits;
  /// Path of the log; empty for standard output.
  std::string log_file;
};

struct EntrySettings {
  CommonSettings common;
  std::string listen_callers;
  HttpServer::Options http;
  EntryNode::Options node;
};

struct AgentSettings {
  CommonSettings common;
  std::string server_address;
  bool checks_fence = false;
  AgentNode::Options node;
};

/// Parses and validates a whole settings file.
///
/// @return kSettingsInvalid with every fault and its JSON path
leaf::result<EntrySettings> ParseEntrySettings(const std::string& text);
leaf::result<AgentSettings> ParseAgentSettings(const std::string& text);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_SETTINGS_H_
