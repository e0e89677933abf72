// Failure scenarios, run on the daemons' own components under a virtual clock;
// some are shrunk from the fuzzer's counterexamples.
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "test/fuzz/simulation.h"

namespace lavenderkeel::fuzz {

namespace {

void CheckInvariants(Simulation& simulation) {
  BOOST_TEST(simulation.oracle().open_callers() == 0U,
             simulation.oracle().DescribeOpenCallers());
  for (const std::string& violation : simulation.oracle().violations()) {
    BOOST_ERROR(violation);
  }
}

bool RunUntilAllConcluded(Simulation& simulation) {
  return simulation.RunUntil(
      [&] { return simulation.oracle().open_callers() == 0; },
      std::chrono::seconds(60));
}

/// Requests with keys chosen by callers, for non-repeatable work.
struct CallerKeys {
  size_t count = 0;
  /// Target entries, round robin.
  std::vector<size_t> entries;
  uint32_t tokens = 3;
  std::optional<int64_t> deadline_ms;
  /// Simulated time after each request.
  Duration gap = Duration::zero();
};

void Submit(Simulation& simulation, const CallerKeys& keys) {
  for (size_t i = 0; i < keys.count; ++i) {
    simulation.Submit(keys.entries[i % keys.entries.size()],
                      simulation.NewKey(), "r" + std::to_string(i) + "x",
                      /*repeatable=*/false, keys.tokens, keys.deadline_ms);
    simulation.RunFor(keys.gap);
  }
}

/// Shuts an entry down gracefully and restarts it 3 s later.
void RestartGracefully(Simulation& simulation, size_t entry) {
  simulation.RunFor(std::chrono::seconds(5));
  simulation.Leave(entry);
  BOOST_REQUIRE(simulation.RunUntil([&] { return !simulation.alive(entry); },
                                    std::chrono::seconds(10)));
  simulation.RunFor(std::chrono::seconds(3));
  simulation.Restart(entry);
}

}  // namespace

// Guards against refusing checks with a deadline while lookups run: lookups
// occupy every slot, no slot becomes free in time, and so the checks have to
// preempt them.
BOOST_AUTO_TEST_CASE(ChecksAreNotRefusedWhileLookupsRun) {
  Simulation simulation({.seed = 3});
  for (int i = 0; i < 40; ++i) {
    simulation.Submit(i % 3, simulation.NewKey(), "l" + std::to_string(i) + "x",
                      true, 200);
  }
  simulation.RunFor(std::chrono::seconds(1));
  for (int i = 0; i < 10; ++i) {
    simulation.Submit(i % 3, simulation.NewKey(), "c" + std::to_string(i) + "x",
                      false, 5, 1500);
  }
  simulation.RunFor(std::chrono::seconds(3));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kDeadlinePassed) == 0U);
  BOOST_TEST(simulation.oracle().Count(ResultCode::kDeadlineUnreachable) == 0U);
  BOOST_TEST(simulation.oracle().Count(ResultCode::kOverloaded) == 0U);
  BOOST_TEST(RunUntilAllConcluded(simulation));
  CheckInvariants(simulation);
}

// Guards against "not run" after both holders of a claim are lost and one of
// them restarts and leaves gracefully. The next entry in rank never held the
// claim and must not vouch for the key: a retry gets "unknown" or the answer.
BOOST_AUTO_TEST_CASE(NoEntryVouchesAfterBothHoldersAreLost) {
  Simulation simulation({.seed = 1});
  const std::string key = simulation.NewKey();
  simulation.Submit(0, key, "r0x", false, 3);
  simulation.RunFor(std::chrono::milliseconds(8));
  simulation.Kill(2, false);
  simulation.Kill(1, false);
  simulation.Restart(1);
  simulation.RunFor(std::chrono::milliseconds(635));
  simulation.Leave(1);
  simulation.RunFor(std::chrono::milliseconds(44));
  simulation.Submit(1, key, "r0x", false, 3);
  BOOST_TEST(RunUntilAllConcluded(simulation));
  CheckInvariants(simulation);
}

// Guards against requests left at, or started by, a leaving agent whose slow
// engine has accepted more than it runs. Requests that have not started go back
// to their entry immediately and run at another agent.
BOOST_AUTO_TEST_CASE(LeavingAgentReturnsRequestsThatDidNotStart) {
  Simulation simulation({.seed = 1});
  simulation.engine(0).set_speed(0.1);
  for (int i = 0; i < 40; ++i) {
    simulation.Submit(1, simulation.NewKey(), "r" + std::to_string(i) + "x",
                      false, 11);
  }
  simulation.RunFor(std::chrono::milliseconds(12));
  simulation.Leave(simulation.entries());
  BOOST_TEST(RunUntilAllConcluded(simulation));
  CheckInvariants(simulation);
}

