// Lookups that crash the engine that runs them, mixed with harmless ones.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>

#include "test/fuzz/simulation.h"

namespace lavenderkeel {

namespace {

using fuzz::Simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kCrashingPrompt[] = "deadly";
/// Upper bound for the time in which a crash report reaches all entries.
constexpr Duration kPropagationTime = seconds(3);
/// Retries allowed for a request that has crashed three engines.
constexpr size_t kMaxRetries = 3;

struct Traffic {
  Duration duration = seconds(20);
  /// Interval between two lookups that crash their engine; zero: none are sent.
  Duration crashing_every = milliseconds(250);
  Duration harmless_every = milliseconds(80);
  /// The crashing requests are non-repeatable work.
  bool is_non_repeatable = false;
  std::function<void(Duration since_start)> on_step = [](Duration) {};
};

struct Counts {
  size_t harmless = 0;
  size_t answered = 0;

  double answered_share() const {
    return static_cast<double>(answered) / static_cast<double>(harmless);
  }
};

/// Selects the next live entry, round robin.
size_t NextEntry(const Simulation& simulation, size_t& next) {
  do {
    next = (next + 1) % simulation.entries();
  } while (!simulation.alive(next));
  return next;
}

Counts RunTraffic(Simulation& simulation, const Traffic& traffic) {
  simulation.SetCrashing(kCrashingPrompt);
  const size_t before = simulation.oracle().Count(ResultCode::kAnswered);
  constexpr uint32_t kTokens = 5;
  constexpr Duration kStep = milliseconds(10);
  Counts counts;
  size_t next = 0;
  for (Duration now{}; now < traffic.duration; now += kStep) {
    traffic.on_step(now);
    if (traffic.crashing_every > Duration::zero() &&
        now % traffic.crashing_every == Duration::zero()) {
      simulation.Submit(NextEntry(simulation, next), simulation.NewKey(),
                        kCrashingPrompt,
                        /*repeatable=*/!traffic.is_non_repeatable, kTokens);
    }
    if (now % traffic.harmless_every == Duration::zero()) {
      simulation.Submit(NextEntry(simulation, next), simulation.NewKey(),
                        "r" + std::to_string(++counts.harmless) + "x",
                        /*repeatable=*/true, kTokens);
    }
    simulation.RunFor(kStep);
  }
  simulation.RunUntil([&] { return simulation.oracle().open_callers() == 0; },
                      seconds(60));
  counts.answered = simulation.oracle().Count(ResultCode::kAnswered) - before;
  return counts;
}

/// Counts engines that crashed later than kPropagationTime after the third
/// crash.
size_t CountLateCrashes(const Simulation& simulation) {
  const std::vector<TimePoint>& crashes = simulation.engine_crash_times();
  constexpr size_t kThirdCrash = 2;
  return static_cast<size_t>(std::ranges::count_if(crashes, [&](TimePoint at) {
    return crashes.size() > kThirdCrash &&
           at > crashes[kThirdCrash] + kPropagationTime;
  }));
}

void CheckInvariants(Simulation& simulation) {
  BOOST_TEST(simulation.oracle().open_callers() == 0U);
  for (const std::string& violation : simulation.oracle().violations()) {
    // The oracle identifies requests by their prompt; the crashing ones share
    // one.
    if (!violation.starts_with(kCrashingPrompt)) {
      BOOST_ERROR(violation);
    }
  }
}

}  // namespace

// Guards against a repeatedly sent lookup that crashes one engine after the
// other and fails the harmless lookups that run there.
BOOST_AUTO_TEST_CASE(CrashingLookupIsStoppedByAllEntries) {
  Simulation simulation({.entries = 3, .agents = 8, .seed = 5});
  const Counts counts = RunTraffic(simulation, {});
  BOOST_TEST(CountLateCrashes(simulation) <= kMaxRetries);
  BOOST_TEST(counts.answered_share() >= 0.95);
  CheckInvariants(simulation);
}

// Guards against checks, sent under a new key each time, that crash one engine
// after the other. Checks are non-repeatable work.
BOOST_AUTO_TEST_CASE(CrashingCheckIsStoppedByAllEntries) {
  Simulation simulation({.entries = 3, .agents = 8, .seed = 5});
  const Counts counts = RunTraffic(simulation, {.is_non_repeatable = true});
  BOOST_TEST(CountLateCrashes(simulation) <= kMaxRetries);
  BOOST_TEST(counts.answered_share() >= 0.95);
  CheckInvariants(simulation);
}

// Guards against a crashing lookup that a single entry, which gets no reports
// from others, doesn't stop.
BOOST_AUTO_TEST_CASE(CrashingLookupIsStoppedByOneEntry) {
  Simulation simulation({.entries = 1, .agents = 8, .seed = 5});
  const Counts counts = RunTraffic(simulation, {});
  BOOST_TEST(CountLateCrashes(simulation) <= kMaxRetries);
  BOOST_TEST(counts.answered_share() >= 0.95);
  CheckInvariants(simulation);
}

// Guards against a crashing lookup that runs again because entries restart one
// after the other and lose their crash reports.
BOOST_AUTO_TEST_CASE(CrashingLookupIsStoppedThoughEntriesRestart) {
  Simulation simulation({.entries = 3, .agents = 8, .seed = 5});
  RunTraffic(simulation,
             {.duration = seconds(40), .on_step = [&](Duration now) {
                for (size_t entry = 0; entry < simulation.entries(); ++entry) {
                  const auto turn = static_cast<int64_t>(entry);
                  if (now == seconds(8) * (turn + 1)) {
                    simulation.Kill(entry, /*silently=*/false);
                  } else if (now == seconds(8) * (turn + 1) + seconds(1)) {
                    simulation.Restart(entry);
                  }
                }
              }});
  BOOST_TEST(CountLateCrashes(simulation) <= kMaxRetries);
  CheckInvariants(simulation);
}

// Guards against crash reports that are not exchanged while the platform is
// down.
BOOST_AUTO_TEST_CASE(CrashingLookupIsStoppedWhileThePlatformIsDown) {
  Simulation simulation({.entries = 3, .agents = 8, .seed = 5});
  simulation.platform().set_mode(fakes::PlatformCore::Mode::kOutage);
  const Counts counts = RunTraffic(simulation, {});
  BOOST_TEST(CountLateCrashes(simulation) <= kMaxRetries);
  BOOST_TEST(counts.answered_share() >= 0.95);
  CheckInvariants(simulation);
}

// Guards against harmless lookups that are taken for the cause, since they run
// beside the crashing one at each engine.
BOOST_AUTO_TEST_CASE(LookupsOfALostEngineAreRunApart) {
  constexpr uint64_t kSeeds = 40;
  constexpr size_t kHarmless = 4;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation({.entries = 1, .agents = 4, .seed = seed});
    simulation.SetCrashing(kCrashingPrompt);
    simulation.RunFor(seconds(1));
    simulation.Submit(0, simulation.NewKey(), kCrashingPrompt,
                      /*repeatable=*/true, 5);
    for (size_t i = 0; i < kHarmless; ++i) {
      simulation.Submit(0, simulation.NewKey(), "r" + std::to_string(i) + "x",
                        /*repeatable=*/true, 5);
    }
    simulation.RunUntil([&] { return simulation.oracle().open_callers() == 0; },
                        seconds(60));
    // A lookup is not run again if a part of its answer was delivered.
    BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) +
                       simulation.oracle().Count(ResultCode::kServerLost) ==
                   kHarmless,
               "seed " << seed << ": " << simulation.oracle().Summary());
    CheckInvariants(simulation);
  }
}

