#ifndef LAVENDERKEEL_IO_AGENT_DAEMON_H_
#define LAVENDERKEEL_IO_AGENT_DAEMON_H_

#include <string>

#include "lavenderkeel/base.h"
#include "lavenderkeel/gate.h"
#include "lavenderkeel/io/action_runner.h"
#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_client.h"
#include "lavenderkeel/io/peer_port.h"
#include "lavenderkeel/io/platform_client.h"
#include "lavenderkeel/io/server_client.h"
#include "lavenderkeel/io/settings.h"

namespace lavenderkeel {

/// The agent process: an AgentNode with its sockets.
class AgentDaemon {
 public:
  AgentDaemon(AgentSettings settings, const EventLog& log);

  /// See EntryDaemon::Run.
  int Run(const std::string& ready_file);

 private:
  void ExecuteActions();
  void OnTick();

  AgentSettings settings_;
  const EventLog& log_;
  SystemClock clock_;
  Metrics metrics_;
  EventLoop loop_;
  HttpClient http_client_;
  AgentNode node_;
  PeerPort peers_;
  PlatformClient platform_;
  ServerClient server_;
  ActionRunner runner_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_AGENT_DAEMON_H_
