#include "lavenderkeel/io/entry_daemon.h"

#include <csignal>
#include <type_traits>
#include <utility>

#include "lavenderkeel/io/daemon_main.h"
#include "lavenderkeel/io/node_wiring.h"

namespace lavenderkeel {

namespace {

HttpServer::Options HttpOptions(const EntrySettings& settings) {
  HttpServer::Options options = settings.http;
  options.max_connections = settings.common.limits.client_connections();
  return options;
}

}  // namespace

EntryDaemon::EntryDaemon(EntrySettings settings, const EventLog& log)
    : settings_(std::move(settings)),
      log_(log),
      http_client_(loop_),
      memory_(settings_.common.limits.client_bytes()),
      node_(settings_.node,
            settings_.common.self,
            clock_,
            settings_.common.self.id.incarnation,
            log,
            metrics_),
      bodies_({}, memory_, clock_),
      peers_(loop_,
             PeerPort::OptionsFor(settings_.common.limits),
             node_.members().self(),
             log),
      callers_(
          loop_,
          HttpOptions(settings_),
          clock_,
          bodies_,
          {.on_request =
               [this](const HttpRequest& request) { OnRequest(request); },
           .on_drained =
               [this](CallerId caller) {
                 node_.OnCallerDrained(caller);
                 ExecuteActions();
               },
           .on_gone =
               [this](CallerId caller) {
                 node_.OnCallerGone(caller);
                 ExecuteActions();
               },
           .on_refused = [this](const HttpRequest& request,
                                ResultCode code) { OnRefused(request, code); },
           .check_head =
               [this](const HttpRequest& request) {
                 return CheckHead(request);
               },
           .on_limit =
               [this](const ClientLimitEvent& event) {
                 RecordLimitEvent(event, log_, metrics_);
               }}),
      platform_(http_client_,
                settings_.common.platform,
                [this](PlatformCallId call, const PlatformReply& reply) {
                  node_.OnPlatformReply(call, reply);
                  ExecuteActions();
                }) {
  WirePeers(peers_, node_, [this] { ExecuteActions(); });
}

int EntryDaemon::Run(const std::string& ready_file) {
  constexpr int kCannotListenStatus = 1;
  const auto peers = peers_.Listen(settings_.common.listen_peers);
  const auto callers = callers_.Listen(settings_.listen_callers);
  if (!peers.has_value() || !callers.has_value()) {
    log_.Write(LogLevel::kError, "cannot_listen",
               {{"peers", settings_.common.listen_peers},
                {"callers", settings_.listen_callers}});
    return kCannotListenStatus;
  }
  const std::string& advertised = settings_.common.self.address;
  node_.Start(advertised.empty() ? *peers : advertised);
  const auto leave = [this] {
    last_request_ = clock_.Now();
    node_.Leave();
  };
  loop_.OnSignal(SIGTERM, leave);
  loop_.OnSignal(SIGINT, leave);
  loop_.Every(std::chrono::milliseconds(kTickMilliseconds),
              [this] { OnTick(); });
  log_.Info("listening", {{"instance", settings_.common.self.id.instance},
                          {"callers", *callers},
                          {"peers", *peers}});
  WriteReadyFile(ready_file, {{"callers", *callers}, {"peers", *peers}});
  ExecuteActions();
  loop_.Run();
  log_.Info("stopped", {{"instance", settings_.common.self.id.instance}});
  return 0;
}

void EntryDaemon::OnTick() {
  node_.Tick();
  peers_.Tick(clock_.Now());
  callers_.Tick();
  ExecuteActions();
  // Connections made before the stop may still be unread. If the process ended
  // now, their callers would see a reset and could not tell whether their
  // requests ran. The entry therefore continues to answer "leaving" until the
  // balancer has stopped sending.
  constexpr Duration kQuietTime = std::chrono::milliseconds(500);
  const bool quiet = clock_.Now() - last_request_ > kQuietTime;
  if (node_.CanExit() && callers_.open() == 0 && peers_.unsent() == 0 &&
      quiet) {
    loop_.Stop();
  }
}

CallerRequest EntryDaemon::ToCallerRequest(const HttpRequest& request) {
  constexpr std::string_view kBearer = "Bearer ";
  CallerRequest read{.caller = request.id,
                     .method = request.method,
                     .path = request.path,
                     .query = request.query,
                     .bearer = std::nullopt,
                     .idempotency_key = request.header("Idempotency-Key"),
                     .work = request.header("Lavenderkeel-Work"),
                     .deadline_ms = request.header("Lavenderkeel-Deadline-Ms"),
                     .body = request.body,
                     .memory = request.memory};
  const auto authorization = request.header("Authorization");
  if (authorization.has_value() && authorization->starts_with(kBearer)) {
    read.bearer = authorization->substr(kBearer.size());
  }
  return read;
}

ClientPort::HeadDecision EntryDaemon::CheckHead(const HttpRequest& request) {
  const CallerHeadDecision decision = node_.CheckHead(ToCallerRequest(request));
  return {.refusal = decision.refusal, .rank = decision.rank};
}

void EntryDaemon::OnRefused(const HttpRequest& request, ResultCode code) {
  node_.RefuseUnread(ToCallerRequest(request), code);
  ExecuteActions();
}

void EntryDaemon::OnRequest(const HttpRequest& request) {
  CallerRequest read = ToCallerRequest(request);
  if (read.path == "/metrics") {
    PutMemoryMetrics(bodies_, metrics_);
    metrics_.Set("client_connections",
                 static_cast<double>(callers_.connections()));
    metrics_.Set("peer_bytes_sent", static_cast<double>(peers_.bytes_sent()));
    metrics_.Set("peer_bytes_received",
                 static_cast<double>(peers_.bytes_received()));
    metrics_.Set("peers_refused", static_cast<double>(peers_.refused()));
    metrics_.Set("peer_messages_skipped",
                 static_cast<double>(peers_.messages_skipped()));
    metrics_.Set("peer_messages_too_large",
                 static_cast<double>(peers_.messages_too_large()));
  }
  last_request_ = clock_.Now();
  node_.OnCallerRequest(std::move(read));
  ExecuteActions();
}

void EntryDaemon::ExecuteActions() {
  runner_.Run(node_.outbox(), [this](auto& action) {
    using T = std::decay_t<decltype(action)>;
    if constexpr (std::is_same_v<T, SendMessage> ||
                  std::is_same_v<T, CloseLink> || std::is_same_v<T, Dial>) {
      peers_.Handle(action);
    } else if constexpr (std::is_same_v<T, PlatformCall>) {
      platform_.Handle(action);
    } else if constexpr (std::is_same_v<T, ReplyComplete> ||
                         std::is_same_v<T, ReplyHead> ||
                         std::is_same_v<T, ReplyChunk> ||
                         std::is_same_v<T, ReplyEnd> ||
                         std::is_same_v<T, ReplyAbort>) {
      callers_.Handle(std::move(action));
    }
  });
}

}  // namespace lavenderkeel
