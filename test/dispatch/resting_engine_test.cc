// Engines that turn requests away with Retry-After, under a virtual clock.
#include <boost/test/unit_test.hpp>
#include <string>

#include "test/fuzz/simulation.h"

namespace lavenderkeel::fuzz {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void Submit(Simulation& simulation, int first, int count, Duration gap) {
  for (int i = first; i < first + count; ++i) {
    simulation.Submit(i % simulation.entries(), simulation.NewKey(),
                      "r" + std::to_string(i) + "x",
                      /*repeatable=*/i % 2 == 0, 3);
    simulation.RunFor(gap);
  }
}

bool AreAllConcluded(Simulation& simulation, Duration timeout) {
  return simulation.RunUntil(
      [&] { return simulation.oracle().open_callers() == 0; }, timeout);
}

void CheckGuarantees(Simulation& simulation) {
  for (const std::string& violation : simulation.oracle().violations()) {
    BOOST_ERROR(violation);
  }
}

size_t TurnedAwayByAll(Simulation& simulation) {
  size_t sum = 0;
  for (size_t i = 0; i < simulation.processes() - simulation.entries(); ++i) {
    sum += simulation.turned_away(i);
  }
  return sum;
}

}  // namespace

// Guards against an idle engine that attracts requests while it turns them
// away: they run at the other engines, those that may run once included.
BOOST_AUTO_TEST_CASE(RequestsRunElsewhereDuringARest) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Simulation simulation({.seed = seed});
    simulation.TurnAway(0, seconds(60));
    Submit(simulation, 0, 100, milliseconds(100));
    BOOST_TEST(AreAllConcluded(simulation, seconds(2)));
    BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) == 100U);
    BOOST_TEST(simulation.turned_away(0) <= 2U);
    CheckGuarantees(simulation);
  }
}

// Guards against an engine that gets no requests after its rest.
BOOST_AUTO_TEST_CASE(EngineIsUsedAgainAfterItsRest) {
  Simulation simulation({.agents = 1});
  simulation.TurnAway(0, seconds(2));
  Submit(simulation, 0, 10, milliseconds(100));
  BOOST_TEST(AreAllConcluded(simulation, seconds(10)));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) == 10U);
  BOOST_TEST(simulation.turned_away(0) == 1U);
  CheckGuarantees(simulation);
}

// Guards against a request that goes from engine to engine without end while
// all turn it away and ask for no rest.
BOOST_AUTO_TEST_CASE(AttemptsAreLimitedWithoutARest) {
  Simulation simulation({.entries = 1});
  for (size_t i = 0; i < 3; ++i) {
    simulation.TurnAway(i, seconds(60), "0");
  }
  Submit(simulation, 0, 1, Duration::zero());
  BOOST_TEST(AreAllConcluded(simulation, seconds(5)));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kServerPushback) == 1U);
  BOOST_TEST(TurnedAwayByAll(simulation) <= 4U);
  CheckGuarantees(simulation);
}

}  // namespace lavenderkeel::fuzz
