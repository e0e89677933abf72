#ifndef LAVENDERKEEL_TEST_FORWARD_UNEVEN_SERVERS_H_
#define LAVENDERKEEL_TEST_FORWARD_UNEVEN_SERVERS_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/base/rendezvous.h"
#include "test/forward/scheduler_harness.h"

namespace lavenderkeel {

/// Plain servers of one service, each with a slowness that changes with time,
/// behind a scheduler. A server processes as many requests as it has slots and
/// queues the rest.
class UnevenServers {
 public:
  struct Options {
    bool server_probes = true;
    int servers = 6;
    int slots = 6;
    Duration work_time = std::chrono::milliseconds(60);
    /// Sigma of the lognormal work times.
    double work_sigma = 0.5;
    double requests_per_second = 300;
    /// Fraction of the requests that are of the least urgent rank; the others
    /// are of the most urgent one.
    double least_urgent = 0.5;
    Duration target = std::chrono::milliseconds(300);
    uint64_t seed = 1;
    /// Factor by which work takes longer at a server now.
    std::function<double(int server, Duration elapsed)> slowness;
    /// Whether a server fails a request that ends now.
    std::function<bool(int server, Duration elapsed)> fails;
    std::function<void(const PaceEvent&)> on_event;
  };

  struct Counts {
    int total = 0;
    int in_time = 0;
    int urgent = 0;
    int urgent_in_time = 0;
    /// Requests that were sent, by server.
    std::vector<int> sent;

    double InTime() const { return static_cast<double>(in_time) / total; }
    double UrgentInTime() const {
      return static_cast<double>(urgent_in_time) / urgent;
    }
    int Busiest() const { return *std::ranges::max_element(sent); }
    int LeastUsed() const { return *std::ranges::min_element(sent); }
  };

  explicit UnevenServers(const Options& options)
      : options_(options),
        harness_({.placement = {.entry = "scheduler",
                                .server_probes = options.server_probes},
                  .paces = {.on_event = options.on_event}}),
        random_(options.seed),
        queues_(static_cast<size_t>(options.servers)) {
    for (int i = 0; i < options.servers; ++i) {
      harness_.directory.Apply({.id = "s" + std::to_string(i),
                                .service = "plain",
                                .address = "10.0.0.1:" + std::to_string(i + 1),
                                .slots = options.slots});
    }
    next_ = start_ = harness_.clock.Now();
  }

  /// Returns the counts of the requests that arrive within the duration; runs
  /// on until they have ended.
  Counts Simulate(Duration duration) {
    ++phase_;
    phases_[phase_].sent.resize(static_cast<size_t>(options_.servers));
    const TimePoint end = harness_.clock.Now() + duration;
    while (harness_.clock.Now() < end) {
      Step();
    }
    return phases_[phase_];
  }
  /// Returns the counts with the requests that had not ended by the end of
  /// their Simulate call. The index is the number of the call, from 1.
  const Counts& phase(int index) const { return phases_.at(index); }
  SchedulerHarness& harness() { return harness_; }

 private:
  struct Request {
    int phase = 0;
    TimePoint arrived;
    TimePoint sent;
    bool urgent = false;
    double work_ms = 0;
    double left_ms = 0;
    std::vector<uint64_t> tried;
  };

  Duration elapsed() const { return harness_.clock.Now() - start_; }

  void Step() {
    const TimePoint now = harness_.clock.Now();
    while (now >= next_) {
      std::exponential_distribution<> gap(options_.requests_per_second);
      next_ += FromSeconds(gap(random_));
      Arrive();
    }
    constexpr int kTickMs = 20;
    if (ToMilliseconds(elapsed()) % kTickMs == 0) {
      harness_.scheduler.Tick();
    }
    const auto granted = std::exchange(harness_.granted, {});
    for (const auto& [id, server] : granted) {
      const auto index = static_cast<size_t>(std::stoi(server.substr(1)));
      Request& request = requests_[id];
      request.sent = now;
      ++phases_[phase_].sent[index];
      queues_[index].push_back(id);
    }
    for (size_t server = 0; server < queues_.size(); ++server) {
      Run(server);
    }
    RefuseOverdue();
    harness_.clock.Advance(std::chrono::milliseconds(1));
  }

