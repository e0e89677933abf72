#ifndef LAVENDERKEEL_TEST_FORWARD_RETRY_SIMULATION_H_
#define LAVENDERKEEL_TEST_FORWARD_RETRY_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "test/fakes/retry_history.h"
#include "test/fakes/simulated_servers.h"

namespace lavenderkeel {

/// Clients of several entries in front of servers that fail, and what reaches
/// the servers.
class RetrySimulation {
 public:
  using Fate = fakes::SimulatedServers::Fate;

  struct Options {
    int entries = 4;
    std::optional<int> started = std::nullopt;
    int servers = 6;
    Duration answer_delay = std::chrono::milliseconds(100);
    fakes::RetryHistory::Bound bound = {};
    EntryRegistry::Options registry = {};
    /// Routes of ForwardSimulation::Table() that clients use in rotation.
    std::vector<std::string> routes = {"lookup", "stream"};
    /// Decides the fate of requests; answered if empty.
    std::function<Fate(int server)> decide_fate = {};
    EventLog log = {};
  };

  explicit RetrySimulation(const Options& options)
      : options_(options),
        history_(options.bound),
        fleet_({.entries = options.entries,
                .started = options.started,
                .seeds = std::min(3, options.entries),
                .with_server = false,
                .log = options.log,
                .node = NodeOptions(options)}),
        servers_(fleet_,
                 {.servers = options.servers,
                  .answer_delay = options.answer_delay,
                  .decide_fate = options.decide_fate,
                  .on_arrival = [this](const std::string& request_id) {
                    history_.OnArrival(request_id, fleet_.Now());
                  }}) {
    Advance(std::chrono::seconds(3));
  }

  /// Sends requests for the duration, evenly over the entries that run.
  void SendTraffic(double per_second, Duration duration) {
    const TimePoint end = fleet_.Now() + duration;
    while (fleet_.Now() < end) {
      due_requests_ += per_second * ToSeconds(kStep);
      for (; due_requests_ >= 1; due_requests_ -= 1) {
        Send(NextEntry());
      }
      Advance(kStep);
    }
  }
  void Advance(Duration duration) { servers_.Advance(duration); }

  /// Sends a request; without a process at the entry it is lost.
  void Send(int entry) {
    const std::string& route =
        options_.routes[++requests_ % options_.routes.size()];
    history_.OnRequest(fleet_.Now());
    if (fleet_.IsRunning(entry)) {
      sent_.push_back({.entry = entry,
                       .incarnation = fleet_.incarnation(entry),
                       .exchange = fleet_.Request(
                           entry, route, "body " + std::to_string(requests_))});
    }
  }

  void Kill(int entry) {
    if (fleet_.IsRunning(entry)) {
      fleet_.Kill(entry);
    }
  }
  void Start(int entry) {
    if (!fleet_.IsRunning(entry)) {
      fleet_.Start(entry);
    }
  }
  /// Ends all processes, and starts them again after a while.
  void RestartAll() {
    for (int entry = 0; entry < options_.entries; ++entry) {
      Kill(entry);
    }
    Advance(std::chrono::milliseconds(300));
    for (int entry = 0; entry < options_.entries; ++entry) {
      Start(entry);
    }
  }
  /// Separates the entries below `first` from the others.
  void SetPartition(int first, bool partitioned) {
    for (int a = 0; a < first; ++a) {
      for (int b = first; b < options_.entries; ++b) {
        fleet_.set_partitioned(a, b, partitioned);
      }
    }
  }

  /// Returns the number of complete answers at processes that still run.
  size_t Answered() {
    return static_cast<size_t>(
        std::ranges::count_if(sent_, [this](const Request& request) {
          return fleet_.IsRunning(request.entry) &&
                 fleet_.incarnation(request.entry) == request.incarnation &&
                 fleet_.port(request.entry).clients[request.exchange].ended &&
                 fleet_.port(request.entry).clients[request.exchange].status ==
                     kOk;
        }));
  }

  int entries() const { return options_.entries; }
  fakes::FleetSimulation& fleet() { return fleet_; }
  fakes::SimulatedServers& servers() { return servers_; }
  const fakes::RetryHistory& history() const { return history_; }

 private:
  /// Returns the next entry in rotation that runs; any if none does.
  int NextEntry() {
    for (int tried = 0; tried < options_.entries; ++tried) {
      const int entry = next_entry_++ % options_.entries;
      if (fleet_.IsRunning(entry)) {
        return entry;
      }
    }
    return 0;
  }

  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr int kOk = 200;

  struct Request {
    int entry = 0;
    uint64_t incarnation = 0;
    ExchangeId exchange = 0;
  };

  static ForwardNode::Options NodeOptions(const Options& options) {
    ForwardNode::Options node;
    node.controller.retries = {
        .bound = {.window = options.bound.window, .ratio = options.bound.ratio},
        .extra = options.bound.extra};
    node.registry.registry = options.registry;
    return node;
  }

  Options options_;
  fakes::RetryHistory history_;
  fakes::FleetSimulation fleet_;
  fakes::SimulatedServers servers_;
  std::vector<Request> sent_;
  double due_requests_ = 0;
  int next_entry_ = 0;
  size_t requests_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_FORWARD_RETRY_SIMULATION_H_