// Guards against a second run, or a missing answer, of a lookup that is sent to
// two entries: both hold a reservation for its key.
BOOST_AUTO_TEST_CASE(LookupSentToTwoEntriesIsAnswered) {
  Simulation simulation({.seed = 1});
  const std::string key = simulation.NewKey();
  simulation.Submit(0, key, "r0x", true, 9);
  simulation.Submit(1, key, "r0x", true, 9);
  BOOST_TEST(RunUntilAllConcluded(simulation));
  CheckInvariants(simulation);
}

// Guards against an endless loop of slot offers and refused Gos at network
// speed. A key is used for a check and a lookup. The check's entry is lost
// while the check waits; a second entry takes it over, seals the key at the
// agent and is lost as well. A third entry then gets slots for the lookup, but
// each Go is refused; it must give up after a few attempts.
BOOST_AUTO_TEST_CASE(LookupWithTheKeyOfALostCheckGivesUp) {
  Simulation simulation({.entries = 3, .agents = 1, .seed = 1});
  simulation.engine(0).set_speed(0.01);
  for (int i = 0; i < 20; ++i) {
    simulation.Submit(2, simulation.NewKey(), "b" + std::to_string(i) + "x",
                      false, 3);
  }
  simulation.RunFor(std::chrono::milliseconds(200));
  const std::string key = simulation.NewKey();
  simulation.Submit(0, key, "r0x", false, 5);
  simulation.RunFor(std::chrono::milliseconds(100));
  simulation.Kill(0, /*silently=*/false);
  simulation.RunFor(std::chrono::seconds(3));
  simulation.Submit(1, key, "r0x", false, 5);
  simulation.RunFor(std::chrono::milliseconds(100));
  simulation.Kill(1, /*silently=*/false);
  simulation.engine(0).set_speed(1);
  simulation.RunFor(std::chrono::seconds(10));
  const uint64_t before = simulation.messages_sent(2);
  simulation.Submit(2, key, "r0x", true, 5);
  simulation.RunFor(std::chrono::seconds(2));
  // Four Gos with their related messages, and heartbeats.
  constexpr uint64_t kMaxMessages = 40;
  BOOST_TEST(simulation.messages_sent(2) - before < kMaxMessages);
  BOOST_TEST(RunUntilAllConcluded(simulation));
}

// Guards against an engine that serves a restarted agent the cancelled stream
// of its predecessor instead of a new run. The agent crashes without closing
// its connections, and the lookup is sent to its successor.
BOOST_AUTO_TEST_CASE(RestartedAgentRunsTheRequestAgain) {
  Simulation simulation({.entries = 1, .agents = 1, .seed = 2});
  simulation.Submit(0, simulation.NewKey(), "r0x", true, 20);
  BOOST_REQUIRE(
      simulation.RunUntil([&] { return simulation.engine(0).starts() == 1; },
                          std::chrono::seconds(5)));
  simulation.engine(0).CancelAll();
  simulation.Kill(1, /*silently=*/true);
  simulation.Restart(1);
  BOOST_TEST(RunUntilAllConcluded(simulation));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) == 1U);
  CheckInvariants(simulation);
}

// Guards against "unknown" (result=cannot_vouch) for new keys after one of
// three entries is lost for good. Two keys in three have that entry among their
// holders; since it may only be partitioned, they would stay undecided for as
// long as claims are kept. Five seconds are two and a half heartbeat timeouts.
BOOST_AUTO_TEST_CASE(NewKeysAreServedAfterAnEntryIsLostForGood) {
  Simulation simulation({.entries = 3, .agents = 3, .seed = 1});
  simulation.RunFor(std::chrono::seconds(5));
  simulation.Kill(1, /*silently=*/true);
  simulation.RunFor(std::chrono::seconds(5));
  Submit(
      simulation,
      {.count = 80, .entries = {2, 0}, .gap = std::chrono::milliseconds(20)});
  BOOST_TEST(RunUntilAllConcluded(simulation));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) == 80U);
  CheckInvariants(simulation);
}

// Guards against two runs of a key that is sent to both sides of a partition
// between two entries, while both reach the third, the agents and the platform.
// Each side presumes the other lost. The platform grants the key to one of
// them; the other caller gets "unknown" or the same answer.
BOOST_AUTO_TEST_CASE(KeySentToBothSidesOfAPartitionRunsOnce) {
  Simulation simulation({.entries = 3, .agents = 2, .seed = 4});
  simulation.RunFor(std::chrono::seconds(5));
  simulation.Partition(0, 1);
  simulation.RunFor(std::chrono::seconds(4));
  for (int i = 0; i < 24; ++i) {
    const std::string key = simulation.NewKey();
    const std::string word = "r" + std::to_string(i) + "x";
    simulation.Submit(0, key, word, false, 3);
    simulation.Submit(1, key, word, false, 3);
    simulation.RunFor(std::chrono::milliseconds(20));
  }
  BOOST_TEST(RunUntilAllConcluded(simulation));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) >= 24U);
  CheckInvariants(simulation);
}

