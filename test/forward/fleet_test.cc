#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "test/fakes/fleet_simulation.h"

namespace lavenderkeel {

namespace {

using fakes::FleetSimulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the highest number of messages that a weak entry of an idle fleet
/// sends and receives in a second.
uint64_t MaxIdleMessagesPerSecond(int entries,
                                  const CoordinatorRules& rules = {}) {
  FleetSimulation::Options options = {.entries = entries, .strong_entries = 10};
  options.node.exchange.entry_directory.coordinators = rules;
  FleetSimulation fleet(options);
  fleet.Advance(seconds(4));
  fleet.ResetCounts();
  fleet.Advance(seconds(1));
  uint64_t max_messages = 0;
  for (int i = 10; i < entries; ++i) {
    max_messages = std::max(
        max_messages, fleet.messages_sent(i) + fleet.messages_received(i));
  }
  return max_messages;
}

/// @param sharing the number of entries that they take to share the rates; all
///     of them if nothing
int CountFullyConnected(FleetSimulation& fleet,
                        const std::vector<int>& entries,
                        std::optional<size_t> sharing = std::nullopt) {
  return static_cast<int>(std::ranges::count_if(entries, [&](int entry) {
    const EntryExchange::Counts counts = fleet.node(entry).exchange().Count();
    return counts.reporting == entries.size() &&
           counts.sharing == sharing.value_or(entries.size());
  }));
}

std::vector<int> Range(int first, int last) {
  std::vector<int> range;
  for (int i = first; i < last; ++i) {
    range.push_back(i);
  }
  return range;
}

/// Returns the number of running entries of 60 that know that the server is
/// draining.
int CountWithoutUsableServer(FleetSimulation& fleet) {
  return static_cast<int>(std::ranges::count_if(Range(0, 60), [&](int entry) {
    return fleet.IsRunning(entry) &&
           fleet.node(entry).directory().Usable("engines").empty();
  }));
}

}  // namespace

// In an idle fleet of 100 where every entry reports to every other, an entry
// sends and receives 2,485 messages a second; with ten coordinators 250.
BOOST_AUTO_TEST_CASE(MessagesPerEntryDoNotGrowWithFleet) {
  const uint64_t messages_of_100 = MaxIdleMessagesPerSecond(100);
  const uint64_t messages_of_150 = MaxIdleMessagesPerSecond(150);
  // Ten reports a second to each of 99 others and as many from each, without
  // heartbeats.
  constexpr uint64_t kAllToAll = uint64_t{2} * 10 * 99;
  BOOST_TEST_MESSAGE("messages a second: " << messages_of_100 << " and "
                                           << messages_of_150);
  // Ten coordinators, ten reports a second each way, a heartbeat a second.
  BOOST_TEST(messages_of_150 <= 2 * 10 * 10 + 5 * 10);
  BOOST_TEST(messages_of_150 <= messages_of_100 + messages_of_100 / 5);
  BOOST_TEST(messages_of_100 * 5 < kAllToAll);
}

// All entries are killed and start together. Until an entry receives reports
// from all, it lets through only a part of each team's rate, so callers would
// get 429.
BOOST_AUTO_TEST_CASE(LargeFleetConnectsSoonAfterStart) {
  FleetSimulation fleet({.entries = 103, .strong_entries = 15});
  fleet.Advance(milliseconds(700));
  BOOST_TEST(CountFullyConnected(fleet, Range(0, 103)) == 103);
  const std::set<std::string> expected_coordinators =
      fleet.node(0).exchange().entry_directory().coordinators();
  for (const int entry : Range(0, 103)) {
    BOOST_TEST(fleet.node(entry).exchange().entry_directory().coordinators() ==
               expected_coordinators);
  }
}

// A fleet of 100 starts, as after a power failure. If both peers of each pair
// sent the full list on both connections, 332,180 list entries would be sent.
// Each peer must send it once: 118,726.
BOOST_AUTO_TEST_CASE(EachPeerOfAPairSendsItsListOnce) {
  constexpr uint64_t kEntries = 100;
  constexpr uint64_t kSeeds = 3;
  FleetSimulation fleet(
      {.entries = kEntries, .strong_entries = 15, .seeds = kSeeds});
  fleet.Advance(milliseconds(700));
  BOOST_TEST_MESSAGE("list entries sent: " << fleet.list_entries_sent());
  BOOST_TEST(CountFullyConnected(fleet, Range(0, kEntries)) == 100);
  const uint64_t coordinators =
      fleet.node(0).exchange().entry_directory().coordinators().size();
  const uint64_t pairs = coordinators * kEntries;
  // In addition, each seed sends the list of all to each new entry.
  BOOST_TEST(fleet.list_entries_sent() <=
             2 * pairs * kEntries + kSeeds * kEntries * kEntries);
}

// All coordinators die at once. The next entries in order must take over, so
// that clients are refused no longer than the detection takes.
BOOST_AUTO_TEST_CASE(OtherEntriesReplaceLostCoordinators) {
  FleetSimulation fleet({.entries = 40, .strong_entries = 6, .seeds = 6});
  fleet.Advance(seconds(2));
  for (const int entry : Range(0, 6)) {
    fleet.Kill(entry);
  }
  fleet.Advance(seconds(14));
  // Those that were lost keep their part of the rates for a minute.
  BOOST_TEST(CountFullyConnected(fleet, Range(6, 40), 40) == 34);
  fleet.Advance(seconds(56));
  BOOST_TEST(CountFullyConnected(fleet, Range(6, 40)) == 34);
}

BOOST_AUTO_TEST_CASE(RestartedCoordinatorReconnects) {
  FleetSimulation fleet({.entries = 40, .strong_entries = 6});
  fleet.Advance(seconds(2));
  fleet.Kill(0);
  fleet.Advance(seconds(3));
  fleet.Start(0);
  fleet.Advance(seconds(2));
  BOOST_TEST(CountFullyConnected(fleet, Range(0, 40)) == 40);
}

// Servers change one after the other, as in a release. If every entry read
// every change from the store, 60 entries would make 60 reads a change. Only
// the coordinators may read, and all entries must know in time to send a
// leaving server no more requests.
BOOST_AUTO_TEST_CASE(OnlyCoordinatorsReadServerChanges) {
  FleetSimulation fleet({.entries = 60, .strong_entries = 8});
  fleet.Advance(seconds(3));
  fleet.ResetCounts();
  constexpr int kChanges = 5;
  for (int change = 0; change < kChanges; ++change) {
    fleet.PutServer("s", /*draining=*/change % 2 == 0);
    fleet.Advance(seconds(1));
  }
  BOOST_TEST(CountWithoutUsableServer(fleet) == 60);
  // One read per change and coordinator, and renewals of its two watches.
  BOOST_TEST(fleet.store_reads() <= 8U * (kChanges + 2 * 2));
}

// The coordinators die while a server leaves. The others must read the store
// until there are new ones, so that the server gets no more requests.
BOOST_AUTO_TEST_CASE(ServerChangesArriveThoughAllCoordinatorsDie) {
  FleetSimulation fleet({.entries = 60, .strong_entries = 8, .seeds = 10});
  fleet.Advance(seconds(3));
  for (const int entry : Range(0, 8)) {
    fleet.Kill(entry);
  }
  fleet.PutServer("s", /*draining=*/true);
  fleet.Advance(seconds(1));
  BOOST_TEST(CountWithoutUsableServer(fleet) == 52);
}

// A server leaves while the store is unavailable. All entries must know soon
// after its return, and until then only the coordinators may retry.
BOOST_AUTO_TEST_CASE(OnlyCoordinatorsRetryDuringStoreOutage) {
  FleetSimulation fleet({.entries = 60, .strong_entries = 8});
  fleet.Advance(seconds(3));
  fleet.set_store_down(true);
  fleet.Advance(seconds(1));
  fleet.ResetCounts();
  fleet.Advance(seconds(2));
  const uint64_t reads = fleet.store_reads();
  fleet.set_store_down(false);
  fleet.PutServer("s", /*draining=*/true);
  fleet.Advance(seconds(1));
  BOOST_TEST(CountWithoutUsableServer(fleet) == 60);
  BOOST_TEST_MESSAGE("reads in two seconds without the store: " << reads);
  // Twice the reads at the shortest pause between failed attempts, for eight
  // coordinators.
  BOOST_TEST(reads <= 8U * 2 * 2 * 10);
}

// A team requests six times its rate. It must get its rate over all entries
// together, and 429 beyond: entries that are not coordinators receive each
// other's usage through one.
BOOST_AUTO_TEST_CASE(TeamRateHoldsOverLargeFleet) {
  constexpr double kRate = 200;
  constexpr double kBurst = 100;
  // Tolerated excess over the rate, for requests of a usual size.
  constexpr double kOver = 0.1;
  constexpr double kSlack = 50;
  FleetSimulation::Options options = {
      .entries = 60,
      .strong_entries = 8,
      .rate = {.per_second = kRate, .burst = kBurst}};
  options.node.controller.rates.tolerance = {.over = kOver, .slack = kSlack};
  FleetSimulation fleet(options);
  fleet.Advance(seconds(2));
  constexpr int kSeconds = 6;
  constexpr int kRequestsPerEntry = 20 * kSeconds;
  for (int round = 0; round < kRequestsPerEntry; ++round) {
    for (int entry = 0; entry < fleet.entries(); ++entry) {
      fleet.Request(entry);
      if (entry % 6 == 5) {
        fleet.Advance(milliseconds(5));
      }
    }
  }
  int passed = kRequestsPerEntry * fleet.entries();
  for (int entry = 0; entry < fleet.entries(); ++entry) {
    passed -= fleet.Refused(entry);
  }
  const double rate = kRate * kSeconds + kBurst;
  BOOST_TEST_MESSAGE("passed " << passed << ", rate " << rate);
  BOOST_TEST(passed <= (1 + kOver) * rate + kSlack);
  BOOST_TEST(passed >= rate);
}

// A fleet starts with many servers. An entry reports several times before a
// long server list has reached it, and must not get the list again each time.
BOOST_AUTO_TEST_CASE(ServerListIsNotResentWhileInTransit) {
  constexpr uint64_t kServers = 200;
  constexpr uint64_t kFeedReceivers = 20;
  FleetSimulation fleet({.entries = 30,
                         .strong_entries = 10,
                         .with_server = false,
                         .network_delay = milliseconds(250)});
  fleet.Advance(seconds(4));
  fleet.ResetCounts();
  for (uint64_t i = 0; i < kServers; ++i) {
    fleet.PutServer("s" + std::to_string(i), /*draining=*/false);
  }
  fleet.Advance(seconds(4));
  BOOST_TEST(fleet.node(29).directory().Usable("engines").size() == kServers);
  // Each change may reach an entry from the coordinator that it used and, if
  // another had it first, from that one too.
  BOOST_TEST(fleet.server_updates_sent() <= 2 * kServers * kFeedReceivers);
}

}  // namespace lavenderkeel
