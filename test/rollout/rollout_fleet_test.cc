#include <boost/test/unit_test.hpp>

#include "test/rollout/rollout_simulation.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

// Guards against requests to servers of a version that no order names.
BOOST_AUTO_TEST_CASE(UnorderedVersionGetsNoRequests) {
  RolloutSimulation simulation({});
  simulation.RunFor(seconds(2));
  simulation.versions().AddVersion("v2");
  simulation.RunFor(seconds(3));
  BOOST_TEST(simulation.versions().ArrivalsAt("v2") == 0);
  BOOST_TEST(simulation.versions().ArrivalsAt("v1") > 300);
}

// Guards against a version that fails half of its answers and reaches more
// callers than the exposure limit allows.
BOOST_AUTO_TEST_CASE(FailingVersionIsRolledBack) {
  RolloutSimulation simulation({});
  simulation.RunFor(seconds(3));
  simulation.OrderRollout();
  simulation.versions().SetFault("v2", {.share = 0.5}, simulation.ordered_at());
  simulation.RunFor(seconds(16));
  BOOST_TEST(simulation.State() == "rolled_back");
  BOOST_TEST(simulation.ExcessExposure() <= 0);
  BOOST_TEST(simulation.LateArrivals() == 0);
}

// Guards against a good version that is not completed in time, and against old
// servers that stop while they run requests.
BOOST_AUTO_TEST_CASE(GoodVersionIsCompletedInTime) {
  RolloutSimulation simulation({});
  simulation.RunFor(seconds(3));
  simulation.OrderRollout();
  simulation.RunFor(seconds(16));
  BOOST_TEST(simulation.State() == "completed");
  BOOST_REQUIRE(simulation.ended_at().has_value());
  BOOST_TEST((*simulation.ended_at() <= simulation.due()));
  BOOST_TEST(simulation.versions().cut_by_stop() == 0);
}

// Guards against an order that is withdrawn because another writer replaced it
// by bytes that can't be read.
BOOST_AUTO_TEST_CASE(OrderHoldsWhileItsObjectCannotBeRead) {
  for (const char* unreadable : {"{", "", R"({"service":"engines","to":7})"}) {
    for (const double failures : {0.0, 0.5}) {
      RolloutSimulation simulation({});
      simulation.RunFor(seconds(3));
      simulation.OrderRollout();
      simulation.versions().SetFault("v2", {.share = failures},
                                     simulation.ordered_at());
      simulation.RunFor(milliseconds(300));
      simulation.fleet().PutObject("rollouts", "engines", unreadable);
      simulation.RunFor(seconds(2));
      simulation.Restart(3);
      simulation.RunFor(seconds(14));
      BOOST_TEST(simulation.State() ==
                 (failures > 0 ? "rolled_back" : "completed"));
      BOOST_TEST((failures == 0 || simulation.ExcessExposure() <= 0));
      BOOST_TEST(simulation.LateArrivals() == 0);
      BOOST_TEST(simulation.versions().cut_by_stop() == 0);
    }
  }
}

}  // namespace lavenderkeel
