#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "test/fakes/simulated_servers.h"

namespace lavenderkeel {

namespace {

using fakes::FleetSimulation;
using fakes::SimulatedServers;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 3;
constexpr int kServers = 6;
constexpr int kSlowServers = 2;
constexpr double kSlowness = 5;
constexpr Duration kTarget = milliseconds(500);

/// Fleet with plain servers at half load.
class UnevenFleet {
 public:
  struct Counts {
    int total = 0;
    int answered = 0;
    int in_time = 0;
    /// Requests that reached a server, by server.
    std::vector<int> sent = std::vector<int>(kServers);

    double InTime() const { return static_cast<double>(in_time) / total; }
    /// Use of the slow servers relative to an equal share.
    double SlowShare() const {
      int all = 0;
      for (const int count : sent) {
        all += count;
      }
      return static_cast<double>(sent[0] + sent[1]) * kServers /
             (all * kSlowServers);
    }
  };

  explicit UnevenFleet(bool server_probes)
      : fleet_(OptionsFor(server_probes)),
        servers_(fleet_, {.servers = kServers}) {
    fleet_.Advance(seconds(2));
  }

  /// Sends requests for a time, and returns their counts. Those at the end may
  /// be open still; they count in the next call.
  Counts Simulate(Duration duration) {
    counts_ = {};
    const TimePoint end = fleet_.Now() + duration;
    while (fleet_.Now() < end) {
      // 150 requests a second; the servers can do 300.
      constexpr int kRequestsInTwoSteps = 3;
      for (int i = 0; i < 1 + step_ % 2 * (kRequestsInTwoSteps - 2); ++i) {
        SendRequest();
      }
      ++step_;
      servers_.Advance(milliseconds(10));
      CountSent();
      CountAnswers();
    }
    return counts_;
  }
  void SetSlow(bool slow) {
    for (int server = 0; server < kSlowServers; ++server) {
      servers_.SetSlowness(server, slow ? kSlowness : 1);
    }
  }
  FleetSimulation& fleet() { return fleet_; }
  SimulatedServers& servers() { return servers_; }

 private:
  struct Open {
    int entry = 0;
    ExchangeId exchange = 0;
    TimePoint sent;
  };

  static FleetSimulation::Options OptionsFor(bool server_probes) {
    FleetSimulation::Options options = {
        .entries = kEntries, .with_server = false, .plain_service = true};
    options.node.placement.server_probes = server_probes;
    return options;
  }

  void SendRequest() {
    do {
      entry_ = (entry_ + 1) % kEntries;
    } while (!fleet_.IsRunning(entry_));
    // The routes have the priorities 2 and 0.
    constexpr int kUrgentEvery = 3;
    const bool urgent = ++requests_ % kUrgentEvery == 0;
    const ExchangeId exchange =
        fleet_.Request(entry_, urgent ? "once" : "lookup",
                       "body " + std::to_string(requests_));
    open_.push_back(
        {.entry = entry_, .exchange = exchange, .sent = fleet_.Now()});
    ++counts_.total;
  }

  void CountSent() {
    for (int entry = 0; entry < kEntries; ++entry) {
      size_t& seen = sent_seen_[{entry, fleet_.incarnation(entry)}];
      const auto& sent = fleet_.port(entry).sent;
      for (; seen < sent.size(); ++seen) {
        // Addresses are 10.0.2.1:1 and so on.
        constexpr size_t kDigit = 7;
        const int server = sent[seen].address.at(kDigit) - '1';
        ++counts_.sent.at(static_cast<size_t>(server));
      }
    }
  }

  void CountAnswers() {
    std::erase_if(open_, [this](const Open& open) {
      if (!fleet_.IsRunning(open.entry)) {
        return true;
      }
      const auto& client = fleet_.port(open.entry).clients[open.exchange];
      if (!client.ended) {
        return false;
      }
      constexpr int kOk = 200;
      ++counts_.answered;
      counts_.in_time +=
          client.status == kOk && fleet_.Now() - open.sent <= kTarget ? 1 : 0;
      return true;
    });
  }

