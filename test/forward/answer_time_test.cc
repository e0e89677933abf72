#include <boost/test/unit_test.hpp>
#include <random>

#include "lavenderkeel/forward/upper_quantile_estimator.h"
#include "test/fakes/forward_simulation.h"

namespace lavenderkeel {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(UpperQuantileConvergesAndFollowsChanges) {
  std::mt19937 random(3);
  UpperQuantileEstimator quantile;
  for (const double max_sample : {100.0, 400.0, 50.0}) {
    std::uniform_real_distribution<double> sample(0.0, max_sample);
    for (int i = 0; i < 400; ++i) {
      quantile.Add(sample(random));
    }
    BOOST_TEST(quantile.value() > 0.7 * max_sample);
    BOOST_TEST(quantile.value() < 1.15 * max_sample);
  }
}

// A plain service takes 200 ms, and its answers are due within 500. One request
// has waited for 350 ms and will be late; another has just arrived and can be
// in time. Guards against granting the slot to the request that is nearest to
// its target, after which both are late.
BOOST_AUTO_TEST_CASE(SlotGoesToRequestThatCanBeInTime) {
  RouteTableContent content = fakes::ForwardSimulation::Table(2);
  content.services = {{.name = "engines"}};
  fakes::ForwardSimulation simulation({.servers = 1, .slots = 1});
  simulation.controller.OnRouteTable(
      std::make_shared<const RouteTable>(content));
  // A plain service has two places per slot.
  for (int i = 0; i < 10; ++i) {
    simulation.Request("lookup");
    simulation.Advance(milliseconds(200));
    simulation.Answer(simulation.last(), 200, "done");
  }
  simulation.Request("lookup");
  const fakes::SentAttempt running = simulation.last();
  simulation.Request("lookup");
  const size_t sent = simulation.port.sent.size();
  simulation.Request("lookup", {{"Request-Id", "old"}});
  simulation.Advance(milliseconds(360));
  simulation.Request("lookup", {{"Request-Id", "new"}});
  BOOST_REQUIRE(simulation.port.sent.size() == sent);
  simulation.Answer(running, 200, "done");
  BOOST_REQUIRE(simulation.port.sent.size() == sent + 1);
  BOOST_TEST(simulation.last().Field("Request-Id") == "new");
}

}  // namespace lavenderkeel