// Guards against refusing equal lookups while engines crash for another reason.
BOOST_AUTO_TEST_CASE(EqualLookupsAreServedWhileEnginesCrash) {
  Simulation simulation({.entries = 3, .agents = 8, .seed = 5});
  size_t submitted = 0;
  size_t next = 0;
  RunTraffic(simulation,
             {.crashing_every = Duration::zero(), .on_step = [&](Duration now) {
                if (now % milliseconds(60) == Duration::zero()) {
                  simulation.Submit(NextEntry(simulation, next),
                                    simulation.NewKey(), "same",
                                    /*repeatable=*/true, 5);
                  ++submitted;
                }
                const auto turn = static_cast<size_t>(now / seconds(1));
                if (now % seconds(1) == Duration::zero()) {
                  simulation.CrashEngine(turn % 8, seconds(2));
                }
              }});
  BOOST_TEST(simulation.oracle().Count(ResultCode::kCrashesServers) == 0U);
  BOOST_TEST(simulation.engine_crash_times().size() >= 20U);
  BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) >= submitted);
  CheckInvariants(simulation);
}

// Guards against lost requests at agents whose engine is down: all their slots
// are free, so they would attract the requests of the other agents.
BOOST_AUTO_TEST_CASE(LookupsAreServedWhileEnginesAreDown) {
  Simulation simulation({.entries = 2, .agents = 6, .seed = 5});
  for (const size_t agent : {0U, 1U, 2U}) {
    simulation.CrashEngine(agent, std::chrono::hours(1));
  }
  const Counts counts =
      RunTraffic(simulation, {.crashing_every = Duration::zero()});
  BOOST_TEST(counts.answered == counts.harmless);
  CheckInvariants(simulation);
}

// Guards against an agent that stays unused after its engine has restarted.
BOOST_AUTO_TEST_CASE(RestartedEngineIsUsedAgain) {
  Simulation simulation({.entries = 1, .agents = 1, .seed = 5});
  simulation.CrashEngine(0, seconds(10));
  simulation.Submit(0, simulation.NewKey(), "lost", /*repeatable=*/true, 5);
  simulation.RunFor(seconds(13));
  const size_t before = simulation.oracle().Count(ResultCode::kAnswered);
  for (int i = 0; i < 10; ++i) {
    simulation.Submit(0, simulation.NewKey(), "r" + std::to_string(i) + "x",
                      /*repeatable=*/true, 5);
    simulation.RunFor(milliseconds(300));
  }
  simulation.RunUntil([&] { return simulation.oracle().open_callers() == 0; },
                      seconds(10));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) == before + 10);
  CheckInvariants(simulation);
}

}  // namespace lavenderkeel
