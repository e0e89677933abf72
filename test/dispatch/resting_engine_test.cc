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

void TurnAwayAtAll(Simulation& simulation, Duration duration) {
  for (size_t i = 0; i < simulation.processes() - simulation.entries(); ++i) {
    simulation.TurnAway(i, duration);
  }
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

// Guards against a request that is reported as turned away, or sent to another
// engine, although the engine that refused it runs it.
BOOST_AUTO_TEST_CASE(RefusedRequestsThatRunAreNotReportedAsNotRun) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Simulation simulation({.seed = seed});
    for (size_t i = 0; i < 3; ++i) {
      simulation.TurnAwayFalsely(i, seconds(2));
    }
    // The first one may run once.
    Submit(simulation, 1, 20, milliseconds(100));
    BOOST_TEST(AreAllConcluded(simulation, seconds(10)));
    BOOST_TEST(simulation.oracle().Count(ResultCode::kServerFailed) >= 1U);
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

// Guards against callers that wait for the end of a long rest of all engines,
// and against engines that get a request of each of them.
BOOST_AUTO_TEST_CASE(RequestsAreRefusedWhileAllEnginesRest) {
  Simulation simulation({});
  TurnAwayAtAll(simulation, seconds(60));
  Submit(simulation, 0, 3, Duration::zero());
  BOOST_TEST(AreAllConcluded(simulation, seconds(1)));
  const size_t turned_away = TurnedAwayByAll(simulation);
  Submit(simulation, 3, 30, milliseconds(100));
  BOOST_TEST(AreAllConcluded(simulation, seconds(1)));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kServerPushback) == 33U);
  BOOST_TEST(TurnedAwayByAll(simulation) == turned_away);
  simulation.RunFor(seconds(60));
  Submit(simulation, 33, 5, milliseconds(100));
  BOOST_TEST(AreAllConcluded(simulation, seconds(5)));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) == 5U);
  CheckGuarantees(simulation);
}

// Guards against requests that are held back for good once the running ones of
// their team were refused: 700 ms later the rest is too short to refuse them.
BOOST_AUTO_TEST_CASE(HeldBackRequestsAreRefusedWhileAllEnginesRest) {
  Simulation::Options options{.entries = 1, .team_running = 2};
  options.entry.dispatch.widen_after = milliseconds(700);
  Simulation simulation(options);
  TurnAwayAtAll(simulation, milliseconds(8200));
  Submit(simulation, 0, 20, Duration::zero());
  BOOST_TEST(AreAllConcluded(simulation, seconds(10)));
  // A reservation may cross the report of the last rest; its request waits.
  BOOST_TEST(simulation.oracle().Count(ResultCode::kServerPushback) >= 18U);
  BOOST_TEST(simulation.oracle().Count(ResultCode::kServerPushback) +
                 simulation.oracle().Count(ResultCode::kAnswered) ==
             20U);
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

// Guards against a request with a deadline that waits for a rest which ends
// after it.
BOOST_AUTO_TEST_CASE(RequestIsRefusedIfItsDeadlineIsInTheRest) {
  Simulation simulation({.entries = 1});
  TurnAwayAtAll(simulation, seconds(4));
  Submit(simulation, 0, 3, milliseconds(200));
  const std::string key = simulation.NewKey();
  simulation.Submit(0, key, "r9x", /*repeatable=*/false, 3,
                    /*deadline_ms=*/2000);
  simulation.RunFor(milliseconds(200));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kServerPushback) == 1U);
  BOOST_TEST(AreAllConcluded(simulation, seconds(10)));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) == 3U);
  CheckGuarantees(simulation);
}

}  // namespace lavenderkeel::fuzz
