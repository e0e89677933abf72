// The bound on the retries of an entry, over all its processes.
#include <boost/test/unit_test.hpp>
#include <string>

#include "test/fuzz/simulation.h"

namespace lavenderkeel {

namespace {

using fuzz::Simulation;
using std::chrono::milliseconds;

constexpr size_t kAgents = 8;

}  // namespace

// Guards against a restarted process that sends as many retries as the one
// before it.
BOOST_AUTO_TEST_CASE(RestartedEntryKeepsItsRetryBound) {
  int retries = 0;
  int refused_by_bound = 0;
  Simulation simulation(
      {.entries = 1, .agents = kAgents, .log = [&](const std::string& line) {
         retries += line.find("event=retry ") != std::string::npos ? 1 : 0;
         refused_by_bound +=
             line.find("event=no_retry ") != std::string::npos &&
                     line.find("reason=bound") != std::string::npos
                 ? 1
                 : 0;
       }});
  simulation.RunFor(std::chrono::seconds(3));
  constexpr int kLives = 5;
  constexpr int kRequestsPerLife = 80;
  constexpr uint32_t kTokens = 40;
  for (int life = 0; life < kLives; ++life) {
    for (int request = 0; request < kRequestsPerLife; ++request) {
      simulation.Submit(
          0, simulation.NewKey(),
          "r" + std::to_string(life) + "-" + std::to_string(request) + "x",
          /*repeatable=*/true, kTokens);
      constexpr int kRequestsPerCrash = 10;
      if (request % kRequestsPerCrash != 0) {
        continue;
      }
      simulation.RunFor(milliseconds(200));
      for (size_t agent = 0; agent < kAgents; ++agent) {
        simulation.CrashEngine(agent, milliseconds(20));
      }
    }
    simulation.Kill(0, /*silently=*/false);
    simulation.RunFor(milliseconds(100));
    simulation.Restart(0);
    simulation.RunFor(milliseconds(300));
  }
  const DispatchOptions options;
  const double allowed =
      options.extra_retries + options.retries.ratio * kLives * kRequestsPerLife;
  BOOST_TEST_MESSAGE(retries << " retries, " << refused_by_bound << " refused");
  BOOST_TEST(retries <= allowed);
  BOOST_TEST(retries > 0);
  BOOST_TEST(refused_by_bound > 0);
}

}  // namespace lavenderkeel
