#include "test/fakes/forward_simulation.h"

#include <utility>

#include "lavenderkeel/http.h"

namespace lavenderkeel::fakes {

std::string SentAttempt::Field(const std::string& name) const {
  RequestReader reader({});
  reader.Feed(bytes);
  const std::string* value = FindField(reader.head().fields, name);
  return value == nullptr ? "" : *value;
}

void FakeForwardPort::Respond(ExchangeId exchange,
                              const ResponseHead& head,
                              std::string_view body) {
  RespondHead(exchange, head);
  clients[exchange].body = body;
  clients[exchange].ended = true;
}

void FakeForwardPort::RespondHead(ExchangeId exchange,
                                  const ResponseHead& head) {
  clients[exchange].status = head.status;
  clients[exchange].fields = head.fields;
}

void FakeForwardPort::RespondChunk(ExchangeId exchange,
                                   std::string_view bytes) {
  clients[exchange].body += bytes;
}

void FakeForwardPort::RespondEnd(ExchangeId exchange) {
  clients[exchange].ended = true;
}

void FakeForwardPort::Abort(ExchangeId exchange) {
  clients[exchange].aborted = true;
}

void FakeForwardPort::Send(AttemptId attempt, OutgoingRequest outgoing) {
  sent.push_back({.attempt = attempt,
                  .address = std::move(outgoing.address),
                  .bytes = outgoing.head + *outgoing.body,
                  .max_reuse_idle_time = outgoing.max_reuse_idle_time});
}

void FakeForwardPort::Cancel(AttemptId attempt) {
  for (SentAttempt& outgoing : sent) {
    outgoing.cancelled = outgoing.cancelled || outgoing.attempt == attempt;
  }
}

ForwardSimulation::ForwardSimulation() : ForwardSimulation(Options()) {}

ForwardSimulation::ForwardSimulation(const Options& options)
    : notices({.self = "self"}, clock, log),
      slot_scheduler(
          {},
          directory,
          notices,
          clock,
          [this](const std::string& requester, const SlotGrant& grant) {
            const bool wanted = slots.OnGrant(requester, grant.attempt) &&
                                controller.OnSlotGranted(requester, grant);
            if (!wanted) {
              slot_scheduler.ReleaseSlot(requester, grant.attempt, {});
            }
          }),
      slots({.self = "self"},
            directory,
            clock,
            log,
            {.request_slot =
                 [this](const std::string& name,
                        const SlotRequest& slot_request) {
                   slot_scheduler.RequestSlot(name, slot_request);
                 },
             .release_slot =
                 [this](const std::string& name,
                        AttemptId attempt,
                        const SlotResult& result) {
                   slot_scheduler.ReleaseSlot(name, attempt, result);
                 }}),
      crashes({}, clock, log, metrics),
      rollouts({}, directory, clock, log),
      controller(options.controller,
                 hybrid::MakeHeaderCodec(),
                 port,
                 directory,
                 slots,
                 crashes,
                 rollouts,
                 notices,
                 clock,
                 log,
                 metrics) {
  if (options.configured) {
    controller.OnRouteTable(std::make_shared<const RouteTable>(Table()));
  }
  std::vector<BackendServer> servers;
  for (int i = 1; i <= options.servers; ++i) {
    servers.push_back({.id = "server-" + std::to_string(i),
                       .service = "engines",
                       .address = "127.0.0.1:" + std::to_string(i),
                       .slots = options.slots});
  }
  directory.ApplyList(servers, clock.Now());
}

RouteTableContent ForwardSimulation::Table(uint64_t version) {
  using std::chrono::milliseconds;
  const auto route = [](const std::string& name) {
    return Route{.name = name,
                 .host = "h",
                 .path_prefix = "/" + name + "/",
                 .services = {{.service = "engines"}},
                 .timeout = milliseconds(10'000),
                 .latency_target = milliseconds(500),
                 .event_gap_target = milliseconds(300),
                 .max_attempts = 2};
  };
  Route stream = route("stream");
  stream.streaming = true;
  stream.resumable = true;
  Route once_stream = route("once-stream");
  once_stream.streaming = true;
  Route lookup = route("lookup");
  lookup.idempotent = true;
  lookup.priority = 2;
  return {.version = version,
          .routes = {stream, once_stream, lookup, route("once")},
          .services = {{.name = "engines", .batch_slots = 2}},
          .teams = {{.name = "team", .api_keys = {"key"}}}};
}

ExchangeId ForwardSimulation::Request(const std::string& route,
                                      const HttpFields& extra) {
  const ExchangeId exchange = ++last_exchange_;
  RequestHead head{.method = "POST",
                   .target = "/" + route + "/x",
                   .fields = {{"Host", "h"},
                              {"Request-Id", "r" + std::to_string(exchange)},
                              {"Authorization", "Bearer key"},
                              {"Deadline-Ms", "10000"}}};
  for (const HttpField& field : extra) {
    std::erase_if(head.fields, [&](const HttpField& present) {
      return present.name == field.name;
    });
    head.fields.push_back(field);
  }
  controller.OnRequest(exchange, std::move(head), "body");
  return exchange;
}

void ForwardSimulation::Advance(Duration by) {
  constexpr Duration kTick = std::chrono::milliseconds(20);
  for (Duration elapsed{}; elapsed < by; elapsed += kTick) {
    clock.Advance(kTick);
    slot_scheduler.GrantFreeSlots();
    controller.Tick();
  }
}

void ForwardSimulation::Head(const SentAttempt& attempt,
                             int status,
                             const HttpFields& extra) {
  ResponseHead head{.status = status,
                    .fields = {{"Request-Id", attempt.Field("Request-Id")}},
                    .framing = BodyFraming::kChunked};
  for (const HttpField& field : extra) {
    head.fields.push_back(field);
  }
  controller.OnAnswerHead(attempt.attempt, head, /*fresh=*/true);
}

void ForwardSimulation::Answer(const SentAttempt& attempt,
                               int status,
                               const std::string& body,
                               const HttpFields& extra) {
  const SentAttempt answered = attempt;
  HttpFields fields = extra;
  constexpr int kMisdirected = 421;
  if (FindField(extra, "Not-Executed") == nullptr && status != kMisdirected) {
    fields.push_back({"Response-Seal", "seal"});
  }
  Head(answered, status, fields);
  if (!body.empty()) {
    controller.OnAnswerChunk(answered.attempt, body);
  }
  controller.OnAnswerEnd(answered.attempt);
}

std::string ForwardSimulation::EventText(int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) {
    text += "id: " + std::to_string(id) + "\ndata: x\n\n";
  }
  return text;
}

void ForwardSimulation::Events(const SentAttempt& attempt,
                               int first,
                               int last) {
  const SentAttempt answered = attempt;
  if (answered.Field("Last-Event-Id").empty() ? first == 1 : true) {
    Head(answered, 200,
         {{"Response-Seal", "seal"}, {"Content-Type", "text/event-stream"}});
  }
  controller.OnAnswerChunk(answered.attempt, EventText(first, last));
}

}  // namespace lavenderkeel::fakes
