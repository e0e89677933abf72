// Servers that the slot scheduler lists before other entries do.
#include <boost/test/unit_test.hpp>

#include "test/forward/notice_simulation.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

// Guards against a new server that gets no requests for seconds because an
// entry that does not list it yet returned a slot there.
BOOST_AUTO_TEST_CASE(NewServerGetsRequestsThoughSomeEntriesDoNotListItYet) {
  NoticeSimulation simulation({.entries = 12,
                               .strong_entries = 2,
                               .servers = {.servers = 2,
                                           .restart_delay = seconds(1),
                                           .removal_delay = seconds(1)},
                               .every = milliseconds(2)});
  simulation.SendTraffic(seconds(1));
  simulation.servers().Crash(1);
  const auto is_back = [&] { return simulation.servers().IsRunning(1); };
  for (int i = 0; i < 20 && !is_back(); ++i) {
    simulation.SendTraffic(milliseconds(100));
  }
  BOOST_REQUIRE(is_back());
  const TimePoint begin = simulation.fleet().Now();
  simulation.SendTraffic(seconds(2));
  const auto arrivals = [&](int server) {
    return simulation.history().CountArrivals(simulation.servers().IdOf(server),
                                              begin);
  };
  BOOST_TEST(arrivals(1) > arrivals(0) / 2);
}

}  // namespace lavenderkeel
