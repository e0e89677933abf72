#ifndef LAVENDERKEEL_IO_ENTRY_DAEMON_H_
#define LAVENDERKEEL_IO_ENTRY_DAEMON_H_

#include <string>

#include "lavenderkeel/base.h"
#include "lavenderkeel/dispatch.h"
#include "lavenderkeel/io/action_runner.h"
#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_client.h"
#include "lavenderkeel/io/http_server.h"
#include "lavenderkeel/io/peer_port.h"
#include "lavenderkeel/io/platform_client.h"
#include "lavenderkeel/io/settings.h"

namespace lavenderkeel {

/// The entry process: an EntryNode with its sockets.
class EntryDaemon {
 public:
  EntryDaemon(EntrySettings settings, const EventLog& log);

  /// Binds the sockets, then runs until the graceful shutdown is complete.
  ///
  /// @param ready_file written once the sockets are bound; may be empty
  /// @return the exit status
  int Run(const std::string& ready_file);

 private:
  void ExecuteActions();
  static CallerRequest ToCallerRequest(const HttpRequest& request);
  ClientPort::HeadDecision CheckHead(const HttpRequest& request);
  void OnRequest(const HttpRequest& request);
  /// Refuses a request that was not read whole.
  void OnRefused(const HttpRequest& request, ResultCode code);
  void OnTick();

  EntrySettings settings_;
  const EventLog& log_;
  SystemClock clock_;
  Metrics metrics_;
  EventLoop loop_;
  HttpClient http_client_;
  /// Before the node, whose requests hold a part of it.
  MemoryBudget memory_;
  EntryNode node_;
  BodyMemory bodies_;
  PeerPort peers_;
  HttpServer callers_;
  PlatformClient platform_;
  ActionRunner runner_;
  TimePoint last_request_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_ENTRY_DAEMON_H_
