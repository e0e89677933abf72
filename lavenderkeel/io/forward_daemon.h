#ifndef LAVENDERKEEL_IO_FORWARD_DAEMON_H_
#define LAVENDERKEEL_IO_FORWARD_DAEMON_H_

#include <functional>
#include <string>

#include "lavenderkeel/base.h"
#include "lavenderkeel/forward/forward_node.h"
#include "lavenderkeel/io/action_runner.h"
#include "lavenderkeel/io/client_port.h"
#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/forward_settings.h"
#include "lavenderkeel/io/http_client.h"
#include "lavenderkeel/io/http_server.h"
#include "lavenderkeel/io/peer_port.h"
#include "lavenderkeel/io/upstream_port.h"

namespace lavenderkeel {

/// A forwarding entry's process: a ForwardNode with its sockets.
class ForwardDaemon {
 public:
  /// Builds the source once there is a client to read with.
  using MakeSource = std::function<ForwardSource(HttpClient&)>;

  ForwardDaemon(ForwardSettings settings,
                const MakeSource& make_source,
                ForwardCodec codec,
                const EventLog& log);
  ~ForwardDaemon();

  /// Binds, then runs until the graceful shutdown is over.
  /// @return the exit status
  int Run(const std::string& ready_file);

 private:
  /// Hands the controller's calls to the two ports.
  class Port;

  void OnTick();
  void OnStatusRequest(const HttpRequest& request);
  void OnLeave();
  void ContinueLeaving();
  void Settle();
  void NoticeFreeze();

  ForwardSettings settings_;
  const EventLog& log_;
  SystemClock clock_;
  Metrics metrics_;
  EventLoop loop_;
  HttpClient http_client_;
  std::unique_ptr<Port> port_;
  ForwardNode node_;
  PeerPort peers_;
  ClientPort clients_;
  UpstreamPort upstream_;
  HttpServer status_;
  ActionRunner runner_;
  TimePoint left_at_;
  /// No new requests are taken.
  bool closed_ = false;
  /// Boot time less steady time: what the machine spent suspended.
  Duration suspended_{};
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_FORWARD_DAEMON_H_
