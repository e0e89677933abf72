// Requests that crash the servers that run them, among harmless requests.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "test/forward/crash_simulation.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum for a request that has crashed three servers.
constexpr int kMaxLateRetries = 3;

/// Returns whether `now` is the first step at or after `when`.
bool At(Duration now, Duration when) {
  return now >= when && now < when + milliseconds(10);
}

void CheckCrashesStopped(CrashSimulation& simulation) {
  BOOST_TEST(simulation.CountLateRetries() <= kMaxLateRetries);
  BOOST_TEST(simulation.CountRefusedAsCrashing(CrashSimulation::kHarmless) ==
             0);
}

/// Returns the fraction of the requests with the given body that were answered.
double AnsweredFraction(CrashSimulation& simulation, const std::string& body) {
  return static_cast<double>(simulation.CountAnswered(body)) /
         simulation.CountSent(body);
}

}  // namespace

// Guards against a request that is sent again and again and crashes server
// after server, with one entry.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedByOneEntry) {
  CrashSimulation simulation({.entries = 1});
  simulation.SendTraffic(seconds(40));
  CheckCrashesStopped(simulation);
}

// Guards against the same failure if another entry gets the request each time.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedByAllEntries) {
  CrashSimulation simulation({.entries = 4});
  simulation.SendTraffic(seconds(40));
  CheckCrashesStopped(simulation);
}

// Guards against a request that may run only once and is sent again under other
// ids.
BOOST_AUTO_TEST_CASE(CrashingRequestThatMayNotBeRepeatedIsStopped) {
  CrashSimulation simulation({.route = "once"});
  simulation.SendTraffic(seconds(40));
  CheckCrashesStopped(simulation);
}

// Guards against losses that are forgotten between two slow restarts of
// servers, or withdrawn because the servers are back at once.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedAfterAnyRestartDelay) {
  for (const Duration restart_delay :
       {Duration(milliseconds(100)), Duration(milliseconds(700)),
        Duration(seconds(8))}) {
    CrashSimulation simulation(
        {.simulated_servers = {.restart_delay = restart_delay}});
    simulation.SendTraffic(seconds(40));
    CheckCrashesStopped(simulation);
  }
}

// Guards against a request that comes so rarely that its losses are forgotten.
BOOST_AUTO_TEST_CASE(CrashingRequestThatComesRarelyIsStopped) {
  CrashSimulation simulation({.crashing_every = seconds(20)});
  simulation.SendTraffic(std::chrono::minutes(8));
  CheckCrashesStopped(simulation);
}

// Guards against an entry that restarts without evidence.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedThoughEntriesRestart) {
  CrashSimulation simulation({});
  simulation.SendTraffic(seconds(60), [&](Duration now) {
    for (int entry = 0; entry < 4; ++entry) {
      if (At(now, seconds(10 + 5 * entry))) {
        simulation.Restart(entry);
      }
    }
  });
  CheckCrashesStopped(simulation);
}

// Guards against a restart of all entries at once, after which no entry has
// evidence.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedThoughAllEntriesRestart) {
  CrashSimulation simulation({});
  simulation.SendTraffic(seconds(60), [&](Duration now) {
    if (At(now, seconds(10))) {
      for (int entry = 0; entry < 4; ++entry) {
        simulation.fleet().Kill(entry);
      }
      for (int entry = 0; entry < 4; ++entry) {
        simulation.fleet().Start(entry);
      }
    }
  });
  CheckCrashesStopped(simulation);
}

// Guards against copies that reach all entries at once, again and again: their
// losses overlap and so do not block the request.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedThoughItComesToAllEntriesAtOnce) {
  for (const Duration restart_delay :
       {Duration(milliseconds(500)), Duration(seconds(8))}) {
    CrashSimulation simulation(
        {.simulated_servers = {.restart_delay = restart_delay},
         .crashing_every = Duration::zero()});
    simulation.SendTraffic(seconds(50), [&](Duration now) {
      constexpr Duration kPeriod = seconds(12);
      if (now % kPeriod < milliseconds(20)) {
        for (const int entry : {0, 1, 2, 3}) {
          simulation.Send(entry, CrashSimulation::kCrashing);
        }
      }
    });
    CheckCrashesStopped(simulation);
  }
}

