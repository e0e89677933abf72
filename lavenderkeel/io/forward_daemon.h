#ifndef LAVENDERKEEL_IO_FORWARD_DAEMON_H_
#define LAVENDERKEEL_IO_FORWARD_DAEMON_H_

#include <functional>
#include <string>
#include <unordered_map>

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

/// The process of a forwarding entry: a ForwardNode with its sockets.
class ForwardDaemon {
 public:
  /// Creates the source, which reads with the given client.
  using MakeSource = std::function<ForwardSource(HttpClient&)>;

  ForwardDaemon(ForwardSettings settings,
                const MakeSource& make_source,
                ForwardCodec codec,
                const EventLog& log);
  ~ForwardDaemon();

  /// Binds the sockets, then runs until the graceful shutdown is complete.
  /// @return the exit status
  int Run(const std::string& ready_file);

 private:
  /// Forwards the controller's calls to the client port and the upstream port.
  class Port;

  void OnTick();
  void OnStatusRequest(const HttpRequest& request);
  void OnLeave();
  void ContinueLeaving();
  void ExecuteActions();
  void CheckForFreeze();
  /// Returns nothing before the first configuration.
  std::optional<ClientLimits> LimitsInForce();
  /// Stops reading an answer that its client does not take.
  void PauseIfCongested(ExchangeId exchange);
  void ResumeAnswer(ExchangeId exchange);
  /// Keeps paused answers from being taken for silent ones.
  void CheckPausedAnswers();

  ForwardSettings settings_;
  const EventLog& log_;
  SystemClock clock_;
  Metrics metrics_;
  EventLoop loop_;
  HttpClient http_client_;
  std::unique_ptr<Port> port_;
  /// Before the node, whose requests hold a part of it.
  MemoryBudget memory_;
  ForwardNode node_;
  BodyMemory bodies_;
  PeerPort peers_;
  ClientPort clients_;
  UpstreamPort upstream_;
  HttpServer status_;
  ActionRunner runner_;
  TimePoint left_at_;
  /// The attempt whose answer is being read; zero: none.
  AttemptId reading_ = 0;
  /// Attempts whose answers are not read on, by the exchange they belong to.
  std::unordered_map<ExchangeId, AttemptId> paused_;
  /// True once new requests are no longer accepted.
  bool closed_ = false;
  /// Boot time minus steady time: the time that the machine was suspended.
  Duration suspended_time_{};
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_FORWARD_DAEMON_H_
