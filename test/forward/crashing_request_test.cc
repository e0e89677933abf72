// Requests that end the servers that run them, among others that don't.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "test/fakes/server_farm.h"

namespace lavenderkeel {

namespace {

using fakes::FleetWorld;
using fakes::ServerFarm;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kDeadly[] = "deadly";

/// Clients of some entries over servers that crash under one request.
class CrashWorld {
 public:
  struct Options {
    int entries = 4;
    ServerFarm::Options farm;
    /// Between two requests that crash their server.
    Duration deadly_every = milliseconds(150);
    /// Between two harmless ones.
    Duration harmless_every = milliseconds(25);
  };

  explicit CrashWorld(const Options& options)
      : options_(options),
        fleet_({.entries = options.entries,
                .seeds = std::min(3, options.entries),
                .with_server = false}),
        farm_(fleet_, options.farm) {
    farm_.SetDeadly(kDeadly);
    farm_.Advance(seconds(3));
  }

  /// Requests come for so long: harmless ones with a body of their own each,
  /// and one that crashes its servers.
  void Play(
      Duration duration,
      const std::function<void(Duration)>& during = [](Duration) {}) {
    const TimePoint start = fleet_.Now();
    TimePoint deadly_due = start;
    TimePoint harmless_due = start;
    while (fleet_.Now() < start + duration) {
      during(fleet_.Now() - start);
      if (fleet_.Now() >= deadly_due) {
        deadly_due += options_.deadly_every;
        Send(NextEntry(), "lookup", kDeadly);
      }
      if (fleet_.Now() >= harmless_due) {
        harmless_due += options_.harmless_every;
        Send(NextEntry(), "lookup", "harmless " + std::to_string(++harmless_));
      }
      farm_.Advance(milliseconds(10));
    }
  }

  void Send(int entry, const std::string& route, const std::string& body) {
    if (fleet_.runs(entry)) {
      asked_.push_back({.entry = entry,
                        .incarnation = fleet_.incarnation(entry),
                        .exchange = fleet_.Request(entry, route, body),
                        .body = body});
    }
  }

  /// Of the requests whose entry lives on.
  int Asked(const std::string& prefix) { return Count(prefix, 0); }
  int Answered(const std::string& prefix) { return Count(prefix, kOk); }

  /// How often a request reached a server that long after it had ended a third.
  int RetriesAfterTheThird(const std::string& body, Duration after) {
    std::vector<TimePoint> ended = farm_.ended(body);
    std::ranges::sort(ended);
    constexpr size_t kThird = 2;
    if (ended.size() <= kThird) {
      return 0;
    }
    return static_cast<int>(std::ranges::count_if(
        farm_.reached(body),
        [&](TimePoint at) { return at > ended[kThird] + after; }));
  }

  FleetWorld& fleet() { return fleet_; }
  ServerFarm& farm() { return farm_; }

 private:
  static constexpr int kOk = 200;

  struct Asked_ {
    int entry = 0;
    uint64_t incarnation = 0;
    ExchangeId exchange = 0;
    std::string body;
  };

  int NextEntry() { return next_entry_++ % options_.entries; }

  /// @param status zero: any
  int Count(const std::string& prefix, int status) {
    return static_cast<int>(
        std::ranges::count_if(asked_, [&](const Asked_& asked) {
          const bool there =
              fleet_.runs(asked.entry) &&
              fleet_.incarnation(asked.entry) == asked.incarnation;
          return there && asked.body.starts_with(prefix) &&
                 (status == 0 ||
                  fleet_.port(asked.entry).clients[asked.exchange].status ==
                      status);
        }));
  }

  Options options_;
  FleetWorld fleet_;
  ServerFarm farm_;
  std::vector<Asked_> asked_;
  int next_entry_ = 0;
  int harmless_ = 0;
};

/// News of a loss has reached all by then.
constexpr Duration kContact = seconds(3);
constexpr int kMostRetries = 3;

}  // namespace

// Guards against: servers lost one after the other to a request that comes
// again, with one entry.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedByOneEntry) {
  CrashWorld world({.entries = 1});
  world.Play(seconds(40));
  BOOST_TEST(world.RetriesAfterTheThird(kDeadly, kContact) <= kMostRetries);
}

// Guards against: the same where each time another entry gets it.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedByAllEntries) {
  CrashWorld world({.entries = 4});
  world.Play(seconds(40));
  BOOST_TEST(world.RetriesAfterTheThird(kDeadly, kContact) <= kMostRetries);
}

}  // namespace lavenderkeel
