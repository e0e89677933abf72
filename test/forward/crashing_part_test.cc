// Parts of prompts that crash the servers that begin to answer them, among
// sound requests that share their other parts.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "test/forward/part_simulation.h"

namespace lavenderkeel {

namespace {

using Culprit = PartSimulation::Culprit;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr PromptPartId kCulprit = PartSimulation::kCulprit;
constexpr PromptPartId kSecond = PartSimulation::kSecondCulprit;
/// Requests that may reach servers after the fifth crash.
constexpr int kMaxLateArrivals = 3;

/// Returns whether `now` is the first step at or after `when`.
bool At(Duration now, Duration when) {
  return now >= when && now < when + milliseconds(10);
}

/// Checks that the culprits reach no more servers than they may, and that sound
/// requests are served meanwhile and afterwards.
/// @param found whether each culprit has crashed a server
void CheckStopped(PartSimulation& simulation,
                  size_t culprits = 1,
                  bool found = true) {
  BOOST_TEST_MESSAGE(simulation.Summary());
  for (size_t i = 0; i < culprits; ++i) {
    BOOST_TEST((simulation.Crashes(i) > 0 || !found));
    BOOST_TEST(simulation.LateArrivals(i) <= kMaxLateArrivals);
    if (const std::optional<double> begun = simulation.BegunAfter(i)) {
      BOOST_TEST(*begun >= simulation.BegunBefore(i) / 2);
    }
  }
  BOOST_TEST(simulation.AreSoundPartsServed());
}

void Play(
    const PartSimulation::Options& options,
    Duration duration = seconds(50),
    const std::function<void(PartSimulation&, Duration)>& during =
        [](PartSimulation&, Duration) {}) {
  PartSimulation simulation(options);
  simulation.SendTraffic(duration,
                         [&](Duration now) { during(simulation, now); });
  CheckStopped(simulation, options.culprits.size());
}

}  // namespace

// Guards against requests that are all different, of which one part crashes
// server after server.
BOOST_AUTO_TEST_CASE(CrashingPartIsStopped) {
  Play({});
}

// Guards against a part that is told apart only behind a common first part.
BOOST_AUTO_TEST_CASE(CrashingFirstPartIsStopped) {
  Play({.culprits = {{.parts = {kCulprit}, .first = true}}});
}

// Guards against a part that is not examined since many others precede it.
BOOST_AUTO_TEST_CASE(CrashingPartBehindManyOthersIsStopped) {
  for (const int own_parts : {64, 400}) {
    Play({.own_parts = own_parts});
  }
}

// Guards against losses that are forgotten between two requests with the part.
BOOST_AUTO_TEST_CASE(RareCrashingPartIsStopped) {
  Play({.culprits = {{.parts = {kCulprit}, .one_in = 100}},
        .culprits_until = seconds(110)},
       seconds(115));
}

// Guards against a part whose requests may run only once.
BOOST_AUTO_TEST_CASE(CrashingPartOfNonRepeatableRequestsIsStopped) {
  Play({.culprits = {{.parts = {kCulprit}, .one_in = 5, .route = "once"}}});
}

// Guards against losses that are all at the same moment, each time.
BOOST_AUTO_TEST_CASE(CrashingPartInBurstsAtAllEntriesIsStopped) {
  Play({.culprits = {{.parts = {kCulprit}, .one_in = 0}}}, seconds(50),
       [](PartSimulation& simulation, Duration now) {
         constexpr Duration kPeriod = seconds(8);
         if (now >= seconds(5) && At(now % kPeriod, {})) {
           for (int i = 0; i < 12; ++i) {
             simulation.SendCulprit(i % 4, {.parts = {kCulprit}});
           }
         }
       });
}

// Guards against several requests with the part in one batch, which hide each
// other.
BOOST_AUTO_TEST_CASE(CrashingPartInOneBatchIsStopped) {
  Play({.servers = 3,
        .request_every = milliseconds(60),
        .culprits = {{.parts = {kCulprit}, .one_in = 2}}});
}

// Guards against two parts, each hidden by the losses of the other.
BOOST_AUTO_TEST_CASE(TwoCrashingPartsAreStopped) {
  Play({.culprits = {{.parts = {kCulprit}},
                     {.parts = {kSecond}, .one_in = 6, .route = "lookup"}}});
}

// Guards against parts that crash servers only together, and against holding
// either of them alone.
BOOST_AUTO_TEST_CASE(PartsThatCrashTogetherAreStopped) {
  Play({.culprits = {{.parts = {kCulprit, kSecond}}}});
}

// Guards against blaming a sound part that nearly always comes with the
// culprit.
BOOST_AUTO_TEST_CASE(CompanionOfACrashingPartIsServed) {
  Play({.culprits = {
            {.parts = {kCulprit}, .companion = PartSimulation::kCompanion}}});
}

// Guards against evidence that ends with the process of an entry.
BOOST_AUTO_TEST_CASE(CrashingPartIsStoppedThoughEntriesAreKilled) {
  Play({}, seconds(50), [](PartSimulation& simulation, Duration now) {
    for (int entry = 0; entry < 4; ++entry) {
      if (At(now, milliseconds(5600 + 4000 * entry))) {
        simulation.Kill(entry);
      } else if (At(now, milliseconds(6600 + 4000 * entry))) {
        simulation.Start(entry);
      }
    }
  });
}

// Guards against evidence that ends with the processes of all entries.
BOOST_AUTO_TEST_CASE(CrashingPartIsStoppedThoughAllEntriesRestart) {
  Play({.culprits = {{.parts = {kCulprit}, .one_in = 30}}}, seconds(50),
       [](PartSimulation& simulation, Duration now) {
         if (At(now, seconds(12)) || At(now, seconds(25))) {
           simulation.RestartAll();
         }
       });
}

// Guards against evidence that is gathered again after each restart of all
// entries, where it takes longer than the time in which they are not in
// contact.
BOOST_AUTO_TEST_CASE(RareCrashingPartIsStoppedThoughAllEntriesRestart) {
  Play({.culprits = {{.parts = {kCulprit}, .one_in = 100}},
        .culprits_until = seconds(170)},
       seconds(175), [](PartSimulation& simulation, Duration now) {
         if (At(now, seconds(40)) || At(now, seconds(80)) ||
             At(now, seconds(120))) {
           simulation.RestartAll();
         }
       });
}

// Guards against evidence that each entry gathers for itself while none reaches
// another.
BOOST_AUTO_TEST_CASE(RareCrashingPartIsStoppedThoughNoEntryReachesAnother) {
  Play({.culprits = {{.parts = {kCulprit}, .one_in = 60}},
        .culprits_until = seconds(100)},
       seconds(105), [](PartSimulation& simulation, Duration now) {
         if (At(now, seconds(1))) {
           for (int first = 1; first < 4; ++first) {
             simulation.SetPartition(first, true);
           }
         }
       });
}

// Guards against an entry that was added and knows nothing.
BOOST_AUTO_TEST_CASE(CrashingPartIsStoppedThoughEntriesAreAdded) {
  Play({.entries = 6, .started = 4}, seconds(50),
       [](PartSimulation& simulation, Duration now) {
         if (At(now, seconds(10))) {
           simulation.Start(4);
           simulation.Start(5);
         }
       });
}

// Guards against evidence that does not reach entries out of contact with the
// others.
BOOST_AUTO_TEST_CASE(CrashingPartIsStoppedThoughEntriesAreCut) {
  Play({}, seconds(50), [](PartSimulation& simulation, Duration now) {
    if (At(now, seconds(4)) || At(now, seconds(30))) {
      simulation.SetPartition(2, now < seconds(30));
    }
  });
}

// Guards against a crash that looks like the end of an answer, since answers
// have neither a length nor chunks and end with their connection.
BOOST_AUTO_TEST_CASE(CrashingPartIsStoppedThoughAnswersEndWithTheirConnection) {
  for (const char* const route : {"stream", "once", "lookup"}) {
    BOOST_TEST_CONTEXT("route " << route) {
      PartSimulation simulation(
          {.culprits = {{.parts = {kCulprit}, .one_in = 6, .route = route}},
           .end_with_connection = true});
      simulation.SendTraffic(seconds(55));
      CheckStopped(simulation);
    }
  }
}

// Guards against entries that can't serve more than their part of the requests:
// most connections go to one of them, and to another once it has ended.
BOOST_AUTO_TEST_CASE(EntryThatGetsMostConnectionsServesThem) {
  for (const bool with_culprit : {false, true}) {
    BOOST_TEST_CONTEXT("with culprit " << with_culprit) {
      PartSimulation::Options options;
      options.culprits.front().one_in = with_culprit ? 10 : 0;
      PartSimulation simulation(options);
      simulation.SendTraffic(seconds(30), [&](Duration now) {
        if (At(now, seconds(10))) {
          simulation.SetPreferred(1);
        } else if (At(now, seconds(20))) {
          simulation.Kill(1);
          simulation.SetPreferred(2);
        }
      });
      const double before = simulation.ServedAtFirst(seconds(0), seconds(5));
      const double first = simulation.ServedAtFirst(
          seconds(10) + PartSimulation::kContactTime, seconds(20));
      const double second = simulation.ServedAtFirst(
          seconds(20) + PartSimulation::kContactTime, seconds(30));
      BOOST_TEST_MESSAGE("served at first attempt " << before << ", " << first
                                                    << ", " << second);
      BOOST_TEST(before >= 0.9);
      BOOST_TEST(first >= before * 3 / 4);
      BOOST_TEST(second >= before * 3 / 4);
    }
  }
}

/// One play of disturbances in random order and number beside culprits.
class PartPlay {
 public:
  explicit PartPlay(uint64_t seed)
      : random_(seed), simulation_(MakeOptions(seed)) {}