  FleetSimulation fleet_;
  SimulatedServers servers_;
  Counts counts_;
  std::vector<Open> open_;
  std::map<std::pair<int, uint64_t>, size_t> sent_seen_;
  int step_ = 0;
  int entry_ = 0;
  int requests_ = 0;
};

void Print(const std::string& when, const UnevenFleet::Counts& counts) {
  std::string text = when + ": requests " + std::to_string(counts.total) +
                     ", in time " + std::to_string(counts.InTime()) + ", sent";
  for (const int sent : counts.sent) {
    text += " " + std::to_string(sent);
  }
  BOOST_TEST_MESSAGE(text);
}

}  // namespace

// Two of six servers are five times as slow for seven seconds at half load, and
// then well. Without probes no request reaches them any more.
BOOST_AUTO_TEST_CASE(FleetUsesServersAgainThatWereSlow) {
  for (const bool server_probes : {false, true}) {
    UnevenFleet fleet(server_probes);
    fleet.Simulate(seconds(12));
    fleet.SetSlow(true);
    Print("slow", fleet.Simulate(seconds(2)));
    const UnevenFleet::Counts slow = fleet.Simulate(seconds(5));
    Print("still slow", slow);
    fleet.SetSlow(false);
    Print("well", fleet.Simulate(seconds(2)));
    const UnevenFleet::Counts well = fleet.Simulate(seconds(5));
    Print("still well", well);
    BOOST_TEST(slow.SlowShare() < 0.12);
    if (server_probes) {
      BOOST_TEST(well.SlowShare() > 0.9);
      BOOST_TEST(well.InTime() >= 0.99);
    } else {
      BOOST_TEST(well.SlowShare() < 0.5);
    }
  }
}

// The entry whose scheduler knows the slow servers is killed. Its successor
// must find them out by itself, and see that they are well later.
BOOST_AUTO_TEST_CASE(FleetAvoidsSlowServersThoughAnEntryIsLost) {
  for (int killed = 0; killed < kEntries; ++killed) {
    UnevenFleet fleet(/*server_probes=*/true);
    fleet.Simulate(seconds(12));
    fleet.SetSlow(true);
    fleet.Simulate(seconds(2));
    fleet.fleet().Kill(killed);
    const std::string name = "entry " + std::to_string(killed) + " killed";
    Print(name, fleet.Simulate(seconds(2)));
    const UnevenFleet::Counts slow = fleet.Simulate(seconds(3));
    Print(name + ", still slow", slow);
    fleet.SetSlow(false);
    Print(name + ", well", fleet.Simulate(seconds(2)));
    const UnevenFleet::Counts well = fleet.Simulate(seconds(5));
    Print(name + ", still well", well);
    BOOST_TEST(slow.SlowShare() < 0.2);
    BOOST_TEST(well.SlowShare() > 0.9);
    BOOST_TEST(well.InTime() >= 0.99);
  }
}

// A server answers every second request with an error. The others have room for
// all, so clients must hardly notice, and the server must return when it is
// well.
BOOST_AUTO_TEST_CASE(FleetAvoidsServerThatFailsHalf) {
  int sent_without = 0;
  int sent_with = 0;
  for (const bool server_probes : {false, true}) {
    UnevenFleet fleet(server_probes);
    fleet.Simulate(seconds(12));
    constexpr int kEverySecond = 2;
    fleet.servers().SetFailing(0, kEverySecond);
    Print("failing", fleet.Simulate(seconds(1)));
    const UnevenFleet::Counts failing = fleet.Simulate(seconds(6));
    Print("still failing", failing);
    fleet.servers().SetFailing(0, 0);
    Print("well", fleet.Simulate(seconds(2)));
    const UnevenFleet::Counts well = fleet.Simulate(seconds(5));
    Print("still well", well);
    (server_probes ? sent_with : sent_without) = failing.sent[0];
    BOOST_TEST((failing.InTime() >= 0.99) == server_probes);
    if (server_probes) {
      BOOST_TEST(well.sent[0] * kServers > 0.9 * well.total);
    }
  }
  BOOST_TEST(sent_with < sent_without);
}

}  // namespace lavenderkeel
