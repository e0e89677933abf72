#include "lavenderkeel/io/forward_daemon.h"

#include <sys/time.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <random>
#include <utility>

#include "lavenderkeel/io/daemon_main.h"
#include "lavenderkeel/io/node_wiring.h"

namespace lavenderkeel {

namespace {

/// The steady clock stops while the machine is suspended, but the boot time
/// does not. Shorter suspensions don't invalidate any state of this process.
constexpr Duration kMinSuspension = std::chrono::milliseconds(300);

/// Time after the request to stop in which new requests are accepted. The
/// balancer checks readiness once a second and needs two refusals; where no
/// other entry is near, it continues to send until the port is closed. Streams
/// last up to several seconds, so a later request could not finish before the
/// process is killed.
constexpr Duration kAcceptTimeAfterStop = std::chrono::milliseconds(2700);

/// Time before the kill at which the remaining requests are ended in an orderly
/// way.
constexpr Duration kStopMargin = std::chrono::milliseconds(500);

/// Requests at the status port need no body.
constexpr size_t kMaxStatusBodyBytes = size_t{4} << 10;

Duration BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::duration_cast<Duration>(
             std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace

class ForwardDaemon::Port final : public ForwardPort {
 public:
  explicit Port(ForwardDaemon& daemon) : daemon_(daemon) {}

  void Respond(ExchangeId exchange,
               const ResponseHead& head,
               std::string_view body) override {
    daemon_.clients_.Respond(exchange, head, body);
  }
  void RespondHead(ExchangeId exchange, const ResponseHead& head) override {
    daemon_.clients_.RespondHead(exchange, head);
  }
  void RespondChunk(ExchangeId exchange, std::string_view bytes) override {
    daemon_.clients_.RespondChunk(exchange, bytes);
    daemon_.PauseIfCongested(exchange);
  }
  void RespondEnd(ExchangeId exchange) override {
    daemon_.clients_.RespondEnd(exchange);
  }
  void Abort(ExchangeId exchange) override { daemon_.clients_.Abort(exchange); }
  void Send(AttemptId attempt, OutgoingRequest outgoing) override {
    daemon_.upstream_.Send(attempt, outgoing);
  }
  void Cancel(AttemptId attempt) override { daemon_.upstream_.Cancel(attempt); }

 private:
  ForwardDaemon& daemon_;
};

ForwardDaemon::ForwardDaemon(ForwardSettings settings,
                             const MakeSource& make_source,
                             ForwardCodec codec,
                             const EventLog& log)
    : settings_(std::move(settings)),
      log_(log),
      http_client_(loop_),
      port_(std::make_unique<Port>(*this)),
      memory_(settings_.limits.client_bytes()),
      node_(settings_.node,
            settings_.self,
            make_source(http_client_),
            std::move(codec),
            *port_,
            clock_,
            std::random_device()(),
            log,
            metrics_),
      bodies_({.reclaim =
                   [this](int rank, size_t bytes) {
                     node_.controller().YieldMemory(rank, bytes);
                   }},
              memory_,
              clock_),
      peers_(loop_,
             PeerPort::OptionsFor(settings_.limits),
             node_.members().self(),
             log),
      clients_(loop_,
               {.max_connections = settings_.limits.client_connections()},
               clock_,
               bodies_,
               {.on_request =
                    [this](ExchangeId exchange,
                           RequestHead head,
                           std::string body,
                           MemoryCharge memory) {
                      node_.controller().OnRequest(exchange, std::move(head),
                                                   std::move(body),
                                                   std::move(memory));
                    },
                .check_head =
                    [this](const RequestHead& head) {
                      const auto decision = node_.controller().CheckHead(head);
                      return ClientPort::HeadDecision{
                          .refusal = decision.refusal,
                          .rank = decision.priority};
                    },
                .on_bad_request =
                    [this](ExchangeId exchange,
                           const RequestHead& head,
                           ResultCode code) {
                      node_.controller().OnBadRequest(exchange, head, code);
                    },
                .on_gone =
                    [this](ExchangeId exchange) {
                      paused_.erase(exchange);
                      node_.controller().OnClientGone(exchange);
                    },
                .on_written =
                    [this](ExchangeId exchange) { ResumeAnswer(exchange); },
                .limits = [this] { return LimitsInForce(); },
                .on_limit =
                    [this](const ClientLimitEvent& event) {
                      RecordLimitEvent(event, log_, metrics_);
                    }}),
      upstream_(
          loop_,
          {},
          clock_,
          {.on_head =
               [this](AttemptId attempt, const ResponseHead& head, bool fresh) {
                 return node_.controller().OnAnswerHead(attempt, head, fresh);
               },
           .on_chunk =
               [this](AttemptId attempt, std::string bytes) {
                 reading_ = attempt;
                 const bool wanted = node_.controller().OnAnswerChunk(
                     attempt, std::move(bytes));
                 reading_ = 0;
                 return wanted;
               },
           .on_end =
               [this](AttemptId attempt) {
                 node_.controller().OnAnswerEnd(attempt);
               },
           .on_failed =
               [this](AttemptId attempt, AttemptFailure failure) {
                 node_.controller().OnAttemptFailed(attempt, failure);
               }}),
      status_(
          loop_,
          {.name = "status",
           .max_body_bytes = kMaxStatusBodyBytes,
           .max_connections = settings_.limits.status_connections()},
          clock_,
          bodies_,
          {.on_request =
               [this](const HttpRequest& request) { OnStatusRequest(request); },
           .on_drained = [](CallerId) {},
           .on_gone = [](CallerId) {},
           .on_limit =
               [this](const ClientLimitEvent& event) {
                 RecordLimitEvent(event, log_, metrics_);
               }}) {
  WirePeers(peers_, node_, [this] { ExecuteActions(); });
}

ForwardDaemon::~ForwardDaemon() = default;

int ForwardDaemon::Run(const std::string& ready_file) {
  const auto peers = peers_.Listen(settings_.listen_peers);
  const auto clients = clients_.Listen(settings_.listen_clients);
  const auto status = status_.Listen(settings_.listen_status);
  if (!peers.has_value() || !clients.has_value() || !status.has_value()) {
    log_.Write(LogLevel::kError, "cannot_listen",
               {{"clients", settings_.listen_clients},
                {"status", settings_.listen_status},
                {"peers", settings_.listen_peers}});
    return 1;
  }
  if (node_.members().self().address.empty()) {
    node_.members().set_address(*peers);
  }
  suspended_time_ = BootTime() - clock_.Now().time_since_epoch();
  loop_.OnSignal(SIGTERM, [this] { OnLeave(); });
  loop_.OnSignal(SIGINT, [this] { OnLeave(); });
  // The settings are read at start only; SIGHUP must not end the process.
  loop_.OnSignal(SIGHUP, [this] { log_.Info("reload", {{"changed", "no"}}); });
  loop_.Every(std::chrono::milliseconds(kTickMilliseconds),
              [this] { OnTick(); });
  log_.Info("start", {{"instance", settings_.self.id.ToString()},
                      {"data_centre", settings_.self.data_centre},
                      {"clients", *clients},
                      {"status", *status},
                      {"peers", *peers},
                      {"version", kVersion}});
  WriteReadyFile(
      ready_file,
      {{"clients", *clients}, {"status", *status}, {"peers", *peers}});
  node_.Start();
  ExecuteActions();
  loop_.Run();
  log_.Info("stop", {{"instance", settings_.self.id.ToString()},
                     {"open", node_.controller().open()}});
  return 0;
}

void ForwardDaemon::OnLeave() {
  if (node_.leaving()) {
    return;
  }
  log_.Info("leave", {{"open", node_.controller().open()},
                      {"connections", clients_.connections()}});
  left_at_ = clock_.Now();
  clients_.set_leaving();
  node_.Leave();
  ExecuteActions();
}

void ForwardDaemon::CheckForFreeze() {
  const Duration suspended = BootTime() - clock_.Now().time_since_epoch();
  if (suspended - suspended_time_ > kMinSuspension) {
    node_.OnSuspended();
  }
  suspended_time_ = suspended;
}

std::optional<ClientLimits> ForwardDaemon::LimitsInForce() {
  const auto& table = node_.controller().table();
  return table == nullptr ? std::nullopt : std::optional(table->limits());
}

void ForwardDaemon::PauseIfCongested(ExchangeId exchange) {
  constexpr size_t kMaxUnsentBytes = size_t{256} << 10;
  /// The same while the memory for clients is used up.
  constexpr size_t kMaxUnsentBytesIfShort = size_t{16} << 10;
  const size_t max_unsent =
      memory_.is_over() ? kMaxUnsentBytesIfShort : kMaxUnsentBytes;
  if (reading_ == 0 || clients_.UnsentBytes(exchange) <= max_unsent) {
    return;
  }
  if (paused_.insert_or_assign(exchange, reading_).second) {
    metrics_.Add("answers_paused");
  }
  upstream_.SetReading(reading_, false);
}

void ForwardDaemon::ResumeAnswer(ExchangeId exchange) {
  const auto paused = paused_.find(exchange);
  if (paused != paused_.end()) {
    upstream_.SetReading(paused->second, true);
    paused_.erase(paused);
  }
}

void ForwardDaemon::CheckPausedAnswers() {
  std::erase_if(paused_, [this](const auto& item) {
    return !upstream_.Has(item.second);
  });
  for (const auto& [exchange, attempt] : paused_) {
    node_.controller().OnAnswerPaused(attempt);
  }
}

void ForwardDaemon::OnTick() {
  CheckForFreeze();
  CheckPausedAnswers();
  clients_.Tick();
  status_.Tick();
  upstream_.Tick();
  node_.Tick();
  peers_.Tick(clock_.Now());
  ExecuteActions();
  if (!node_.leaving()) {
    return;
  }
  ContinueLeaving();
}

void ForwardDaemon::ContinueLeaving() {
  const Duration since = clock_.Now() - left_at_;
  if (since < std::min(kAcceptTimeAfterStop, settings_.stop_time / 2)) {
    return;
  }
  if (!std::exchange(closed_, true)) {
    log_.Info("closing", {{"open", node_.controller().open()}});
    node_.controller().RejectNewRequests();
    clients_.StopListening();
  }
  clients_.CloseIdle();
  const bool idle = clients_.busy() == 0 && node_.controller().open() == 0;
  if (idle || since > settings_.stop_time - kStopMargin) {
    loop_.Stop();
  }
}

void ForwardDaemon::OnStatusRequest(const HttpRequest& request) {
  ReplyComplete reply{.caller = request.id};
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  if (request.path == "/metrics") {
    metrics_.Set("open_requests",
                 static_cast<double>(node_.controller().open()));
    metrics_.Set("waiting_requests",
                 static_cast<double>(node_.controller().waiting()));
    PutMemoryMetrics(bodies_, metrics_);
    metrics_.Set("client_connections",
                 static_cast<double>(clients_.connections()));
    metrics_.Set("server_connects", static_cast<double>(upstream_.connects()));
    metrics_.Set("server_connection_reuses",
                 static_cast<double>(upstream_.reuses()));
    metrics_.Set("server_connections_passed_over",
                 static_cast<double>(upstream_.passed_over()));
    metrics_.Set("peers_refused", static_cast<double>(peers_.refused()));
    metrics_.Set("peer_messages_skipped",
                 static_cast<double>(peers_.messages_skipped()));
    metrics_.Set("peer_messages_too_large",
                 static_cast<double>(peers_.messages_too_large()));
    node_.controller().retries().PutMetrics(metrics_);
    metrics_.Set("store_calls", static_cast<double>(node_.store_calls()));
    reply.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    reply.body = metrics_.ToPrometheus();
  } else if (request.path == settings_.ready_path) {
    reply.status = node_.ready() ? 200 : kUnavailable;
  } else {
    reply.status = kNotFound;
  }
  status_.Handle(std::move(reply));
}

void ForwardDaemon::ExecuteActions() {
  runner_.Run(node_.outbox(), [this](auto& action) {
    using T = std::decay_t<decltype(action)>;
    if constexpr (std::is_same_v<T, SendMessage> ||
                  std::is_same_v<T, CloseLink> || std::is_same_v<T, Dial>) {
      peers_.Handle(action);
    }
  });
}

}  // namespace lavenderkeel
