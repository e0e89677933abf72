// Requests that end the servers that run them, among others that don't.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "test/forward/crash_world.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Of a request that has ended three servers.
constexpr int kMostRetries = 3;

/// True once, at the first step at or after that time.
bool At(Duration now, Duration when) {
  return now >= when && now < when + milliseconds(10);
}

void CheckStopped(CrashWorld& world) {
  BOOST_TEST(world.LateRetries() <= kMostRetries);
  BOOST_TEST(world.RefusedAsCrashing(CrashWorld::kHarmless) == 0);
}

/// Part of the requests with that body that were answered.
double Served(CrashWorld& world, const std::string& body) {
  return static_cast<double>(world.Answered(body)) / world.Asked(body);
}

}  // namespace

// Guards against: servers lost one after the other to a request that comes
// again, with one entry.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedByOneEntry) {
  CrashWorld world({.entries = 1});
  world.Play(seconds(40));
  CheckStopped(world);
}

// Guards against: the same where each time another entry gets it.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedByAllEntries) {
  CrashWorld world({.entries = 4});
  world.Play(seconds(40));
  CheckStopped(world);
}

// Guards against: a request that may run once only and comes again under other
// ids.
BOOST_AUTO_TEST_CASE(CrashingRequestThatMayNotBeRepeatedIsStopped) {
  CrashWorld world({.route = "once"});
  world.Play(seconds(40));
  CheckStopped(world);
}

// Guards against: losses that are forgotten between two slow returns, or taken
// back when the servers are there again at once.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedWheneverServersAreBack) {
  for (const Duration back :
       {Duration(milliseconds(100)), Duration(milliseconds(700)),
        Duration(seconds(8))}) {
    CrashWorld world({.farm = {.back_after = back}});
    world.Play(seconds(40));
    CheckStopped(world);
  }
}

// Guards against: a request that comes so rarely that nobody remembers it.
BOOST_AUTO_TEST_CASE(CrashingRequestThatComesRarelyIsStopped) {
  CrashWorld world({.deadly_every = seconds(20)});
  world.Play(std::chrono::minutes(8));
  CheckStopped(world);
}

// Guards against: an entry that starts again and knows nothing.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedThoughEntriesRestart) {
  CrashWorld world({});
  world.Play(seconds(60), [&](Duration now) {
    for (int entry = 0; entry < 4; ++entry) {
      if (At(now, seconds(10 + 5 * entry))) {
        world.Restart(entry);
      }
    }
  });
  CheckStopped(world);
}

// Guards against: all entries that start again at once, so that no one is left
// who knows.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedThoughAllEntriesRestart) {
  CrashWorld world({});
  world.Play(seconds(60), [&](Duration now) {
    if (At(now, seconds(10))) {
      for (int entry = 0; entry < 4; ++entry) {
        world.fleet().Kill(entry);
      }
      for (int entry = 0; entry < 4; ++entry) {
        world.fleet().Start(entry);
      }
    }
  });
  CheckStopped(world);
}

// Guards against: copies at all entries at once, whose losses overlap and so
// don't block it, again and again.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedThoughItComesToAllEntriesAtOnce) {
  for (const Duration back :
       {Duration(milliseconds(500)), Duration(seconds(8))}) {
    CrashWorld world(
        {.farm = {.back_after = back}, .deadly_every = Duration::zero()});
    world.Play(seconds(50), [&](Duration now) {
      constexpr Duration kPeriod = seconds(12);
      if (now % kPeriod < milliseconds(20)) {
        for (const int entry : {0, 1, 2, 3}) {
          world.Send(entry, CrashWorld::kDeadly);
        }
      }
    });
    CheckStopped(world);
  }
}

// Guards against: a request that runs for a while before it ends its server.
BOOST_AUTO_TEST_CASE(CrashingRequestThatRunsForLongIsStopped) {
  for (const Duration back :
       {Duration(milliseconds(500)), Duration(seconds(5))}) {
    CrashWorld world(
        {.farm = {.crashes_after = milliseconds(1500), .back_after = back}});
    world.Play(seconds(50));
    CheckStopped(world);
  }
}

// Guards against: several such requests, each of which hides behind the others.
BOOST_AUTO_TEST_CASE(SeveralCrashingRequestsAreStopped) {
  CrashWorld world({.farm = {.servers = 16},
                    .deadly_every = milliseconds(100),
                    .deadly_kinds = 4});
  world.Play(seconds(50));
  CheckStopped(world);
  BOOST_TEST(Served(world, CrashWorld::kHarmless) >= 0.8);
}

// Guards against: evidence that needs the platform's store.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedWhileTheStoreIsAway) {
  // Servers that start again are not listed, so there are many.
  CrashWorld world({.farm = {.servers = 40}, .deadly_every = seconds(1)});
  world.Play(seconds(40), [&](Duration now) {
    if (At(now, Duration::zero())) {
      world.fleet().set_store_down(true);
    }
  });
  BOOST_TEST(world.LateRetries() <= kMostRetries);
  BOOST_TEST(world.RefusedAsCrashing(CrashWorld::kHarmless) == 0);
}

// Guards against: evidence that one side of a cut never hears of.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedThoughEntriesAreCutFromEachOther) {
  CrashWorld world({});
  const auto set_cut = [&](bool cut) {
    for (const int a : {0, 1}) {
      for (const int b : {2, 3}) {
        world.fleet().set_cut(a, b, cut);
      }
    }
  };
  set_cut(true);
  world.Play(seconds(50), [&](Duration now) {
    if (At(now, seconds(20))) {
      set_cut(false);
    }
  });
  CheckStopped(world);
}