  void Run() {
    simulation_.SendTraffic(seconds(55), [this](Duration now) {
      if (now < next_due_) {
        return;
      }
      next_due_ = now + milliseconds(500 + Random(3500));
      Disturb(now);
    });
    for (int entry = 0; entry < kEntries; ++entry) {
      simulation_.Start(entry);
    }
    simulation_.SetPartition(1 + partition_, /*partitioned=*/false);
  }
  PartSimulation& simulation() { return simulation_; }
  size_t culprits() const { return culprits_; }

 private:
  static constexpr int kEntries = 5;
  static constexpr int kStarted = 4;

  PartSimulation::Options MakeOptions(uint64_t seed) {
    constexpr int kFractions[] = {3, 10, 10, 30, 100};
    constexpr const char* kRoutes[] = {"stream", "stream", "once", "lookup"};
    PartSimulation::Options options = {
        .entries = kEntries,
        .started = kStarted,
        .servers = 6 + Random(13),
        .request_every = milliseconds(12 + Random(20)),
        .culprits = {},
        .crash_delay = milliseconds(20 + Random(150)),
        .restart_delay = milliseconds(500 + Random(4000)),
        .seed = seed};
    culprits_ = 1 + static_cast<size_t>(Random(2));
    for (size_t i = 0; i < culprits_; ++i) {
      Culprit culprit = {.parts = {kCulprit + i * 16},
                         .one_in = kFractions[Random(5)],
                         .route = kRoutes[Random(4)],
                         .first = Random(2) == 0};
      if (Random(4) == 0) {
        culprit.parts.insert(kSecond + i * 16);
      }
      if (Random(4) == 0) {
        culprit.companion = PartSimulation::kCompanion + i;
      }
      options.culprits.push_back(culprit);
    }
    return options;
  }

