#include "lavenderkeel/io/agent_daemon.h"

#include <csignal>
#include <type_traits>
#include <utility>

#include "lavenderkeel/io/daemon_main.h"
#include "lavenderkeel/io/node_wiring.h"

namespace lavenderkeel {

AgentDaemon::AgentDaemon(AgentSettings settings, const EventLog& log)
    : settings_(std::move(settings)),
      log_(log),
      http_client_(loop_),
      node_(settings_.node,
            settings_.common.self,
            clock_,
            settings_.common.self.id.incarnation,
            log,
            metrics_),
      peers_(loop_,
             PeerPort::OptionsFor(settings_.common.limits),
             node_.members().self(),
             log),
      platform_(http_client_,
                settings_.common.platform,
                [this](PlatformCallId call, const PlatformReply& reply) {
                  node_.OnPlatformReply(call, reply);
                  ExecuteActions();
                }),
      server_(http_client_,
              settings_.server_address,
              node_.gate().server(),
              [this] { ExecuteActions(); }) {
  WirePeers(peers_, node_, [this] { ExecuteActions(); });
}

int AgentDaemon::Run(const std::string& ready_file) {
  constexpr int kCannotListenStatus = 1;
  const auto peers = peers_.Listen(settings_.common.listen_peers);
  if (!peers.has_value()) {
    log_.Write(LogLevel::kError, "cannot_listen",
               {{"peers", settings_.common.listen_peers}});
    return kCannotListenStatus;
  }
  const std::string& advertised = settings_.common.self.address;
  node_.Start(advertised.empty() ? *peers : advertised);
  loop_.OnSignal(SIGTERM, [this] { node_.Leave(); });
  loop_.OnSignal(SIGINT, [this] { node_.Leave(); });
  loop_.Every(std::chrono::milliseconds(kTickMilliseconds),
              [this] { OnTick(); });
  log_.Info("listening", {{"instance", settings_.common.self.id.instance},
                          {"peers", *peers},
                          {"server", settings_.server_address}});
  WriteReadyFile(ready_file, {{"peers", *peers}});
  ExecuteActions();
  loop_.Run();
  log_.Info("stopped", {{"instance", settings_.common.self.id.instance}});
  return 0;
}

void AgentDaemon::OnTick() {
  node_.Tick();
  peers_.Tick(clock_.Now());
  ExecuteActions();
  // The last bytes of answers must have been sent. The heartbeats drop the link
  // of an unresponsive peer, so this wait is bounded.
  if (node_.CanExit() && peers_.unsent() == 0) {
    loop_.Stop();
  }
}

void AgentDaemon::ExecuteActions() {
  runner_.Run(node_.outbox(), [this](auto& action) {
    using T = std::decay_t<decltype(action)>;
    if constexpr (std::is_same_v<T, SendMessage> ||
                  std::is_same_v<T, CloseLink> || std::is_same_v<T, Dial>) {
      peers_.Handle(action);
    } else if constexpr (std::is_same_v<T, PlatformCall>) {
      platform_.Handle(action);
    } else if constexpr (std::is_same_v<T, ServerStart> ||
                         std::is_same_v<T, ServerResume> ||
                         std::is_same_v<T, ServerCancel>) {
      server_.Handle(action);
    }
  });
}

}  // namespace lavenderkeel
