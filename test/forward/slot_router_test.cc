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

  void RequestSlot(AttemptId attempt) {
    router.RequestSlot(
        {.attempt = attempt, .service = "engines", .model_server = true});
  }
  void ReportFromAll() {
    for (const char* entry : {"b", "c", "d"}) {
      router.OnReport(entry, {});
    }
  }

  fuzz::VirtualClock clock;
  EventLog log;
  ServerDirectory directory;
  std::vector<std::pair<std::string, SlotRequest>> sent_requests;
  SlotRouter router{
      {.self = "a"},
      directory,
      clock,
      log,
      {.request_slot =
           [this](const std::string& scheduler, const SlotRequest& request) {
             sent_requests.emplace_back(scheduler, request);
           },
       .release_slot =
           [](const std::string&, AttemptId, const SlotResult&) {}}};
};

}  // namespace

BOOST_AUTO_TEST_CASE(SingleEntryIsItsOwnScheduler) {
  Harness h(40);
  h.RequestSlot(1);
  BOOST_REQUIRE(h.sent_requests.size() == 1U);
  BOOST_TEST(h.sent_requests[0].first == "a");
  BOOST_TEST(h.sent_requests[0].second.group.count == 2U);
}

// Entries that place requests independently at a few plain servers would all
// take the same free slot, and the servers would reject the excess. One
// scheduler must grant the slots, as for model servers.
BOOST_AUTO_TEST_CASE(PlainServiceHasOneSchedulerForAllEntries) {
  Harness h(3);
  h.ReportFromAll();
  h.RequestSlot(1);
  h.router.RequestSlot(
      {.attempt = 2, .service = "engines", .model_server = false});
  BOOST_TEST(h.sent_requests[1].first == h.sent_requests[0].first);
  BOOST_TEST(h.sent_requests[1].first != "a");
}

// The scheduler of a waiting request freezes. The request must move to the next
// one early enough to be in time, and a slot that the frozen one grants later
// must not be used as well.
BOOST_AUTO_TEST_CASE(RequestMovesAwayFromUnresponsiveScheduler) {
  Harness h(3);
  h.ReportFromAll();
  AttemptId attempt = 0;
  do {
    h.RequestSlot(++attempt);
  } while (h.sent_requests.back().first == "a" && attempt < 1);
  // The rendezvous of these names picks another entry; otherwise the test would
  // check nothing.
  const std::string first = h.sent_requests.back().first;
  BOOST_REQUIRE(first != "a");
  h.clock.Advance(milliseconds(300));
  for (const char* entry : {"b", "c", "d"}) {
    if (entry != first) {
      h.router.OnReport(entry, {});
    }
  }
  h.clock.Advance(milliseconds(200));
  h.router.Tick();
  BOOST_REQUIRE(h.sent_requests.size() == 2U);
  const std::string second = h.sent_requests.back().first;
  BOOST_TEST(second != first);
  BOOST_TEST(!h.router.OnGrant(first, attempt));
  BOOST_TEST(h.router.OnGrant(second, attempt));
  BOOST_TEST(!h.router.OnGrant(second, attempt));
}

BOOST_AUTO_TEST_CASE(RequestIsSentAgainOverNewConnection) {
  Harness h(3);
  h.ReportFromAll();
  h.RequestSlot(1);
  const std::string scheduler = h.sent_requests[0].first;
  h.router.OnReconnected(scheduler);
  BOOST_TEST(h.sent_requests.size() == 2U);
  BOOST_TEST(h.sent_requests[1].first == scheduler);
}

// With 180 servers, many groups leave slots free in one group while urgent
// requests wait in the queue of another. Stronger scheduler hosts must get
// fewer, larger groups.
BOOST_AUTO_TEST_CASE(StrongerHostsHaveLargerGroups) {
  Harness h(180);
  h.RequestSlot(1);
  BOOST_TEST(h.sent_requests.back().second.group.count == 11U);
  h.router.set_min_host_processor_share(0.09);
  h.RequestSlot(2);
  BOOST_TEST(h.sent_requests.back().second.group.count == 11U);
  h.router.set_min_host_processor_share(0.5);
  h.RequestSlot(3);
  BOOST_TEST(h.sent_requests.back().second.group.count == 2U);
}

BOOST_AUTO_TEST_CASE(EntryWithoutSchedulersUsesAnother) {
  Harness h(40);
  h.ReportFromAll();
  h.router.set_hosts_schedulers(false);
  for (AttemptId attempt = 1; attempt <= 20; ++attempt) {
    h.RequestSlot(attempt);
    BOOST_TEST(h.sent_requests.back().first != "a");
  }
}

BOOST_AUTO_TEST_CASE(LeavingEntryIsNoScheduler) {
  Harness h(40);
  h.ReportFromAll();
  h.router.set_leaving();
  for (AttemptId attempt = 1; attempt <= 20; ++attempt) {
    h.RequestSlot(attempt);
    BOOST_TEST(h.sent_requests.back().first != "a");
  }
}

BOOST_AUTO_TEST_CASE(GroupWithMostFreeSlotsIsChosen) {
  Harness h(40);
  const uint64_t service = HashBytes("engines");
  h.router.OnReport(
      "a",
      {{.service_hash = service, .group = {.index = 0, .count = 2}, .free = 1},
       {.service_hash = service,
        .group = {.index = 1, .count = 2},
        .free = 5}});
  std::vector<uint32_t> groups;
  for (AttemptId attempt = 1; attempt <= 5; ++attempt) {
    h.RequestSlot(attempt);
    groups.push_back(h.sent_requests.back().second.group.index);
  }
  BOOST_TEST(std::ranges::count(groups, 1U) >= 4);
}

}  // namespace lavenderkeel