// Guards against an entry vouching for a key whose claim it never received. One
// holder is partitioned from the entry that gets the retry, the other one
// crashes and restarts without the claim. The third in rank, asked in place of
// the unreachable holder, never had the claim, and the platform was not asked
// for the key, so that the lack of a claim there proves nothing.
BOOST_AUTO_TEST_CASE(SubstituteForALostHolderDoesNotVouch) {
  Simulation simulation({.entries = 4, .agents = 2, .seed = 6});
  simulation.RunFor(std::chrono::seconds(5));
  simulation.Partition(0, 2);
  simulation.RunFor(std::chrono::seconds(4));
  std::vector<std::string> keys;
  for (int i = 0; i < 24; ++i) {
    keys.push_back(simulation.NewKey());
    simulation.Submit(3, keys.back(), "r" + std::to_string(i) + "x", false, 3);
  }
  simulation.RunFor(std::chrono::seconds(2));
  simulation.Kill(1, /*silently=*/false);
  simulation.Restart(1);
  simulation.RunFor(std::chrono::seconds(4));
  for (int i = 0; i < 24; ++i) {
    simulation.Submit(2, keys[i], "r" + std::to_string(i) + "x", false, 3);
  }
  BOOST_TEST(RunUntilAllConcluded(simulation));
  CheckInvariants(simulation);
}

// Guards against "unknown" instead of "not run" for checks that pass their
// deadline in the queue after an entry is lost for good. While an entry is
// unreachable, the holders have to confirm "not run", and they do.
BOOST_AUTO_TEST_CASE(PassedDeadlinesStayNotRunAfterAnEntryIsLost) {
  Simulation simulation({.entries = 3, .agents = 1, .seed = 1});
  simulation.RunFor(std::chrono::seconds(5));
  simulation.Kill(1, /*silently=*/true);
  simulation.RunFor(std::chrono::seconds(5));
  simulation.engine(0).set_speed(0.05);
  Submit(simulation,
         {.count = 40, .entries = {0, 2}, .tokens = 10, .deadline_ms = 2000});
  BOOST_TEST(RunUntilAllConcluded(simulation));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kDeadlinePassed) > 10U);
  BOOST_TEST(simulation.oracle().Count(ResultCode::kCannotVouch) == 0U);
  CheckInvariants(simulation);
}

// Guards against delayed outcomes while an entry is lost and the platform is
// unavailable: keys that need its decision end as "unknown" immediately, and
// keys whose holders are both reachable run.
BOOST_AUTO_TEST_CASE(KeysAreUndecidedImmediatelyWhileThePlatformIsDown) {
  Simulation simulation({.entries = 3, .agents = 3, .seed = 1});
  simulation.RunFor(std::chrono::seconds(5));
  simulation.platform().set_mode(fakes::PlatformCore::Mode::kOutage);
  simulation.Kill(1, /*silently=*/true);
  simulation.RunFor(std::chrono::seconds(5));
  constexpr size_t kKeys = 30;
  Submit(simulation, {.count = kKeys, .entries = {0, 2}});
  simulation.RunFor(std::chrono::seconds(2));
  BOOST_TEST(simulation.oracle().open_callers() == 0U);
  const size_t answered = simulation.oracle().Count(ResultCode::kAnswered);
  BOOST_TEST(answered > 0U);
  BOOST_TEST(simulation.oracle().Count(ResultCode::kCannotVouch) ==
             kKeys - answered);
  CheckInvariants(simulation);
}

// Guards against "unknown" for new keys while an entry restarts gracefully. The
// new process dials the others; if each took this for the end of a partition,
// all of them at the same time could not vouch for keys of up to a second
// later.
BOOST_AUTO_TEST_CASE(NewKeysAreServedWhileAnEntryRestarts) {
  Simulation simulation({.entries = 3, .agents = 3, .seed = 2});
  RestartGracefully(simulation, 1);
  constexpr size_t kKeys = 200;
  Submit(simulation, {.count = kKeys,
                      .entries = {0, 2},
                      .gap = std::chrono::milliseconds(25)});
  BOOST_TEST(RunUntilAllConcluded(simulation));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) == kKeys);
  CheckInvariants(simulation);
}

