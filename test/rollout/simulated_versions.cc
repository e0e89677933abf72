#include "test/rollout/simulated_versions.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/http.h"

namespace lavenderkeel {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kEvents = 8;

}  // namespace

SimulatedVersions::SimulatedVersions(fakes::FleetSimulation& fleet,
                                     const Options& options)
    : fleet_(fleet), options_(options), random_(options.seed) {}

void SimulatedVersions::AddVersion(const std::string& version) {
  for (int i = 0; i < options_.servers; ++i) {
    Server server = {
        .id = version + "-" + std::to_string(i),
        .address = "10.0." + std::to_string(servers_.size() + 2) + ".1:1",
        .version = version,
        .speed = i % 3 == 0 ? options_.slow_third_factor : 1};
    fleet_.PutServer(server.id, /*draining=*/false, server.address, version);
    servers_.push_back(std::move(server));
  }
}

void SimulatedVersions::StopVersion(const std::string& version) {
  for (size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].version == version && servers_[i].up) {
      servers_[i].up = false;
      servers_[i].back_at = TimePoint::max();
      cut_by_stop_ += RemoveRuns(i);
      fleet_.RemoveServer(servers_[i].id);
    }
  }
}

void SimulatedVersions::DrainVersion(const std::string& version) {
  for (const Server& server : servers_) {
    if (server.version == version) {
      fleet_.PutServer(server.id, /*draining=*/true, server.address, version);
    }
  }
}

void SimulatedVersions::SetFault(const std::string& version,
                                 const VersionFault& fault,
                                 TimePoint ordered) {
  bad_version_ = version;
  fault_ = fault;
  ordered_ = ordered;
}

void SimulatedVersions::Advance(Duration by) {
  const TimePoint end = fleet_.Now() + by;
  while (fleet_.Now() < end) {
    fleet_.Advance(kStep);
    Step();
  }
}

SimulatedVersions::Server& SimulatedVersions::FindServer(
    const std::string& version,
    int index) {
  for (Server& server : servers_) {
    if (server.version == version && index-- == 0) {
      return server;
    }
  }
  return servers_.front();
}

void SimulatedVersions::Crash(const std::string& version,
                              int index,
                              Duration down) {
  Server& server = FindServer(version, index);
  server.up = false;
  server.back_at = fleet_.Now() + down;
  RemoveRuns(static_cast<size_t>(&server - servers_.data()));
}

void SimulatedVersions::SetGreyFailure(const std::string& version,
                                       int index,
                                       double share,
                                       TimePoint until) {
  Server& server = FindServer(version, index);
  server.grey_share = share;
  server.grey_until = until;
}

int SimulatedVersions::ArrivalsAt(const std::string& version) const {
  return static_cast<int>(
      std::ranges::count(arrivals_, version, &Arrival::version));
}

int SimulatedVersions::RunningAt(const std::string& version) const {
  int running = 0;
  for (const Server& server : servers_) {
    running += server.version == version ? server.running : 0;
  }
  return running;
}

int SimulatedVersions::RemoveRuns(size_t server) {
  const auto at_server = std::stable_partition(
      runs_.begin(), runs_.end(),
      [server](const Run& run) { return run.server != server; });
  const std::vector<Run> removed(at_server, runs_.end());
  runs_.erase(at_server, runs_.end());
  servers_[server].running = 0;
  int awaited = 0;
  for (const Run& run : removed) {
    awaited += IsAwaited(run) ? 1 : 0;
    Fail(run, AttemptFailure::kDisconnected);
  }
  return awaited;
}

bool SimulatedVersions::IsAwaited(const Run& run) const {
  return fleet_.IsRunning(run.entry) &&
         fleet_.incarnation(run.entry) == run.incarnation &&
         !fleet_.port(run.entry).sent[run.sent_index].cancelled;
}

void SimulatedVersions::Fail(const Run& run, AttemptFailure failure) {
  if (IsAwaited(run)) {
    fleet_.RunIn(run.entry, [&](ForwardNode& node) {
      node.controller().OnAttemptFailed(run.attempt.attempt, failure);
    });
  }
}

void SimulatedVersions::Reject(const Run& run, int status) {
  if (!IsAwaited(run)) {
    return;
  }
  const ResponseHead head = {
      .status = status,
      .fields = {{"Request-Id", run.attempt.Field("Request-Id")},
                 {"Not-Executed", "1"}},
      .framing = BodyFraming::kLength};
  fleet_.RunIn(run.entry, [&](ForwardNode& node) {
    node.controller().OnAnswerHead(run.attempt.attempt, head, /*fresh=*/true);
    node.controller().OnAnswerEnd(run.attempt.attempt);
  });
}

void SimulatedVersions::SendWholeAnswer(const Run& run) {
  if (!IsAwaited(run)) {
    return;
  }
  const ResponseHead head = {
      .status = run.fails ? kServerError : kOk,
      .fields = {{"Request-Id", run.attempt.Field("Request-Id")},
                 {"Response-Seal", "seal"}},
      .framing = BodyFraming::kLength};
  fleet_.RunIn(run.entry, [&](ForwardNode& node) {
    node.controller().OnAnswerHead(run.attempt.attempt, head, /*fresh=*/true);
    node.controller().OnAnswerChunk(run.attempt.attempt, "answer");
    node.controller().OnAnswerEnd(run.attempt.attempt);
  });
}

