// Servers that turn requests away and ask the sender for a rest.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "test/forward/notice_simulation.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
/// Requests of one entry that may reach a server during the rest.
constexpr int kMaxArrivals = 2;

void SetPushbackOfAll(NoticeSimulation& simulation,
                      int servers,
                      std::optional<Duration> retry_after) {
  for (int server = 0; server < servers; ++server) {
    simulation.servers().SetPushback(server, retry_after);
  }
}

}  // namespace

// Guards against an idle server that turns all requests away and attracts them
// because it is idle.
BOOST_AUTO_TEST_CASE(ServersThatAskForRestGetNoRequests) {
  NoticeSimulation simulation({.every = milliseconds(10)});
  for (const int server : {0, 1, 2}) {
    simulation.servers().SetPushback(server, seconds(3));
  }
  const TimePoint begin = simulation.fleet().Now();
  simulation.SendTraffic(seconds(9));
  BOOST_TEST(simulation.history().MaxArrivalsDuringPushback() <= kMaxArrivals);
  BOOST_TEST(simulation.Fraction(kOk, begin) == 1);
}

// Guards against a rest that is kept from entries that were not asked for it.
BOOST_AUTO_TEST_CASE(PushbackConcernsOnlyTheEntryThatWasTurnedAway) {
  NoticeSimulation simulation({.servers = {.servers = 2}});
  simulation.servers().SetPushback(0, seconds(3), /*only_entry=*/1);
  simulation.SendTraffic(seconds(2));
  const TimePoint begin = simulation.fleet().Now();
  simulation.SendTraffic(seconds(8));
  BOOST_TEST(simulation.history().MaxArrivalsDuringPushback() <= kMaxArrivals);
  BOOST_TEST(simulation.Fraction(kOk, {}) == 1);
  // A third of what an equal share would be.
  BOOST_TEST(simulation.history().CountArrivals(simulation.servers().IdOf(0),
                                                begin) > 8 * 50 / 2 / 3);
}

// Guards against a server that gets no requests after its rest is over.
BOOST_AUTO_TEST_CASE(ServerGetsRequestsAgainAfterItsRest) {
  NoticeSimulation simulation({.servers = {.servers = 2}});
  SetPushbackOfAll(simulation, 2, seconds(3));
  simulation.SendTraffic(milliseconds(500));
  SetPushbackOfAll(simulation, 2, std::nullopt);
  simulation.SendTraffic(seconds(3));
  const TimePoint begin = simulation.fleet().Now();
  simulation.SendTraffic(seconds(3));
  BOOST_TEST(simulation.Fraction(kOk, begin) == 1);
}

// Guards against callers that wait in vain, or are not told when the servers
// take requests again, while all servers rest at once in a burst.
BOOST_AUTO_TEST_CASE(CallersLearnWhenTheFirstServerHasRested) {
  NoticeSimulation simulation({.every = milliseconds(5)});
  SetPushbackOfAll(simulation, 8, seconds(6));
  simulation.SendTraffic(milliseconds(200));
  const TimePoint begin = simulation.fleet().Now();
  simulation.SendTraffic(seconds(1));
  BOOST_TEST(simulation.history().MaxArrivalsDuringPushback() <= kMaxArrivals);
  BOOST_TEST(simulation.Fraction(kUnavailable, begin) == 1);
  for (int entry = 0; entry < 4; ++entry) {
    for (const auto& [exchange, client] :
         simulation.fleet().port(entry).clients) {
      if (!client.status.has_value() ||
          simulation.fleet().RequestedAt("r" + std::to_string(exchange)) <
              begin) {
        continue;
      }
      const std::string* wait = FindField(client.fields, "Retry-After");
      BOOST_TEST_REQUIRE(wait != nullptr);
      BOOST_TEST(std::stod(*wait) > 4.5);
      BOOST_TEST(std::stod(*wait) <= 6.1);
    }
  }
}

// Guards against unreadable rests that keep requests from their servers.
BOOST_AUTO_TEST_CASE(UnreadablePushbackChangesNothing) {
  for (const HttpFields& fields :
       {HttpFields{{"Retry-After", "-3"}}, HttpFields{{"Retry-After", "9e9"}},
        HttpFields{{"Retry-After", "100000"}},
        HttpFields{{"Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT"}},
        HttpFields{{"Retry-After", "3"}, {"Retry-After", "3"}}}) {
    NoticeSimulation simulation(
        {.servers = {.servers = 1}, .every = milliseconds(50)});
    simulation.servers().SetAnswerFields(0, fields);
    simulation.servers().SetPushback(0, Duration::zero());
    simulation.SendTraffic(milliseconds(300));
    simulation.servers().SetPushback(0, std::nullopt);
    simulation.servers().SetAnswerFields(0, {});
    simulation.SendTraffic(seconds(1));
    const TimePoint begin = simulation.fleet().Now();
    simulation.SendTraffic(seconds(2));
    BOOST_TEST(simulation.Fraction(kOk, begin) == 1, fields.front().value);
  }
}

// Guards against rests that are forgotten when the entry that schedules the
// servers restarts, or is cut from the others.
BOOST_AUTO_TEST_CASE(RestIsKeptWhileEntriesRestartOrAreCut) {
  NoticeSimulation simulation({.every = milliseconds(10)});
  for (const int server : {0, 1, 2}) {
    simulation.servers().SetPushback(server, seconds(5));
  }
  simulation.fleet().set_store_down(true);
  simulation.SendTraffic(seconds(2));
  for (const int first : {1, 2, 3}) {
    simulation.SetPartition(first, true);
    simulation.SendTraffic(seconds(3));
    simulation.SetPartition(first, false);
    simulation.SendTraffic(seconds(1));
  }
  simulation.fleet().set_store_down(false);
  for (int entry = 0; entry < 4; ++entry) {
    simulation.Restart(entry);
    simulation.SendTraffic(seconds(2));
  }
  BOOST_TEST(simulation.history().MaxArrivalsDuringPushback() <= kMaxArrivals);
}

}  // namespace lavenderkeel
