// Servers that turn requests away and ask the sender for a rest.
#include <boost/test/unit_test.hpp>

#include "test/forward/notice_simulation.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;
/// Requests of one entry that may reach a server during the rest.
constexpr int kMaxArrivals = 2;

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

}  // namespace lavenderkeel
