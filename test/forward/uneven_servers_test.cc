#include <array>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/forward/uneven_servers.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Counts = UnevenServers::Counts;

constexpr std::array<uint64_t, 8> kSeeds = {1, 2, 3, 4, 5, 6, 7, 8};

std::string Describe(const Counts& counts) {
  std::string text = "requests " + std::to_string(counts.total) + ", in time " +
                     std::to_string(counts.InTime()) + ", urgent ones " +
                     std::to_string(counts.UrgentInTime()) + ", sent";
  for (const int sent : counts.sent) {
    text += " " + std::to_string(sent);
  }
  return text;
}

/// Returns how often the first servers are used, relative to equal shares.
double ShareOfFirst(size_t first, const Counts& counts) {
  double sent_to_first = 0;
  double sent = 0;
  for (size_t i = 0; i < counts.sent.size(); ++i) {
    sent += counts.sent[i];
    sent_to_first += i < first ? counts.sent[i] : 0;
  }
  const auto servers = static_cast<double>(counts.sent.size());
  return sent_to_first / sent * servers / static_cast<double>(first);
}

/// Two of six servers are five times as slow for seven seconds at half load.
/// Returns the counts of the seconds in which the servers have just become
/// slow, are slow (from the third), have just recovered, and are well (from the
/// third).
std::vector<Counts> SimulateSlowServers(bool server_probes, uint64_t seed) {
  static constexpr Duration kSlowFrom = seconds(12);
  static constexpr Duration kSlowUntil = seconds(19);
  UnevenServers servers({.server_probes = server_probes,
                         .seed = seed,
                         .slowness = [](int server, Duration at) {
                           constexpr double kSlowness = 5;
                           return server < 2 && at >= kSlowFrom &&
                                          at < kSlowUntil
                                      ? kSlowness
                                      : 1.0;
                         }});
  servers.Simulate(kSlowFrom);
  for (const Duration phase :
       {seconds(2), seconds(5), seconds(2), seconds(5), seconds(1)}) {
    servers.Simulate(phase);
  }
  std::vector<Counts> phases;
  for (int phase = 2; phase <= 5; ++phase) {
    phases.push_back(servers.phase(phase));
    BOOST_TEST_MESSAGE("probes " << server_probes << ", seed " << seed
                                 << ", phase " << phase << ": "
                                 << Describe(phases.back()));
  }
  return phases;
}

}  // namespace

// Two of six servers are five times as slow for seven seconds at half load.
// Without probes no request reaches them after they have recovered.
BOOST_AUTO_TEST_CASE(SlowServersReturnWhenTheyAreWell) {
  for (const uint64_t seed : kSeeds) {
    const std::vector<Counts> phases = SimulateSlowServers(true, seed);
    BOOST_TEST(ShareOfFirst(2, phases[1]) < 0.1);
    BOOST_TEST(ShareOfFirst(2, phases[3]) > 0.9);
    BOOST_TEST(phases[3].InTime() >= 0.99);
    // Probes are requests of the least urgent rank.
    BOOST_TEST(phases[1].UrgentInTime() >= 0.99);
    BOOST_TEST(phases[1].InTime() >= 0.985);
    BOOST_TEST(ShareOfFirst(2, SimulateSlowServers(false, seed)[3]) < 0.9);
  }
}

// If requests of equal cost went by a fixed order, the first servers in it
// would be nearly full while the last are idle.
BOOST_AUTO_TEST_CASE(EqualServersGetEqualShares) {
  const auto simulate = [](bool server_probes, double rate, uint64_t seed) {
    UnevenServers servers({.server_probes = server_probes,
                           .requests_per_second = rate,
                           .seed = seed});
    servers.Simulate(seconds(20));
    Counts counts = servers.phase(1);
    BOOST_TEST_MESSAGE("probes " << server_probes << ", rate " << rate
                                 << ", seed " << seed << ": "
                                 << Describe(counts));
    return counts;
  };
  for (const uint64_t seed : kSeeds) {
    for (const double rate : {30.0, 300.0}) {
      const Counts counts = simulate(true, rate, seed);
      BOOST_TEST(counts.Busiest() <= 1.3 * counts.LeastUsed());
      const Counts without = simulate(false, rate, seed);
      BOOST_TEST(without.Busiest() > 1.3 * without.LeastUsed());
    }
  }
}

// Work takes 2.5 times as long for 0.6 s now and then, 15 in 100 of the time.
// The server must lose its requests before its late answers show it.
BOOST_AUTO_TEST_CASE(ShortSlowIntervalsMakeFewRequestsLate) {
  const auto simulate = [](bool server_probes, uint64_t seed) {
    UnevenServers servers({.server_probes = server_probes,
                           .target = milliseconds(220),
                           .seed = seed,
                           .slowness = [](int server, Duration at) {
                             constexpr Duration kPeriod = seconds(4);
                             constexpr Duration kSlow = milliseconds(600);
                             constexpr double kSlowness = 2.5;
                             const Duration shifted =
                                 at + server * milliseconds(1270);
                             return shifted % kPeriod < kSlow ? kSlowness : 1.0;
                           }});
    servers.Simulate(seconds(20));
    servers.Simulate(seconds(1));
    BOOST_TEST_MESSAGE("probes " << server_probes << ", seed " << seed << ": "
                                 << Describe(servers.phase(1)));
    return servers.phase(1).InTime();
  };
  for (const uint64_t seed : kSeeds) {
    BOOST_TEST(simulate(true, seed) >= 0.98);
    BOOST_TEST(simulate(false, seed) < 0.98);
  }
}