// Guards against "unknown" (cannot_vouch) or no_server for requests sent to an
// entry right after its start, when it is not yet connected to the other
// entries and agents. A load balancer does so if the entry has the address of a
// predecessor or all others are down. Such requests wait for the connections.
BOOST_AUTO_TEST_CASE(FirstRequestsWaitUntilTheEntryIsConnected) {
  Simulation simulation({.entries = 2, .agents = 2, .seed = 2});
  RestartGracefully(simulation, 1);
  BOOST_REQUIRE(simulation.RunUntil(
      [&] { return simulation.entry(1)->config().version() > 0; },
      std::chrono::seconds(10)));
  constexpr size_t kKeys = 40;
  Submit(
      simulation,
      {.count = kKeys, .entries = {1}, .gap = std::chrono::milliseconds(25)});
  BOOST_TEST(RunUntilAllConcluded(simulation));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) == kKeys);
  CheckInvariants(simulation);
}

// Guards against an entry that is frozen for longer than the heartbeat timeout
// and then vouches, with an outdated view, for keys sent meanwhile. The
// other holder can vouch for them.
BOOST_AUTO_TEST_CASE(FrozenHolderDoesNotVouch) {
  Simulation simulation({.seed = 5});
  simulation.Freeze(1, std::chrono::seconds(4));
  std::vector<std::string> keys;
  for (int i = 0; i < 8; ++i) {
    keys.push_back(simulation.NewKey());
    simulation.Submit(0, keys.back(), "r" + std::to_string(i) + "x", false, 4);
  }
  simulation.RunFor(std::chrono::milliseconds(4010));
  for (int i = 0; i < 8; ++i) {
    simulation.Submit(1, keys[i], "r" + std::to_string(i) + "x", false, 4);
  }
  BOOST_TEST(RunUntilAllConcluded(simulation));
  CheckInvariants(simulation);
}

// Guards against a lookup that ran at a lost agent and is then refused as not
// run, and against one that its caller can't send again afterwards.
BOOST_AUTO_TEST_CASE(LookupThatMayHaveRunIsInDoubtAndMayBeSentAgain) {
  Simulation simulation({.entries = 1, .agents = 1});
  simulation.RunFor(std::chrono::seconds(2));
  const std::string key = simulation.NewKey();
  constexpr uint32_t kTokens = 200;
  simulation.Submit(0, key, "r0x", /*repeatable=*/true, kTokens);
  simulation.RunFor(std::chrono::milliseconds(200));
  BOOST_REQUIRE(simulation.engine(0).starts() == 1U);
  simulation.Kill(1, /*silently=*/false);
  BOOST_TEST(RunUntilAllConcluded(simulation));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kServerLost) == 1U);
  simulation.Restart(1);
  simulation.RunFor(std::chrono::seconds(2));
  simulation.Submit(0, key, "r0x", /*repeatable=*/true, kTokens);
  BOOST_TEST(RunUntilAllConcluded(simulation));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kAnswered) == 1U);
  CheckInvariants(simulation);
}

// Guards against "not run" for a key that ran, from an entry that refused it
// before another one took it over.
BOOST_AUTO_TEST_CASE(ReaderOfAKeyTakenOverGetsNoRefusal) {
  Simulation simulation({.seed = 1});
  simulation.RunFor(std::chrono::seconds(2));
  const std::string key = simulation.NewKey();
  simulation.Submit(0, key, "r0x", /*repeatable=*/false, /*tokens=*/3,
                    /*deadline_ms=*/1);
  BOOST_REQUIRE(RunUntilAllConcluded(simulation));
  BOOST_REQUIRE(simulation.oracle().Count(ResultCode::kAnswered) == 0U);
  simulation.Submit(1, key, "r0x", /*repeatable=*/false, /*tokens=*/3);
  BOOST_REQUIRE(RunUntilAllConcluded(simulation));
  BOOST_REQUIRE(simulation.oracle().Count(ResultCode::kAnswered) == 1U);
  simulation.Read(0, key, "r0x");
  BOOST_TEST(RunUntilAllConcluded(simulation));
  CheckInvariants(simulation);
}

// Guards against "not run" for a key that ran, from entries that started after
// it did.
BOOST_AUTO_TEST_CASE(ReaderAtRestartedEntriesGetsNoRefusal) {
  Simulation simulation({.seed = 1});
  simulation.RunFor(std::chrono::seconds(2));
  const std::string key = simulation.NewKey();
  simulation.Submit(0, key, "r0x", /*repeatable=*/false, /*tokens=*/3);
  BOOST_REQUIRE(RunUntilAllConcluded(simulation));
  for (size_t entry = 0; entry < simulation.entries(); ++entry) {
    simulation.Kill(entry, /*silently=*/false);
    simulation.Restart(entry);
  }
  simulation.Read(0, key, "r0x");
  simulation.RunFor(std::chrono::seconds(5));
  simulation.Read(1, key, "r0x");
  BOOST_TEST(RunUntilAllConcluded(simulation));
  BOOST_TEST(simulation.oracle().Count(ResultCode::kCannotVouch) == 2U);
  CheckInvariants(simulation);
}

}  // namespace lavenderkeel::fuzz
