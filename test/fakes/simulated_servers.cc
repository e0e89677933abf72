#include "test/fakes/simulated_servers.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/http.h"

namespace lavenderkeel::fakes {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

/// Events of a whole stream, and of one that is cut.
constexpr int kStreamEvents = 5;
constexpr int kCutAfterEvents = 2;

/// Whether the request's route in ForwardSimulation::Table() streams.
bool IsStream(const SentAttempt& attempt) {
  RequestReader reader({});
  reader.Feed(attempt.bytes);
  const std::string& target = reader.head().target;
  return target.starts_with("/stream/") || target.starts_with("/once-stream/");
}

}  // namespace

SimulatedServers::SimulatedServers(FleetSimulation& fleet,
                                   const Options& options)
    : fleet_(fleet), options_(options) {
  servers_.resize(ToIndex(options_.servers));
  for (size_t i = 0; i < servers_.size(); ++i) {
    servers_[i].address = "10.0.2." + std::to_string(i + 1) + ":1";
    Start(i);
  }
}

std::string SimulatedServers::BodyOf(const SentAttempt& attempt) {
  RequestReader reader({});
  reader.Feed(attempt.bytes);
  return reader.TakeBody();
}

void SimulatedServers::Advance(Duration by) {
  const TimePoint end = fleet_.Now() + by;
  while (fleet_.Now() < end) {
    fleet_.Advance(kStep);
    Step();
  }
}

void SimulatedServers::SetLimit(int server, std::optional<double> per_second) {
  Server& limited = servers_[ToIndex(server)];
  limited.limit = per_second;
  history_.OnLimit(limited.id, per_second, fleet_.Now());
}

void SimulatedServers::SetLeaving(int server) {
  servers_[ToIndex(server)].leaving = true;
  history_.OnLeaving(servers_[ToIndex(server)].id);
}

void SimulatedServers::Start(size_t index) {
  Server& server = servers_[index];
  server.id =
      "s" + std::to_string(index) + "." + std::to_string(server.starts++);
  server.up = true;
  server.limit.reset();
  server.answer_fields.clear();
  server.leaving = false;
  server.pushback.reset();
  fleet_.PutServer(server.id, /*draining=*/false, server.address);
}

void SimulatedServers::Crash(int server) {
  if (servers_[ToIndex(server)].up) {
    CrashServer(ToIndex(server));
  }
}

void SimulatedServers::CrashServer(size_t index) {
  Server& server = servers_[index];
  server.up = false;
  server.restart_at = fleet_.Now() + options_.restart_delay;
  pending_removals_[server.id] = fleet_.Now() + options_.removal_delay;
  ++crashes_;
  for (const Run& run : TakeRuns(index)) {
    const auto events = static_cast<int>(kStreamEvents * ToSeconds(run.worked) /
                                         ToSeconds(options_.answer_delay));
    const bool has_begun = options_.cut_streams_midway && events > 0 &&
                           IsStream(run.attempt) && !IsCrashing(run);
    if (has_begun) {
      AnswerStream(run, /*complete=*/false, events - 1);
    } else if (options_.end_with_connection && IsCrashing(run)) {
      EndAfterHead(run);
    } else {
      Fail(run, AttemptFailure::kDisconnected);
    }
  }
}

void SimulatedServers::EndAfterHead(const Run& run) {
  if (!IsAwaited(run)) {
    return;
  }
  const ResponseHead head = {
      .status = kOk,
      .fields = {{"Request-Id", run.attempt.Field("Request-Id")},
                 {"Response-Seal", "seal"},
                 {"Content-Type",
                  IsStream(run.attempt) ? "text/event-stream" : "text/plain"}},
      .framing = BodyFraming::kUntilClose};
  fleet_.RunIn(run.entry,
               [attempt = run.attempt.attempt, head](ForwardNode& node) {
                 node.controller().OnAnswerHead(attempt, head, /*fresh=*/true);
                 node.controller().OnAnswerEnd(attempt);
               });
}

bool SimulatedServers::IsCrashing(const Run& run) const {
  return options_.is_crashing ? options_.is_crashing(run.attempt)
                              : crashing_bodies_.contains(run.body);
}

void SimulatedServers::ResetConnections(int server) {
  for (const Run& run : TakeRuns(ToIndex(server))) {
    Fail(run, AttemptFailure::kDisconnected);
  }
}

std::optional<int> SimulatedServers::ServerOf(const std::string& body) const {
  const auto run = std::ranges::find(runs_, body, &Run::body);
  return run == runs_.end() ? std::nullopt
                            : std::optional(static_cast<int>(run->server));
}