// Guards against a request that runs for some time before it crashes its
// server.
BOOST_AUTO_TEST_CASE(CrashingRequestThatRunsForLongIsStopped) {
  for (const Duration restart_delay :
       {Duration(milliseconds(500)), Duration(seconds(5))}) {
    CrashSimulation simulation(
        {.simulated_servers = {.crash_delay = milliseconds(1500),
                               .restart_delay = restart_delay}});
    simulation.SendTraffic(seconds(50));
    CheckCrashesStopped(simulation);
  }
}

// Guards against several such requests, each of which is hidden by the losses
// of the others.
BOOST_AUTO_TEST_CASE(SeveralCrashingRequestsAreStopped) {
  CrashSimulation simulation({.simulated_servers = {.servers = 16},
                              .crashing_every = milliseconds(100),
                              .crashing_kinds = 4});
  simulation.SendTraffic(seconds(50));
  CheckCrashesStopped(simulation);
  BOOST_TEST(AnsweredFraction(simulation, CrashSimulation::kHarmless) >= 0.8);
}

// Guards against evidence that depends on the store of the platform.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedWhileTheStoreIsDown) {
  // Servers that restart are not listed, so there are many.
  CrashSimulation simulation(
      {.simulated_servers = {.servers = 40}, .crashing_every = seconds(1)});
  simulation.SendTraffic(seconds(40), [&](Duration now) {
    if (At(now, Duration::zero())) {
      simulation.fleet().set_store_down(true);
    }
  });
  BOOST_TEST(simulation.CountLateRetries() <= kMaxLateRetries);
  BOOST_TEST(simulation.CountRefusedAsCrashing(CrashSimulation::kHarmless) ==
             0);
}

// Guards against evidence that does not reach one side of a network partition.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedDespiteNetworkPartition) {
  CrashSimulation simulation({});
  const auto set_cut = [&](bool cut) {
    for (const int a : {0, 1}) {
      for (const int b : {2, 3}) {
        simulation.fleet().set_partitioned(a, b, cut);
      }
    }
  };
  set_cut(true);
  simulation.SendTraffic(seconds(50), [&](Duration now) {
    if (At(now, seconds(20))) {
      set_cut(false);
    }
  });
  CheckCrashesStopped(simulation);
}

// Guards against the loss of harmless requests with the servers of a crashing
// one.
BOOST_AUTO_TEST_CASE(HarmlessRequestsAreServedBesideACrashingOne) {
  CrashSimulation simulation({});
  simulation.SendTraffic(seconds(40));
  BOOST_TEST(AnsweredFraction(simulation, CrashSimulation::kHarmless) >= 0.95);
  BOOST_TEST(simulation.simulated_servers().crashes() < 20);
}

// Guards against a request that was changed and is refused as before.
BOOST_AUTO_TEST_CASE(ChangedRequestIsServedAtOnce) {
  CrashSimulation simulation({});
  simulation.SendTraffic(seconds(15));
  const std::string changed_request = "mended";
  for (int i = 0; i < 20; ++i) {
    simulation.Send(i % 4, changed_request);
    simulation.simulated_servers().Advance(milliseconds(50));
  }
  simulation.simulated_servers().Advance(seconds(1));
  BOOST_TEST(simulation.CountAnswered(changed_request) == 20);
}

// Guards against equal requests that are blamed for servers which crash one
// after the other for another reason.
BOOST_AUTO_TEST_CASE(EqualRequestsAreServedWhileServersCrashInTurn) {
  CrashSimulation simulation(
      {.simulated_servers = {.restart_delay = milliseconds(1500)},
       .crashing_every = Duration::zero(),
       .equal_every = milliseconds(30)});
  simulation.SendTraffic(seconds(40), [&](Duration now) {
    for (int i = 0; i < 60; ++i) {
      if (At(now, milliseconds(600) * i)) {
        simulation.simulated_servers().Crash(i % 8);
      }
    }
  });
  BOOST_TEST(simulation.CountRefusedAsCrashing("") == 0);
  BOOST_TEST(AnsweredFraction(simulation, CrashSimulation::kEqual) >= 0.95);
  BOOST_TEST(AnsweredFraction(simulation, CrashSimulation::kHarmless) >= 0.95);
}