// Speeds that differ by a factor of 4.4 are usual. Servers that are always slow
// must not be tried again and again as if they could recover.
BOOST_AUTO_TEST_CASE(AlwaysSlowServersAreSeldomProbed) {
  const auto simulate = [](bool server_probes, double rate, uint64_t seed) {
    UnevenServers servers({.server_probes = server_probes,
                           .requests_per_second = rate,
                           .seed = seed,
                           .slowness = [](int server, Duration) {
                             constexpr std::array<double, 6> kSlowness = {
                                 0.68, 0.8, 1, 1.4, 2, 3};
                             return kSlowness.at(static_cast<size_t>(server));
                           }});
    servers.Simulate(seconds(15));
    servers.Simulate(seconds(20));
    servers.Simulate(seconds(1));
    BOOST_TEST_MESSAGE("probes " << server_probes << ", rate " << rate
                                 << ", seed " << seed << ": "
                                 << Describe(servers.phase(1)) << "; then "
                                 << Describe(servers.phase(2)));
    return servers.phase(2);
  };
  for (const uint64_t seed : kSeeds) {
    for (const double rate : {100.0, 200.0, 300.0, 400.0}) {
      const Counts with = simulate(true, rate, seed);
      const Counts without = simulate(false, rate, seed);
      // One probe in four seconds for each of the two slowest, and some more
      // after one that was short by chance.
      constexpr double kProbes = 0.01;
      BOOST_TEST(with.sent[4] + with.sent[5] <=
                 without.sent[4] + without.sent[5] + kProbes * with.total);
      BOOST_TEST(with.InTime() >= without.InTime() - 0.002);
    }
  }
}

// A server fails half of its requests but answers the others, so it is never
// out of use for long: after each backoff it got a full load again.
BOOST_AUTO_TEST_CASE(ServerThatFailsHalfGetsProbesOnly) {
  const auto simulate = [](bool server_probes, uint64_t seed) {
    int ended = 0;
    UnevenServers servers({.server_probes = server_probes,
                           .seed = seed,
                           .fails = [&ended](int server, Duration at) {
                             return server == 0 && at >= seconds(11) &&
                                    at < seconds(21) && ++ended % 2 == 0;
                           }});
    servers.Simulate(seconds(11));
    servers.Simulate(seconds(10));
    servers.Simulate(seconds(2));
    servers.Simulate(seconds(4));
    servers.Simulate(seconds(1));
    std::vector<Counts> phases;
    for (int phase = 2; phase <= 4; ++phase) {
      phases.push_back(servers.phase(phase));
      BOOST_TEST_MESSAGE("probes " << server_probes << ", seed " << seed
                                   << ", phase " << phase << ": "
                                   << Describe(phases.back()));
    }
    return phases;
  };
  int sent_with = 0;
  int sent_without = 0;
  for (const uint64_t seed : kSeeds) {
    const std::vector<Counts> phases = simulate(true, seed);
    BOOST_TEST(ShareOfFirst(1, phases[0]) < 0.13);
    BOOST_TEST(ShareOfFirst(1, phases[2]) > 0.9);
    BOOST_TEST(phases[0].InTime() >= 0.99);
    sent_with += phases[0].sent[0];
    sent_without += simulate(false, seed)[0].sent[0];
  }
  BOOST_TEST(sent_without > 2 * sent_with);
}

// A server stops working for two seconds without an error. Its running requests
// must show it.
BOOST_AUTO_TEST_CASE(StalledServerLosesItsRequestsAndReturns) {
  const auto simulate = [](bool server_probes, uint64_t seed) {
    UnevenServers servers({.server_probes = server_probes,
                           .seed = seed,
                           .slowness = [](int server, Duration at) {
                             constexpr double kStalled = 1e6;
                             return server == 0 && at >= seconds(11) &&
                                            at < seconds(13)
                                        ? kStalled
                                        : 1.0;
                           }});
    servers.Simulate(seconds(11));
    servers.Simulate(milliseconds(500));
    servers.Simulate(milliseconds(1500));
    servers.Simulate(seconds(2));
    servers.Simulate(seconds(4));
    servers.Simulate(seconds(1));
    std::vector<Counts> phases;
    for (int phase = 2; phase <= 5; ++phase) {
      phases.push_back(servers.phase(phase));
      BOOST_TEST_MESSAGE("probes " << server_probes << ", seed " << seed
                                   << ", phase " << phase << ": "
                                   << Describe(phases.back()));
    }
    return phases;
  };
  for (const uint64_t seed : kSeeds) {
    const std::vector<Counts> phases = simulate(true, seed);
    BOOST_TEST(phases[1].sent[0] <= 3);
    BOOST_TEST(ShareOfFirst(1, phases[2]) > 0.2);
    BOOST_TEST(ShareOfFirst(1, phases[3]) > 0.9);
    BOOST_TEST(ShareOfFirst(1, simulate(false, seed)[2]) < 0.2);
  }
}

}  // namespace lavenderkeel
