// Servers that say in their answers that they leave.
#include <boost/test/unit_test.hpp>

#include "test/forward/notice_simulation.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;

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

}  // namespace lavenderkeel