std::vector<SimulatedServers::Run> SimulatedServers::TakeRuns(size_t server) {
  const auto at_server = std::stable_partition(
      runs_.begin(), runs_.end(),
      [server](const Run& run) { return run.server != server; });
  std::vector<Run> removed(at_server, runs_.end());
  runs_.erase(at_server, runs_.end());
  return removed;
}

bool SimulatedServers::IsAwaited(const Run& run) const {
  if (!fleet_.IsRunning(run.entry) ||
      fleet_.incarnation(run.entry) != run.incarnation) {
    return false;
  }
  return std::ranges::none_of(
      fleet_.port(run.entry).sent, [&](const SentAttempt& sent) {
        return sent.attempt == run.attempt.attempt && sent.cancelled;
      });
}

void SimulatedServers::Fail(const Run& run, AttemptFailure failure) {
  if (IsAwaited(run)) {
    fleet_.RunIn(run.entry,
                 [attempt = run.attempt.attempt, failure](ForwardNode& node) {
                   node.controller().OnAttemptFailed(attempt, failure);
                 });
  }
}

void SimulatedServers::Answer(const Run& run, int status) {
  if (!IsAwaited(run)) {
    return;
  }
  ResponseHead head = {
      .status = status,
      .fields = {{"Request-Id", run.attempt.Field("Request-Id")}},
      .framing = options_.end_with_connection ? BodyFraming::kUntilClose
                                              : BodyFraming::kLength};
  const bool has_run = status == kOk || status == kServerError;
  head.fields.push_back(has_run ? HttpField{"Response-Seal", "seal"}
                                : HttpField{"Not-Executed", "1"});
  if (status != kMisdirected) {
    const Server& server = servers_[run.server];
    if (server.limit.has_value()) {
      head.fields.push_back({"Server-Limit", std::to_string(*server.limit)});
    }
    head.fields.insert(head.fields.end(), server.answer_fields.begin(),
                       server.answer_fields.end());
    if (server.leaving) {
      head.fields.push_back({"Server-Leaving", "1"});
    }
    if (status == kUnavailable && server.pushback.has_value() &&
        FindField(server.answer_fields, "Retry-After") == nullptr) {
      head.fields.push_back(
          {"Retry-After", std::to_string(ToSeconds(*server.pushback))});
      history_.OnPushback(server.id, {run.entry, run.incarnation}, fleet_.Now(),
                          *server.pushback);
    }
    history_.OnAnswer(server.id, {run.entry, run.incarnation}, fleet_.Now());
  }
  fleet_.RunIn(run.entry,
               [attempt = run.attempt.attempt, head](ForwardNode& node) {
                 node.controller().OnAnswerHead(attempt, head, /*fresh=*/true);
                 node.controller().OnAnswerChunk(attempt, "answer");
                 node.controller().OnAnswerEnd(attempt);
               });
}

void SimulatedServers::AnswerStream(const Run& run,
                                    bool complete,
                                    int cut_after_events) {
  if (!IsAwaited(run)) {
    return;
  }
  const std::string last = run.attempt.Field("Last-Event-Id");
  const int first = last.empty() ? 1 : std::stoi(last) + 1;
  const int end = complete ? kStreamEvents
                           : std::min(kStreamEvents, first + cut_after_events);
  const ResponseHead head = {
      .status = kOk,
      .fields = {{"Request-Id", run.attempt.Field("Request-Id")},
                 {"Response-Seal", "seal"},
                 {"Content-Type", "text/event-stream"}},
      .framing = options_.end_with_connection ? BodyFraming::kUntilClose
                                              : BodyFraming::kChunked};
  std::string events = ForwardSimulation::EventText(first, end);
  const bool ends_orderly = complete || options_.end_with_connection;
  if (!complete && options_.end_with_connection) {
    events += "id: " + std::to_string(end) + "\ndata: to";
  }
  fleet_.RunIn(run.entry, [attempt = run.attempt.attempt, head, events,
                           ends_orderly](ForwardNode& node) {
    ForwardController& controller = node.controller();
    controller.OnAnswerHead(attempt, head, /*fresh=*/true);
    controller.OnAnswerChunk(attempt, events);
    if (ends_orderly) {
      controller.OnAnswerEnd(attempt);
    }
  });
  if (!ends_orderly) {
    Fail(run, AttemptFailure::kDisconnected);
  }
}