// Guards against the same failure if all servers of a service crash at once.
BOOST_AUTO_TEST_CASE(EqualRequestsAreServedAfterAllServersCrashedAtOnce) {
  CrashSimulation simulation(
      {.simulated_servers = {.servers = 3, .restart_delay = seconds(1)},
       .crashing_every = Duration::zero(),
       .harmless_every = milliseconds(100),
       .equal_every = milliseconds(40)});
  constexpr Duration kPeriod = seconds(10);
  simulation.SendTraffic(seconds(40), [&](Duration now) {
    for (int i = 0; i < 4; ++i) {
      if (At(now, kPeriod * i)) {
        for (const int server : {0, 1, 2}) {
          simulation.simulated_servers().Crash(server);
        }
      }
    }
  });
  BOOST_TEST(simulation.CountRefusedAsCrashing("") == 0);
  BOOST_TEST(AnsweredFraction(simulation, CrashSimulation::kEqual) >= 0.8);
}

// Guards against a request that is blamed because its connection was reset each
// time, though its servers kept running.
BOOST_AUTO_TEST_CASE(RequestWhoseConnectionsWereResetIsServed) {
  CrashSimulation simulation({.crashing_every = Duration::zero()});
  const std::string reset_request = "unlucky";
  int resets = 0;
  constexpr int kResets = 6;
  simulation.SendTraffic(seconds(20), [&](Duration now) {
    if (At(now, seconds(1) * resets)) {
      simulation.Send(resets % 4, reset_request);
    }
    const std::optional<int> server =
        simulation.simulated_servers().ServerOf(reset_request);
    if (server.has_value() && resets < kResets) {
      simulation.simulated_servers().ResetConnections(*server);
      ++resets;
    }
  });
  simulation.Send(0, reset_request);
  simulation.simulated_servers().Advance(seconds(1));
  BOOST_TEST(resets == kResets);
  BOOST_TEST(simulation.CountRefusedAsCrashing("") == 0);
  BOOST_TEST(simulation.CountAnswered(reset_request) > 0);
}

// Guards against an entry that has just started and sends a request to a server
// before it has received the evidence of the others.
BOOST_AUTO_TEST_CASE(NewEntryGetsEvidenceBeforeItSends) {
  CrashSimulation simulation({.crashing_every = milliseconds(50),
                              .harmless_every = milliseconds(200)});
  simulation.SendTraffic(seconds(6));
  const size_t reached = simulation.simulated_servers()
                             .arrival_times(CrashSimulation::kCrashing)
                             .size();
  for (int round = 0; round < 10; ++round) {
    simulation.fleet().Kill(3);
    simulation.fleet().Start(3);
    for (int i = 0; i < 100; ++i) {
      simulation.Send(3, CrashSimulation::kCrashing);
      simulation.simulated_servers().Advance(milliseconds(10));
    }
  }
  BOOST_TEST(simulation.simulated_servers()
                 .arrival_times(CrashSimulation::kCrashing)
                 .size() == reached);
}

// Guards against reset connections that are taken for crashed servers.
BOOST_AUTO_TEST_CASE(ResetConnectionsBlameNoRequest) {
  CrashSimulation simulation({.crashing_every = Duration::zero(),
                              .harmless_every = milliseconds(50),
                              .equal_every = milliseconds(50)});
  simulation.SendTraffic(seconds(30), [&](Duration now) {
    for (int i = 0; i < 150; ++i) {
      if (At(now, milliseconds(200) * i)) {
        simulation.simulated_servers().ResetConnections(i % 8);
        simulation.simulated_servers().ResetConnections((i + 1) % 8);
      }
    }
  });
  BOOST_TEST(simulation.simulated_servers().crashes() == 0);
  BOOST_TEST(simulation.CountRefusedAsCrashing("") == 0);
}

}  // namespace lavenderkeel