// Guards against: harmless requests that are lost with the servers of another.
BOOST_AUTO_TEST_CASE(HarmlessRequestsAreServedBesideACrashingOne) {
  CrashWorld world({});
  world.Play(seconds(40));
  BOOST_TEST(Served(world, CrashWorld::kHarmless) >= 0.95);
  BOOST_TEST(world.farm().crashes() < 20);
}

// Guards against: a client that changed its request and is refused as before.
BOOST_AUTO_TEST_CASE(ChangedRequestIsServedAtOnce) {
  CrashWorld world({});
  world.Play(seconds(15));
  const std::string changed = "mended";
  for (int i = 0; i < 20; ++i) {
    world.Send(i % 4, changed);
    world.farm().Advance(milliseconds(50));
  }
  world.farm().Advance(seconds(1));
  BOOST_TEST(world.Answered(changed) == 20);
}

// Guards against: equal requests that are blamed for servers which end for
// another reason, one after the other.
BOOST_AUTO_TEST_CASE(EqualRequestsAreServedWhileServersCrashInTurn) {
  CrashWorld world({.farm = {.back_after = milliseconds(1500)},
                    .deadly_every = Duration::zero(),
                    .equal_every = milliseconds(30)});
  world.Play(seconds(40), [&](Duration now) {
    for (int i = 0; i < 60; ++i) {
      if (At(now, milliseconds(600) * i)) {
        world.farm().Crash(i % 8);
      }
    }
  });
  BOOST_TEST(world.RefusedAsCrashing("") == 0);
  BOOST_TEST(Served(world, CrashWorld::kEqual) >= 0.95);
  BOOST_TEST(Served(world, CrashWorld::kHarmless) >= 0.95);
}

// Guards against: the same where all servers of a service end at once.
BOOST_AUTO_TEST_CASE(EqualRequestsAreServedAfterAllServersCrashedAtOnce) {
  CrashWorld world({.farm = {.servers = 3, .back_after = seconds(1)},
                    .deadly_every = Duration::zero(),
                    .harmless_every = milliseconds(100),
                    .equal_every = milliseconds(40)});
  constexpr Duration kPeriod = seconds(10);
  world.Play(seconds(40), [&](Duration now) {
    for (int i = 0; i < 4; ++i) {
      if (At(now, kPeriod * i)) {
        for (const int server : {0, 1, 2}) {
          world.farm().Crash(server);
        }
      }
    }
  });
  BOOST_TEST(world.RefusedAsCrashing("") == 0);
  BOOST_TEST(Served(world, CrashWorld::kEqual) >= 0.8);
}

// Guards against: a request that is blamed for connections which were reset
// under it each time, though its servers went on.
BOOST_AUTO_TEST_CASE(RequestWhoseConnectionsWereResetIsServed) {
  CrashWorld world({.deadly_every = Duration::zero()});
  const std::string unlucky = "unlucky";
  int resets = 0;
  constexpr int kResets = 6;
  world.Play(seconds(20), [&](Duration now) {
    if (At(now, seconds(1) * resets)) {
      world.Send(resets % 4, unlucky);
    }
    const std::optional<int> server = world.farm().ServerOf(unlucky);
    if (server.has_value() && resets < kResets) {
      world.farm().ResetConnections(*server);
      ++resets;
    }
  });
  world.Send(0, unlucky);
  world.farm().Advance(seconds(1));
  BOOST_TEST(resets == kResets);
  BOOST_TEST(world.RefusedAsCrashing("") == 0);
  BOOST_TEST(world.Answered(unlucky) > 0);
}

// Guards against: an entry that has just started and sends a request on before
// another has told it what that does.
BOOST_AUTO_TEST_CASE(EntryThatJustStartedAsksBeforeItSends) {
  CrashWorld world(
      {.deadly_every = milliseconds(50), .harmless_every = milliseconds(200)});
  world.Play(seconds(6));
  const size_t reached = world.farm().reached(CrashWorld::kDeadly).size();
  for (int round = 0; round < 10; ++round) {
    world.fleet().Kill(3);
    world.fleet().Start(3);
    for (int i = 0; i < 100; ++i) {
      world.Send(3, CrashWorld::kDeadly);
      world.farm().Advance(milliseconds(10));
    }
  }
  BOOST_TEST(world.farm().reached(CrashWorld::kDeadly).size() == reached);
}

// Guards against: connections that are reset, taken for servers that ended.
BOOST_AUTO_TEST_CASE(ResetConnectionsBlameNoRequest) {
  CrashWorld world({.deadly_every = Duration::zero(),
                    .harmless_every = milliseconds(50),
                    .equal_every = milliseconds(50)});
  world.Play(seconds(30), [&](Duration now) {
    for (int i = 0; i < 150; ++i) {
      if (At(now, milliseconds(200) * i)) {
        world.farm().ResetConnections(i % 8);
        world.farm().ResetConnections((i + 1) % 8);
      }
    }
  });
  BOOST_TEST(world.farm().crashes() == 0);
  BOOST_TEST(world.RefusedAsCrashing("") == 0);
}

}  // namespace lavenderkeel
