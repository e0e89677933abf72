// Servers that say in their answers that they leave.
#include <boost/test/unit_test.hpp>

#include "test/forward/notice_simulation.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

// Guards against requests to a server whose answers say that it leaves, while
// the list of servers cannot show it.
BOOST_AUTO_TEST_CASE(LeavingServerGetsNoRequestsWithoutTheStore) {
  NoticeSimulation simulation({.every = milliseconds(10)});
  simulation.fleet().set_store_down(true);
  simulation.SendTraffic(seconds(1));
  simulation.servers().SetLeaving(0);
  simulation.SendTraffic(seconds(13));
  BOOST_TEST(simulation.history().arrivals_after_leaving() == 0);
  BOOST_TEST(simulation.Fraction(kOk, {}) == 1);
}

// Guards against entries that learn of a leaving server only from its own
// answers to them.
BOOST_AUTO_TEST_CASE(OneAnswerTellsAllEntriesThatAServerLeaves) {
  NoticeSimulation simulation({.entries = 12, .strong_entries = 4});
  simulation.fleet().set_store_down(true);
  simulation.SendTraffic(seconds(1));
  simulation.servers().SetLeaving(0);
  simulation.SendTraffic(seconds(2));
  const TimePoint begin = simulation.fleet().Now();
  simulation.SendTraffic(seconds(4));
  BOOST_TEST(simulation.history().CountArrivals(simulation.servers().IdOf(0),
                                                begin) == 0);
}

// Guards against the same failure at entries that are cut from the one that
// schedules the server, and at ones that restart.
BOOST_AUTO_TEST_CASE(LeavingServerGetsNoRequestsWhileEntriesAreCutOrRestart) {
  NoticeSimulation simulation({.every = milliseconds(10)});
  simulation.fleet().set_store_down(true);
  simulation.servers().SetLeaving(0);
  simulation.SendTraffic(seconds(1));
  for (const int first : {1, 2, 3}) {
    simulation.SetPartition(first, true);
    simulation.SendTraffic(seconds(4));
    simulation.SetPartition(first, false);
    simulation.SendTraffic(seconds(1));
  }
  simulation.fleet().set_store_down(false);
  for (int entry = 0; entry < 4; ++entry) {
    simulation.Restart(entry);
    simulation.SendTraffic(seconds(2));
  }
  BOOST_TEST(simulation.history().arrivals_after_leaving() == 0);
}

// Guards against a notice that outlives its server: the next one at the address
// gets requests.
BOOST_AUTO_TEST_CASE(SuccessorOfLeavingServerGetsRequests) {
  NoticeSimulation simulation({.servers = {.servers = 2}});
  simulation.servers().SetLeaving(0);
  simulation.SendTraffic(seconds(3));
  simulation.servers().Crash(0);
  simulation.SendTraffic(seconds(5));
  const TimePoint begin = simulation.fleet().Now();
  simulation.SendTraffic(seconds(4));
  BOOST_TEST(simulation.history().CountArrivals(simulation.servers().IdOf(0),
                                                begin) > 10);
}

// Guards against callers that wait in vain while all servers of a service
// leave.
BOOST_AUTO_TEST_CASE(CallersAreRefusedWhileAllServersLeave) {
  NoticeSimulation simulation({.servers = {.servers = 2}});
  simulation.servers().SetLeaving(0);
  simulation.servers().SetLeaving(1);
  simulation.SendTraffic(seconds(1));
  const TimePoint begin = simulation.fleet().Now();
  simulation.SendTraffic(seconds(6));
  BOOST_TEST(simulation.history().arrivals_after_leaving() == 0);
  simulation.servers().Advance(seconds(3));
  BOOST_TEST(simulation.Fraction(kUnavailable, begin) == 1);
}

// Guards against unreadable notices that keep requests from their servers.
BOOST_AUTO_TEST_CASE(UnreadableLeavingNoticeChangesNothing) {
  NoticeSimulation simulation({.servers = {.servers = 2}});
  simulation.servers().SetAnswerFields(0, {{"Server-Leaving", "yes"}});
  simulation.servers().SetAnswerFields(
      1, {{"Server-Leaving", "1"}, {"Server-Leaving", "1"}});
  simulation.SendTraffic(seconds(4));
  BOOST_TEST(simulation.Fraction(kOk, {}) == 1);
}

// Guards against a leaving server that gets requests again after an outage of
// the store removed it from the list for a while.
BOOST_AUTO_TEST_CASE(LeavingServerStaysOutWhenListedAgain) {
  NoticeSimulation simulation({});
  simulation.servers().SetLeaving(0);
  simulation.SendTraffic(seconds(2));
  const std::string id = simulation.servers().IdOf(0);
  simulation.fleet().RemoveServer(id);
  simulation.SendTraffic(seconds(20));
  simulation.fleet().PutServer(id, /*draining=*/false, "10.0.2.1:1");
  simulation.SendTraffic(seconds(4));
  BOOST_TEST(simulation.history().arrivals_after_leaving() == 0);
}

}  // namespace lavenderkeel
