#include "lavenderkeel/forward/usage_relay.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

constexpr uint64_t kTeam = 7;
const PeerId kFirst{.instance = "a", .incarnation = 1};
const PeerId kSecond{.instance = "b", .incarnation = 1};

double RelayedTotal(const UsageRelay& relay, const PeerId& entry) {
  for (const auto& [team, total] : relay.TotalsFor(entry, /*all=*/true)) {
    if (team == kTeam) {
      return total;
    }
  }
  return 0;
}

}  // namespace

BOOST_AUTO_TEST_CASE(EntryGetsOnlyUsageOfOthers) {
  UsageRelay relay;
  relay.OnTotals(kFirst, {}, /*is_relay=*/true);
  relay.OnTotals(kSecond, {}, true);
  relay.OnTotals(kFirst, {{kTeam, 30}}, true);
  relay.OnTotals(kSecond, {{kTeam, 5}}, true);
  BOOST_TEST(RelayedTotal(relay, kFirst) == 5);
  BOOST_TEST(RelayedTotal(relay, kSecond) == 30);
  BOOST_TEST(RelayedTotal(relay, {.instance = "c"}) == 35);
}

// Another coordinator died, and this one relays for its entries now. Their
// earlier usage is counted everywhere; relayed again, it would use up the
// team's rate, and its callers would get 429 without cause.
BOOST_AUTO_TEST_CASE(UsageRelayedByAnotherIsNotCountedAgain) {
  UsageRelay relay;
  relay.OnTotals(kFirst, {{kTeam, 1000}}, false);
  relay.OnTotals(kFirst, {{kTeam, 1200}}, false);
  relay.OnTotals(kFirst, {{kTeam, 1250}}, true);
  BOOST_TEST(RelayedTotal(relay, kSecond) == 50);
}

// An entry is disconnected and reconnects with its state. Its own usage must
// still be excluded from its totals, otherwise its teams would be charged
// twice.
BOOST_AUTO_TEST_CASE(OwnUsageStaysExcludedAfterReconnect) {
  UsageRelay relay;
  relay.OnTotals(kFirst, {}, true);
  relay.OnTotals(kFirst, {{kTeam, 80}}, true);
  BOOST_TEST(RelayedTotal(relay, kFirst) == 0);
  const PeerId successor{.instance = "a", .incarnation = 2};
  relay.OnTotals(successor, {{kTeam, 10}}, true);
  relay.OnTotals(successor, {{kTeam, 15}}, true);
  BOOST_TEST(RelayedTotal(relay, successor) == 80);
  BOOST_TEST(RelayedTotal(relay, kSecond) == 85);
}

BOOST_AUTO_TEST_CASE(OnlyChangesAreSentBetweenFullReports) {
  UsageRelay relay;
  relay.OnTotals(kFirst, {}, true);
  relay.OnTotals(kFirst, {{kTeam, 1}, {kTeam + 1, 1}}, true);
  relay.ClearChanges();
  relay.OnTotals(kFirst, {{kTeam, 2}, {kTeam + 1, 1}}, true);
  BOOST_TEST(relay.TotalsFor(kSecond, /*all=*/false).size() == 1U);
  BOOST_TEST(relay.TotalsFor(kSecond, /*all=*/true).size() == 2U);
}

}  // namespace lavenderkeel
