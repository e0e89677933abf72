#ifndef LAVENDERKEEL_IO_FORWARD_SETTINGS_H_
#define LAVENDERKEEL_IO_FORWARD_SETTINGS_H_

#include <string>
#include <vector>

#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/failure.h"
#include "lavenderkeel/forward/forward_node.h"
#include "lavenderkeel/membership/instance_info.h"
#include "lavenderkeel/memory/process_limits.h"

namespace lavenderkeel {

/// Settings of a forwarding entry.
struct ForwardSettings {
  InstanceInfo self;
  std::string listen_clients;
  /// Address for readiness checks and metrics.
  std::string listen_status;
  std::string listen_peers;
  std::string ready_path = "/readyz";
  /// Address of the platform's store.
  std::string store;
  /// Time from the request to stop until the process is killed.
  Duration stop_time = std::chrono::seconds(8);
  LogLevel log_level = LogLevel::kInfo;
  ProcessLimits limits;
  ForwardNode::Options node;
};

/// Parses and validates a whole settings file.
///
/// @return kSettingsInvalid with every fault and its JSON path
leaf::result<ForwardSettings> ParseForwardSettings(const std::string& text);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_FORWARD_SETTINGS_H_