void SimulatedServers::Finish(const Run& run) {
  switch (run.fate) {
    case Fate::kError:
      Answer(run, kServerError);
      return;
    case Fate::kLost:
      Fail(run, AttemptFailure::kDisconnected);
      return;
    case Fate::kGarbled:
      Fail(run, AttemptFailure::kBroken);
      return;
    case Fate::kCut:
      if (IsStream(run.attempt)) {
        AnswerStream(run, /*complete=*/false, kCutAfterEvents);
      } else {
        Fail(run, AttemptFailure::kBroken);
      }
      return;
    default:
      break;
  }
  if (IsStream(run.attempt)) {
    AnswerStream(run, /*complete=*/true, 0);
  } else {
    Answer(run, NextStatus(servers_[run.server]));
  }
}

void SimulatedServers::ReceiveAttempts(int entry) {
  size_t& received = received_counts_[{entry, fleet_.incarnation(entry)}];
  while (received < fleet_.port(entry).sent.size()) {
    const SentAttempt attempt = fleet_.port(entry).sent[received++];
    ReceiveAttempt(entry, attempt);
  }
}

void SimulatedServers::ReceiveAttempt(int entry, const SentAttempt& attempt) {
  const auto server =
      std::ranges::find(servers_, attempt.address, &Server::address);
  Run run = {.entry = entry,
             .incarnation = fleet_.incarnation(entry),
             .attempt = attempt,
             .body = BodyOf(attempt),
             .server = static_cast<size_t>(server - servers_.begin()),
             .started_at = fleet_.Now()};
  if (!server->up) {
    Fail(run, AttemptFailure::kNotConnected);
  } else if (attempt.Field("Expect-Instance") != server->id) {
    Answer(run, kMisdirected);
  } else {
    arrival_times_[run.body].push_back(fleet_.Now());
    if (options_.on_arrival) {
      options_.on_arrival(attempt.Field("Request-Id"));
    }
    if (options_.decide_fate) {
      run.fate = options_.decide_fate(static_cast<int>(run.server));
    }
    history_.OnArrival(server->id, {run.entry, run.incarnation}, fleet_.Now(),
                       fleet_.RequestedAt(attempt.Field("Request-Id")));
    const bool turned_away =
        server->pushback.has_value() &&
        (server->only_entry < 0 || server->only_entry == entry);
    if (turned_away || run.fate == Fate::kRejected) {
      Answer(run, kUnavailable);
    } else {
      runs_.push_back(run);
    }
  }
}

void SimulatedServers::Advance(const Run& run) {
  const Duration ran = fleet_.Now() - run.started_at;
  if (IsCrashing(run)) {
    if (ran >= options_.crash_delay) {
      crash_times_[run.body].push_back(fleet_.Now());
      if (options_.on_crash) {
        options_.on_crash(run.attempt.Field("Request-Id"));
      }
      Crash(static_cast<int>(run.server));
    }
    return;
  }
  if (run.worked >= options_.answer_delay) {
    std::erase_if(runs_, [&run](const Run& other) {
      return other.entry == run.entry &&
             other.attempt.attempt == run.attempt.attempt;
    });
    Finish(run);
  }
}

int SimulatedServers::NextStatus(Server& server) {
  ++server.answers;
  return server.failing_period > 0 &&
                 server.answers % server.failing_period == 0
             ? kServerError
             : kOk;
}

void SimulatedServers::Step() {
  for (size_t i = 0; i < servers_.size(); ++i) {
    if (!servers_[i].up && fleet_.Now() >= servers_[i].restart_at) {
      Start(i);
    }
  }
  for (auto removal = pending_removals_.begin();
       removal != pending_removals_.end();) {
    const auto current = removal++;
    if (fleet_.Now() >= current->second) {
      fleet_.RemoveServer(current->first);
      pending_removals_.erase(current);
    }
  }
  for (Run& run : runs_) {
    run.worked += std::chrono::duration_cast<Duration>(
        kStep / servers_[run.server].slowness);
  }
  for (int entry = 0; entry < fleet_.entries(); ++entry) {
    if (fleet_.IsRunning(entry)) {
      ReceiveAttempts(entry);
    }
  }
  const std::vector<Run> runs = runs_;
  for (const Run& run : runs) {
    // An earlier run of this loop may have crashed the server of this run.
    const bool still_running =
        std::ranges::any_of(runs_, [&run](const Run& other) {
          return other.entry == run.entry &&
                 other.incarnation == run.incarnation &&
                 other.attempt.attempt == run.attempt.attempt;
        });
    if (still_running) {
      Advance(run);
    }
  }
}

}  // namespace lavenderkeel::fakes