void SimulatedVersions::SendChunk(Run& run, bool last) {
  if (!IsAwaited(run)) {
    return;
  }
  fleet_.RunIn(run.entry, [&](ForwardNode& node) {
    ForwardController& controller = node.controller();
    const AttemptId attempt = run.attempt.attempt;
    if (!std::exchange(run.head_sent, true)) {
      const ResponseHead head = {
          .status = kOk,
          .fields = {{"Request-Id", run.attempt.Field("Request-Id")},
                     {"Response-Seal", "seal"},
                     {"Content-Type", "text/event-stream"}},
          .framing = BodyFraming::kChunked};
      controller.OnAnswerHead(attempt, head, /*fresh=*/true);
      controller.OnAnswerChunk(attempt, "id: 1\ndata: x\n\n");
    }
    if (last) {
      std::string events;
      for (int id = 2; id <= kEvents; ++id) {
        events += "id: " + std::to_string(id) + "\ndata: x\n\n";
      }
      controller.OnAnswerChunk(attempt, events);
      controller.OnAnswerEnd(attempt);
    }
  });
}

void SimulatedVersions::StartSentAttempts(int entry) {
  const uint64_t incarnation = fleet_.incarnation(entry);
  size_t& processed = processed_[{entry, incarnation}];
  while (processed < fleet_.port(entry).sent.size()) {
    Run run = {.entry = entry,
               .incarnation = incarnation,
               .sent_index = processed,
               .attempt = fleet_.port(entry).sent[processed]};
    ++processed;
    StartRun(std::move(run));
  }
}

void SimulatedVersions::StartRun(Run run) {
  const auto server =
      std::ranges::find(servers_, run.attempt.address, &Server::address);
  run.server = static_cast<size_t>(server - servers_.begin());
  if (!server->up) {
    Fail(run, AttemptFailure::kNotConnected);
    return;
  }
  if (run.attempt.Field("Expect-Instance") != server->id) {
    Reject(run, kMisdirected);
    return;
  }
  RequestReader reader({});
  reader.Feed(run.attempt.bytes);
  const std::string& target = reader.head().target;
  const std::string route = target.substr(1, target.find('/', 1) - 1);
  arrivals_.push_back({.at = fleet_.Now(),
                       .version = server->version,
                       .request = run.attempt.Field("Request-Id")});
  constexpr int kQueueFactor = 2;
  if (server->running >= options_.slots * kQueueFactor) {
    Reject(run, kUnavailable);
    return;
  }
  DecideOutcome(run, *server, route);
  ++server->running;
  runs_.push_back(std::move(run));
}

void SimulatedVersions::DecideOutcome(Run& run,
                                      const Server& server,
                                      const std::string& route) {
  const TimePoint now = fleet_.Now();
  std::lognormal_distribution<> spread(0, 0.4);
  // A full batch slows down all of its requests.
  const double batch_slowdown = 1 + 0.15 * server.running;
  double ms = ToFractionalMilliseconds(options_.answer_time) * server.speed *
              batch_slowdown * spread(random_);
  run.streams = route == "stream" || route == "once-stream";
  const bool grey = now < server.grey_until && Draw(server.grey_share);
  run.fails = grey || (route == "once" && Draw(options_.once_failures));
  const bool applies =
      server.version == bad_version_ && now >= ordered_ + fault_.from &&
      (fault_.route.empty() || fault_.route == route) &&
      (!fault_.under_load || server.running * 2 >= options_.slots);
  if (applies && Draw(fault_.share)) {
    bad_answers_.push_back(now);
    run.fails = run.fails || fault_.kind == VersionFault::Kind::kFails;
    run.disconnects = fault_.kind == VersionFault::Kind::kDisconnects;
    ms *= fault_.kind == VersionFault::Kind::kSlow ? fault_.factor : 1;
  }
  run.first_at = now + FromMilliseconds(ms);
  constexpr double kStreamLength = 4;
  run.ends_at =
      run.streams ? now + FromMilliseconds(ms * kStreamLength) : run.first_at;
}

void SimulatedVersions::Step() {
  const TimePoint now = fleet_.Now();
  for (Server& server : servers_) {
    server.up = server.up || now >= server.back_at;
  }
  for (int entry = 0; entry < fleet_.entries(); ++entry) {
    if (fleet_.IsRunning(entry)) {
      StartSentAttempts(entry);
    }
  }
  for (size_t i = 0; i < runs_.size();) {
    Run& run = runs_[i];
    const bool over = now >= run.ends_at || !IsAwaited(run);
    if (!over) {
      if (run.streams && !run.fails && !run.head_sent && now >= run.first_at) {
        SendChunk(run, /*last=*/false);
      }
      ++i;
      continue;
    }
    Run ended = std::move(run);
    runs_.erase(runs_.begin() + static_cast<ptrdiff_t>(i));
    --servers_[ended.server].running;
    if (ended.disconnects) {
      Fail(ended, AttemptFailure::kDisconnected);
    } else if (ended.streams && !ended.fails) {
      SendChunk(ended, /*last=*/true);
    } else {
      SendWholeAnswer(ended);
    }
  }
}

}  // namespace lavenderkeel
