#include "lavenderkeel/forward/slot_router.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "lavenderkeel/base/rendezvous.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;

struct Harness {
  explicit Harness(int servers) {
    for (int i = 0; i < servers; ++i) {
      directory.Apply({.id = "s" + std::to_string(i), .service = "engines"});
    }
  }

  void Ask(AttemptId attempt) {
    router.Ask(
        {.attempt = attempt, .service = "engines", .model_server = true});
  }
  void HearAll() {
    for (const char* entry : {"b", "c", "d"}) {
      router.OnHeard(entry, {});
    }
  }

  fuzz::VirtualClock clock;
  EventLog log;
  ServerDirectory directory;
  std::vector<std::pair<std::string, SlotAsk>> asked;
  SlotRouter router{
      {.self = "a"},
      directory,
      clock,
      log,
      {.ask = [this](const std::string& gate,
                     const SlotAsk& ask) { asked.emplace_back(gate, ask); },
       .done = [](const std::string&, AttemptId, const SlotResult&) {}}};
};

}  // namespace

BOOST_AUTO_TEST_CASE(EntryAloneIsItsOwnGate) {
  Harness h(40);
  h.Ask(1);
  BOOST_REQUIRE(h.asked.size() == 1U);
  BOOST_TEST(h.asked[0].first == "a");
  BOOST_TEST(h.asked[0].second.group.count == 2U);
}

// Entries that each place alone at a few plain servers all take the same free
// place, and the servers reject what is too much. One gate hands the places
// out, as for model servers.
BOOST_AUTO_TEST_CASE(PlainServicesHaveOneGateForAllEntries) {
  Harness h(3);
  h.HearAll();
  h.Ask(1);
  h.router.Ask({.attempt = 2, .service = "engines", .model_server = false});
  BOOST_TEST(h.asked[1].first == h.asked[0].first);
  BOOST_TEST(h.asked[1].first != "a");
}

// The gate of a waiting request freezes. The client is still served in time:
// the request is taken to the gate that follows, and a slot that the frozen one
// grants when it wakes is not used a second time.
BOOST_AUTO_TEST_CASE(WishIsTakenAwayFromASilentGate) {
  Harness h(3);
  h.HearAll();
  AttemptId attempt = 0;
  do {
    h.Ask(++attempt);
  } while (h.asked.back().first == "a" && attempt < 1);
  // The rendezvous of these names picks another entry; else nothing to test.
  const std::string first = h.asked.back().first;
  BOOST_REQUIRE(first != "a");
  h.clock.Advance(milliseconds(300));
  for (const char* entry : {"b", "c", "d"}) {
    if (entry != first) {
      h.router.OnHeard(entry, {});
    }
  }
  h.clock.Advance(milliseconds(200));
  h.router.Tick();
  BOOST_REQUIRE(h.asked.size() == 2U);
  const std::string second = h.asked.back().first;
  BOOST_TEST(second != first);
  BOOST_TEST(!h.router.OnGrant(first, attempt));
  BOOST_TEST(h.router.OnGrant(second, attempt));
  BOOST_TEST(!h.router.OnGrant(second, attempt));
}

BOOST_AUTO_TEST_CASE(WishIsAskedAgainOverANewConnection) {
  Harness h(3);
  h.HearAll();
  h.Ask(1);
  const std::string gate = h.asked[0].first;
  h.router.OnReconnected(gate);
  BOOST_TEST(h.asked.size() == 2U);
  BOOST_TEST(h.asked[1].first == gate);
}

// Before 180 servers a burst leaves slots free in one group while urgent work
// waits in another's line. Where strong entries have the gates, groups are few.
BOOST_AUTO_TEST_CASE(StrongerHostsHaveLargerGroups) {
  Harness h(180);
  h.Ask(1);
  BOOST_TEST(h.asked.back().second.group.count == 11U);
  h.router.set_weakest_host(0.09);
  h.Ask(2);
  BOOST_TEST(h.asked.back().second.group.count == 11U);
  h.router.set_weakest_host(0.5);
  h.Ask(3);
  BOOST_TEST(h.asked.back().second.group.count == 2U);
}

BOOST_AUTO_TEST_CASE(EntryThatHostsNoGatesAsksAnother) {
  Harness h(40);
  h.HearAll();
  h.router.set_hosts_gates(false);
  for (AttemptId attempt = 1; attempt <= 20; ++attempt) {
    h.Ask(attempt);
    BOOST_TEST(h.asked.back().first != "a");
  }
}

BOOST_AUTO_TEST_CASE(LeavingEntryIsNoGate) {
  Harness h(40);
  h.HearAll();
  h.router.set_leaving();
  for (AttemptId attempt = 1; attempt <= 20; ++attempt) {
    h.Ask(attempt);
    BOOST_TEST(h.asked.back().first != "a");
  }
}

BOOST_AUTO_TEST_CASE(GroupWithMoreRoomIsAsked) {
  Harness h(40);
  const uint64_t service = HashBytes("engines");
  h.router.OnHeard(
      "a",
      {{.service_hash = service, .group = {.index = 0, .count = 2}, .free = 1},
       {.service_hash = service,
        .group = {.index = 1, .count = 2},
        .free = 5}});
  std::vector<uint32_t> groups;
  for (AttemptId attempt = 1; attempt <= 5; ++attempt) {
    h.Ask(attempt);
    groups.push_back(h.asked.back().second.group.index);
  }
  BOOST_TEST(std::ranges::count(groups, 1U) >= 4);
}

}  // namespace lavenderkeel