  int Random(int count) {
    return static_cast<int>(random_() % static_cast<uint64_t>(count));
  }

  void Disturb(Duration now) {
    const int entry = Random(kEntries);
    switch (Random(12)) {
      case 0:
        simulation_.Kill(entry);
        return;
      case 1:
      case 2:
        simulation_.Start(entry);
        return;
      case 3:
        if (now > seconds(6)) {
          simulation_.RestartAll();
        }
        return;
      case 4:
        simulation_.SetPartition(1 + partition_, /*partitioned=*/false);
        partition_ = Random(kEntries - 1);
        simulation_.SetPartition(1 + partition_, /*partitioned=*/true);
        return;
      case 5:
      case 6:
        simulation_.SetPartition(1 + partition_, /*partitioned=*/false);
        return;
      case 7:
        for (int server = 0; server < Random(20); ++server) {
          simulation_.servers().Crash(server % 6);
        }
        return;
      case 8:
        simulation_.servers().ResetConnections(Random(6));
        return;
      case 9:
        if (now > seconds(5) && now < seconds(45)) {
          const Culprit& culprit = simulation_.culprits()[static_cast<size_t>(
              Random(static_cast<int>(culprits_)))];
          for (int i = 0; i < 2 * kEntries; ++i) {
            simulation_.SendCulprit(i % kEntries, culprit);
          }
        }
        return;
      default:
        return;
    }
  }