  void Arrive() {
    std::lognormal_distribution<> factor(
        -options_.work_sigma * options_.work_sigma / 2, options_.work_sigma);
    const AttemptId id = ++last_;
    const double work_ms =
        ToFractionalMilliseconds(options_.work_time) * factor(random_);
    const bool urgent =
        std::uniform_real_distribution<>()(random_) >= options_.least_urgent;
    requests_[id] = {.phase = phase_,
                     .arrived = harness_.clock.Now(),
                     .urgent = urgent,
                     .work_ms = work_ms,
                     .left_ms = work_ms};
    ++phases_[phase_].total;
    phases_[phase_].urgent += urgent ? 1 : 0;
    RequestSlot(id);
  }

  void RequestSlot(AttemptId id) {
    const Request& request = requests_[id];
    harness_.scheduler.RequestSlot(
        "e", {.attempt = id,
              .service = "plain",
              .priority = request.urgent ? 0 : 2,
              .in_time_until =
                  request.arrived + options_.target - options_.work_time * 2,
              .due = request.arrived + std::chrono::milliseconds(3000),
              .tried = request.tried,
              .repeatable = true});
  }

  void Run(size_t server) {
    const int index = static_cast<int>(server);
    const double slowness =
        options_.slowness ? options_.slowness(index, elapsed()) : 1;
    std::vector<AttemptId> ended;
    int slot = 0;
    for (const AttemptId id : queues_[server]) {
      if (slot++ == options_.slots) {
        break;
      }
      requests_[id].left_ms -= 1 / slowness;
      if (requests_[id].left_ms <= 0) {
        ended.push_back(id);
      }
    }
    for (const AttemptId id : ended) {
      std::erase(queues_[server], id);
      if (options_.fails && options_.fails(index, elapsed())) {
        Retry(id, index);
      } else {
        End(id);
      }
    }
  }

  void Retry(AttemptId id, int server) {
    harness_.scheduler.ReleaseSlot("e", id,
                                   {.kind = SlotResult::Kind::kServerError});
    Request request = requests_[id];
    requests_.erase(id);
    request.left_ms = request.work_ms;
    request.sent = {};
    request.tried.push_back(HashBytes("s" + std::to_string(server)));
    const AttemptId next = ++last_;
    requests_[next] = request;
    RequestSlot(next);
  }

  void End(AttemptId id) {
    const TimePoint now = harness_.clock.Now();
    const Request request = requests_[id];
    requests_.erase(id);
    if (now - request.arrived <= options_.target) {
      ++phases_[request.phase].in_time;
      phases_[request.phase].urgent_in_time += request.urgent ? 1 : 0;
    }
    harness_.scheduler.ReleaseSlot(
        "e", id,
        {.kind = SlotResult::Kind::kAnswered,
         .pace_ms = ToFractionalMilliseconds(now - request.sent)});
  }

  void RefuseOverdue() {
    constexpr Duration kMaxWait = std::chrono::milliseconds(600);
    std::vector<AttemptId> refused;
    for (const auto& [id, request] : requests_) {
      if (request.sent == TimePoint() &&
          harness_.clock.Now() - request.arrived > kMaxWait) {
        refused.push_back(id);
      }
    }
    for (const AttemptId id : refused) {
      harness_.scheduler.ReleaseSlot("e", id, {});
      requests_.erase(id);
    }
  }

  Options options_;
  SchedulerHarness harness_;
  std::mt19937_64 random_;
  std::map<AttemptId, Request> requests_;
  std::vector<std::deque<AttemptId>> queues_;
  std::map<int, Counts> phases_;
  int phase_ = 0;
  TimePoint start_;
  TimePoint next_;
  AttemptId last_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_FORWARD_UNEVEN_SERVERS_H_
