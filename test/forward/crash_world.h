#ifndef LAVENDERKEEL_TEST_FORWARD_CRASH_WORLD_H_
#define LAVENDERKEEL_TEST_FORWARD_CRASH_WORLD_H_

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "test/fakes/server_farm.h"

namespace lavenderkeel {

/// Clients of some entries over servers that crash under one request.
class CrashWorld {
 public:
  struct Options {
    int entries = 4;
    fakes::ServerFarm::Options farm;
    std::string route = "lookup";
    /// Between two requests that crash their server; zero: none come.
    Duration deadly_every = std::chrono::milliseconds(150);
    /// Different ones, in turn.
    int deadly_kinds = 1;
    /// Between two harmless ones, each with a body of its own.
    Duration harmless_every = std::chrono::milliseconds(25);
    /// Between two harmless ones that are equal; zero: none come.
    Duration equal_every{};
  };

  explicit CrashWorld(const Options& options)
      : options_(options),
        fleet_({.entries = options.entries,
                .seeds = std::min(3, options.entries),
                .with_server = false}),
        farm_(fleet_, options.farm) {
    for (int kind = 0; kind < options.deadly_kinds; ++kind) {
      farm_.SetDeadly(DeadlyOf(kind));
    }
    farm_.Advance(std::chrono::seconds(3));
  }

  /// Requests come for so long, at one entry after the other.
  /// @param during called every 10 ms with the time since the start
  void Play(
      Duration duration,
      const std::function<void(Duration)>& during = [](Duration) {}) {
    const TimePoint start = fleet_.Now();
    Source deadly = {.every = options_.deadly_every, .due = start};
    Source harmless = {.every = options_.harmless_every, .due = start};
    Source equal = {.every = options_.equal_every, .due = start};
    while (fleet_.Now() < start + duration) {
      during(fleet_.Now() - start);
      if (Due(deadly)) {
        Send(NextEntry(), DeadlyOf(deadly_++ % options_.deadly_kinds));
      }
      if (Due(harmless)) {
        Send(NextEntry(), kHarmless + std::to_string(++harmless_));
      }
      if (Due(equal)) {
        Send(NextEntry(), kEqual);
      }
      farm_.Advance(std::chrono::milliseconds(10));
    }
  }

  void Send(int entry, const std::string& body) {
    if (fleet_.runs(entry)) {
      asked_.push_back({.entry = entry,
                        .incarnation = fleet_.incarnation(entry),
                        .exchange = fleet_.Request(entry, options_.route, body),
                        .body = body});
    }
  }

  void Restart(int entry) {
    fleet_.Kill(entry);
    farm_.Advance(std::chrono::milliseconds(500));
    fleet_.Start(entry);
  }

  /// Of the requests whose entry lives on, and whose body begins so.
  int Asked(const std::string& body) {
    return Count(body, [](const fakes::ClientView&) { return true; });
  }
  int Answered(const std::string& body) {
    return Count(body, [](const fakes::ClientView& client) {
      return client.status == kOk;
    });
  }
  /// Refused since equal requests are taken for the cause of lost servers.
  int RefusedAsCrashing(const std::string& body) {
    return Count(body, [](const fakes::ClientView& client) {
      return client.body.find("crashes_servers") != std::string::npos;
    });
  }

  /// How often a request reached a server later than kContact after it had
  /// ended a third; of those that end servers the most.
  int LateRetries() {
    int most = 0;
    for (int kind = 0; kind < options_.deadly_kinds; ++kind) {
      most = std::max(most, LateRetriesOf(DeadlyOf(kind)));
    }
    return most;
  }

  fakes::FleetWorld& fleet() { return fleet_; }
  fakes::ServerFarm& farm() { return farm_; }

  static constexpr char kDeadly[] = "deadly";
  static constexpr char kHarmless[] = "harmless ";
  static constexpr char kEqual[] = "equal";

 private:
  static constexpr int kOk = 200;
  /// News of a loss has reached all entries by then.
  static constexpr Duration kContact = std::chrono::seconds(3);

  struct Request {
    int entry = 0;
    uint64_t incarnation = 0;
    ExchangeId exchange = 0;
    std::string body;
  };
  struct Source {
    Duration every{};
    TimePoint due;
  };

  bool Due(Source& source) const {
    if (source.every == Duration::zero() || fleet_.Now() < source.due) {
      return false;
    }
    source.due += source.every;
    return true;
  }

  int LateRetriesOf(const std::string& body) {
    std::vector<TimePoint> ended = farm_.ended(body);
    std::ranges::sort(ended);
    constexpr size_t kThird = 2;
    if (ended.size() <= kThird) {
      return 0;
    }
    return static_cast<int>(std::ranges::count_if(
        farm_.reached(body),
        [&](TimePoint at) { return at > ended[kThird] + kContact; }));
  }

  /// The first is kDeadly.
  static std::string DeadlyOf(int kind) {
    return kDeadly + std::string(static_cast<size_t>(kind), '+');
  }

  int NextEntry() { return next_entry_++ % options_.entries; }

  int Count(const std::string& body,
            const std::function<bool(const fakes::ClientView&)>& counts) {
    return static_cast<int>(
        std::ranges::count_if(asked_, [&](const Request& asked) {
          return asked.body.starts_with(body) && fleet_.runs(asked.entry) &&
                 fleet_.incarnation(asked.entry) == asked.incarnation &&
                 counts(fleet_.port(asked.entry).clients[asked.exchange]);
        }));
  }

  Options options_;
  fakes::FleetWorld fleet_;
  fakes::ServerFarm farm_;
  std::vector<Request> asked_;
  int next_entry_ = 0;
  int harmless_ = 0;
  int deadly_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_FORWARD_CRASH_WORLD_H_