  std::mt19937_64 random_;
  size_t culprits_ = 0;
  int partition_ = 0;
  Duration next_due_ = seconds(1);
  PartSimulation simulation_;
};

// Guards against the failures of the tests above together, in random order and
// number. PART_PLAYS sets the number of plays, PART_SEED the first seed.
BOOST_AUTO_TEST_CASE(CrashingPartsAreStoppedInRandomPlays) {
  // In the first three, bursts come at all entries, which restart before a
  // culprit is certain; in the others, sound parts are lost beside it and
  // seldom come alone.
  std::vector<uint64_t> seeds = {160, 251, 366, 195, 293, 309, 410, 418};
  const auto number = [](const char* name, uint64_t otherwise) {
    const char* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
  };
  const uint64_t first = number("PART_SEED", 1);
  const uint64_t plays = number("PART_PLAYS", 10);
  for (uint64_t seed = first; seed < first + plays; ++seed) {
    seeds.push_back(seed);
  }
  for (const uint64_t seed : seeds) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      PartPlay play(seed);
      play.Run();
      CheckStopped(play.simulation(), play.culprits(), /*found=*/false);
    }
  }
}

// Guards against a sound part that is refused since it was lost with a culprit
// and with servers that crashed by themselves.
BOOST_AUTO_TEST_CASE(SoundPartIsServedThoughItWasLostByCoincidence) {
  constexpr uint64_t kSeed = 224;
  PartPlay play(kSeed);
  play.Run();
  CheckStopped(play.simulation(), play.culprits(), /*found=*/false);
}

// Guards against blaming parts for servers that crash by themselves, one after
// the other or all at once, and for connections that are reset.
BOOST_AUTO_TEST_CASE(SoundPartsAreServedThoughServersCrashByThemselves) {
  PartSimulation simulation({.culprits = {}});
  simulation.SendTraffic(seconds(40), [&](Duration now) {
    for (int i = 0; i < 100; ++i) {
      if (At(now, seconds(2) + milliseconds(200) * i)) {
        simulation.servers().Crash((i * 7) % 18);
      }
      if (At(now, seconds(22) + milliseconds(100) * i)) {
        simulation.servers().ResetConnections((i * 5) % 18);
      }
    }
    if (At(now, seconds(33)) || At(now, milliseconds(36'500))) {
      for (int server = 0; server < 18; ++server) {
        simulation.servers().Crash(server);
      }
    }
  });
  BOOST_TEST(simulation.SoundRefusedAsCrashing() == 0);
  BOOST_TEST(simulation.AreSoundPartsServed());
}

// Guards against a part that is not found while servers also crash by
// themselves.
BOOST_AUTO_TEST_CASE(CrashingPartIsStoppedBesideOtherCrashes) {
  Play({}, seconds(50), [](PartSimulation& simulation, Duration now) {
    for (int i = 0; i < 60; ++i) {
      if (At(now, seconds(2) + milliseconds(700) * i)) {
        simulation.servers().Crash((i * 7) % 18);
      }
    }
    if (At(now, seconds(20))) {
      for (int server = 0; server < 18; ++server) {
        simulation.servers().Crash(server);
      }
    }
  });
}

// Guards against holding the requests of a route because of their common part.
BOOST_AUTO_TEST_CASE(RouteOfACrashingPartIsServed) {
  PartSimulation simulation({});
  simulation.SendTraffic(seconds(50));
  BOOST_TEST_MESSAGE(simulation.Summary());
  const PartSimulation::Outcomes outcomes =
      simulation.OutcomesOf(seconds(5), seconds(45));
  BOOST_TEST(simulation.SoundRefusedAsCrashing() == 0);
  BOOST_TEST(outcomes.answered() >= outcomes.sent * 0.98);
}

}  // namespace lavenderkeel
