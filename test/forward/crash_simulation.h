#ifndef LAVENDERKEEL_TEST_FORWARD_CRASH_SIMULATION_H_
#define LAVENDERKEEL_TEST_FORWARD_CRASH_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "test/fakes/simulated_servers.h"

namespace lavenderkeel {

/// Clients of several entries in front of servers that certain requests crash.
class CrashSimulation {
 public:
  struct Options {
    int entries = 4;
    fakes::SimulatedServers::Options simulated_servers;
    std::string route = "lookup";
    /// Interval of requests that crash their server; zero: none.
    Duration crashing_every = std::chrono::milliseconds(150);
    /// Number of different requests that crash their server, sent in rotation.
    int crashing_kinds = 1;
    /// Interval of harmless requests, each with a different body.
    Duration harmless_every = std::chrono::milliseconds(25);
    /// Interval of equal harmless requests; zero: none.
    Duration equal_every{};
  };

  explicit CrashSimulation(const Options& options)
      : options_(options),
        fleet_({.entries = options.entries,
                .seeds = std::min(3, options.entries),
                .with_server = false}),
        simulated_servers_(fleet_, options.simulated_servers) {
    for (int kind = 0; kind < options.crashing_kinds; ++kind) {
      simulated_servers_.SetCrashing(CrashingBody(kind));
    }
    simulated_servers_.Advance(std::chrono::seconds(3));
  }

  /// Sends requests for the duration, to the entries in rotation.
  /// @param during called every 10 ms with the time since the start
  void SendTraffic(
      Duration duration,
      const std::function<void(Duration)>& during = [](Duration) {}) {
    const TimePoint start = fleet_.Now();
    TrafficSource crashing = {.every = options_.crashing_every, .due = start};
    TrafficSource harmless = {.every = options_.harmless_every, .due = start};
    TrafficSource equal = {.every = options_.equal_every, .due = start};
    while (fleet_.Now() < start + duration) {
      during(fleet_.Now() - start);
      if (TakeIfDue(crashing)) {
        Send(NextEntry(),
             CrashingBody(next_crashing_kind_++ % options_.crashing_kinds));
      }
      if (TakeIfDue(harmless)) {
        Send(NextEntry(), kHarmless + std::to_string(++harmless_));
      }
      if (TakeIfDue(equal)) {
        Send(NextEntry(), kEqual);
      }
      simulated_servers_.Advance(std::chrono::milliseconds(10));
    }
  }

  void Send(int entry, const std::string& body) {
    if (fleet_.IsRunning(entry)) {
      sent_requests_.push_back(
          {.entry = entry,
           .incarnation = fleet_.incarnation(entry),
           .exchange = fleet_.Request(entry, options_.route, body),
           .body = body});
    }
  }

  void Restart(int entry) {
    fleet_.Kill(entry);
    simulated_servers_.Advance(std::chrono::milliseconds(500));
    fleet_.Start(entry);
  }

  /// Returns the number of requests whose entry still runs and whose body
  /// begins with `body`.
  int CountSent(const std::string& body) {
    return Count(body, [](const fakes::ClientView&) { return true; });
  }
  int CountAnswered(const std::string& body) {
    return Count(body, [](const fakes::ClientView& client) {
      return client.status == kOk;
    });
  }
  /// Returns the number of the same requests that were refused because equal
  /// requests are taken for the cause of losses.
  int CountRefusedAsCrashing(const std::string& body) {
    return Count(body, [](const fakes::ClientView& client) {
      return client.body.find("crashes_servers") != std::string::npos;
    });
  }

  /// Returns how often a request reached a server later than kReportDelay after
  /// it had crashed its third server; the maximum over the requests that crash
  /// servers.
  int CountLateRetries() {
    int most = 0;
    for (int kind = 0; kind < options_.crashing_kinds; ++kind) {
      most = std::max(most, CountLateRetriesOf(CrashingBody(kind)));
    }
    return most;
  }

  fakes::FleetSimulation& fleet() { return fleet_; }
  fakes::SimulatedServers& simulated_servers() { return simulated_servers_; }

  static constexpr char kCrashing[] = "deadly";
  static constexpr char kHarmless[] = "harmless ";
  static constexpr char kEqual[] = "equal";

 private:
  static constexpr int kOk = 200;
  /// Time within which reports of a loss reach all entries.
  static constexpr Duration kReportDelay = std::chrono::seconds(3);

  struct Request {
    int entry = 0;
    uint64_t incarnation = 0;
    ExchangeId exchange = 0;
    std::string body;
  };
  struct TrafficSource {
    Duration every{};
    TimePoint due;
  };

  bool TakeIfDue(TrafficSource& source) const {
    if (source.every == Duration::zero() || fleet_.Now() < source.due) {
      return false;
    }
    source.due += source.every;
    return true;
  }

  int CountLateRetriesOf(const std::string& body) {
    std::vector<TimePoint> ended = simulated_servers_.crash_times(body);
    std::ranges::sort(ended);
    constexpr size_t kThird = 2;
    if (ended.size() <= kThird) {
      return 0;
    }
    return static_cast<int>(std::ranges::count_if(
        simulated_servers_.arrival_times(body),
        [&](TimePoint at) { return at > ended[kThird] + kReportDelay; }));
  }

  /// Returns the body of a kind; that of kind 0 is kCrashing.
  static std::string CrashingBody(int kind) {
    return kCrashing + std::string(static_cast<size_t>(kind), '+');
  }

  int NextEntry() { return next_entry_++ % options_.entries; }

  int Count(const std::string& body,
            const std::function<bool(const fakes::ClientView&)>& counts) {
    return static_cast<int>(
        std::ranges::count_if(sent_requests_, [&](const Request& request) {
          return request.body.starts_with(body) &&
                 fleet_.IsRunning(request.entry) &&
                 fleet_.incarnation(request.entry) == request.incarnation &&
                 counts(fleet_.port(request.entry).clients[request.exchange]);
        }));
  }

  Options options_;
  fakes::FleetSimulation fleet_;
  fakes::SimulatedServers simulated_servers_;
  std::vector<Request> sent_requests_;
  int next_entry_ = 0;
  int harmless_ = 0;
  int next_crashing_kind_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_FORWARD_CRASH_SIMULATION_H_
