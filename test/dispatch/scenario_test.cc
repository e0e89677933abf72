// Named failures, stepped through the daemons' own components under a virtual
// clock; some are shrunk from the fuzzer's finds.
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "test/fuzz/world.h"

namespace lavenderkeel::fuzz {

namespace {

void CheckHeld(World& world) {
  BOOST_TEST(world.oracle().open() == 0U, world.oracle().DescribeOpen());
  for (const std::string& violation : world.oracle().violations()) {
    BOOST_ERROR(violation);
  }
}

bool AllTold(World& world) {
  return world.RunUntil([&] { return world.oracle().open() == 0; },
                        std::chrono::seconds(60));
}

/// Keys of callers' own, for work that may run once only.
struct NewKeys {
  size_t count = 0;
  /// The entries that get them, in turn.
  std::vector<size_t> entries;
  uint32_t tokens = 3;
  std::optional<int64_t> deadline_ms;
  /// How long the system runs after each.
  Duration gap = Duration::zero();
};

void Submit(World& world, const NewKeys& keys) {
  for (size_t i = 0; i < keys.count; ++i) {
    world.Submit(keys.entries[i % keys.entries.size()], world.NewKey(),
                 "r" + std::to_string(i) + "x", /*repeatable=*/false,
                 keys.tokens, keys.deadline_ms);
    world.RunFor(keys.gap);
  }
}

/// Stops an entry in order and starts it again a little later.
void StopAndStart(World& world, size_t entry) {
  world.RunFor(std::chrono::seconds(5));
  world.Leave(entry);
  BOOST_REQUIRE(world.RunUntil([&] { return !world.alive(entry); },
                               std::chrono::seconds(10)));
  world.RunFor(std::chrono::seconds(3));
  world.Restart(entry);
}

}  // namespace

// Lookups fill every slot; then checks with a deadline come that no free slot
// would serve in time. Lookups give way, and no check is refused while any of
// them runs.
BOOST_AUTO_TEST_CASE(ChecksAreNotShedWhileLookupsRun) {
  World world({.seed = 3});
  for (int i = 0; i < 40; ++i) {
    world.Submit(i % 3, world.NewKey(), "l" + std::to_string(i) + "x", true,
                 200);
  }
  world.RunFor(std::chrono::seconds(1));
  for (int i = 0; i < 10; ++i) {
    world.Submit(i % 3, world.NewKey(), "c" + std::to_string(i) + "x", false, 5,
                 1500);
  }
  world.RunFor(std::chrono::seconds(3));
  BOOST_TEST(world.oracle().Count(ResultCode::kDeadlinePassed) == 0U);
  BOOST_TEST(world.oracle().Count(ResultCode::kDeadlineUnreachable) == 0U);
  BOOST_TEST(world.oracle().Count(ResultCode::kOverloaded) == 0U);
  BOOST_TEST(AllTold(world));
  CheckHeld(world);
}

// Both holders of a claim die, one comes back and leaves in order. The next in
// rank never held the claim and must not vouch for the key: the retry hears
// "unknown", or the answer, never "not run".
BOOST_AUTO_TEST_CASE(LossOfBothHoldersIsRemembered) {
  World world({.seed = 1});
  const std::string key = world.NewKey();
  world.Submit(0, key, "r0x", false, 3);
  world.RunFor(std::chrono::milliseconds(8));
  world.Kill(2, false);
  world.Kill(1, false);
  world.Restart(1);
  world.RunFor(std::chrono::milliseconds(635));
  world.Leave(1);
  world.RunFor(std::chrono::milliseconds(44));
  world.Submit(1, key, "r0x", false, 3);
  BOOST_TEST(AllTold(world));
  CheckHeld(world);
}

// A slow engine has accepted more than it runs when its agent leaves. What did
// not start goes back to its entry at once and runs elsewhere; nothing starts
// at the leaving agent.
BOOST_AUTO_TEST_CASE(LeavingAgentGivesBackWhatDidNotStart) {
  World world({.seed = 1});
  world.engine(0).set_speed(0.1);
  for (int i = 0; i < 40; ++i) {
    world.Submit(1, world.NewKey(), "r" + std::to_string(i) + "x", false, 11);
  }
  world.RunFor(std::chrono::milliseconds(12));
  world.Leave(world.entries());
  BOOST_TEST(AllTold(world));
  CheckHeld(world);
}

// The same lookup is sent to two entries. Both hold a reservation for it, it
// runs once, and both callers get the whole answer.
BOOST_AUTO_TEST_CASE(SameLookupAtTwoEntries) {
  World world({.seed = 1});
  const std::string key = world.NewKey();
  world.Submit(0, key, "r0x", true, 9);
  world.Submit(1, key, "r0x", true, 9);
  BOOST_TEST(AllTold(world));
  CheckHeld(world);
}

// A caller uses one key for a check and for a lookup. The check's entry dies
// while it waits; a second entry takes it over, has the agent refuse the key to
// all others and dies as well. The lookup comes to a third entry, which gets
// slots but has its goes refused: it gives up after a few of them, where it
// used to go on as fast as the network carries messages.
BOOST_AUTO_TEST_CASE(LookupWithTheKeyOfALostCheckGivesUp) {
  World world({.entries = 3, .agents = 1, .seed = 1});
  world.engine(0).set_speed(0.01);
  for (int i = 0; i < 20; ++i) {
    world.Submit(2, world.NewKey(), "b" + std::to_string(i) + "x", false, 3);
  }
  world.RunFor(std::chrono::milliseconds(200));
  const std::string key = world.NewKey();
  world.Submit(0, key, "r0x", false, 5);
  world.RunFor(std::chrono::milliseconds(100));
  world.Kill(0, /*silently=*/false);
  world.RunFor(std::chrono::seconds(3));
  world.Submit(1, key, "r0x", false, 5);
  world.RunFor(std::chrono::milliseconds(100));
  world.Kill(1, /*silently=*/false);
  world.engine(0).set_speed(1);
  world.RunFor(std::chrono::seconds(10));
  const uint64_t before = world.messages_sent(2);
  world.Submit(2, key, "r0x", true, 5);
  world.RunFor(std::chrono::seconds(2));
  // Four goes and what belongs to them, and heartbeats.
  constexpr uint64_t kMostMessages = 40;
  BOOST_TEST(world.messages_sent(2) - before < kMostMessages);
  BOOST_TEST(AllTold(world));
}

// A lookup runs at an agent that dies at once, silently, and starts again; the
// lookup is sent to its successor. The engine must not take that for the
// predecessor's start, whose stream was cancelled.
BOOST_AUTO_TEST_CASE(RestartedAgentStartsAnew) {
  World world({.entries = 1, .agents = 1, .seed = 2});
  world.Submit(0, world.NewKey(), "r0x", true, 20);
  BOOST_REQUIRE(world.RunUntil([&] { return world.engine(0).starts() == 1; },
                               std::chrono::seconds(5)));
  world.engine(0).CancelAll();
  world.Kill(1, /*silently=*/true);
  world.Restart(1);
  BOOST_TEST(AllTold(world));
  BOOST_TEST(world.oracle().Count(ResultCode::kAnswered) == 1U);
  CheckHeld(world);
}

// One of three entries is killed and never comes back. Callers send new keys
// of their own to the other two. Two keys in three have the dead entry among
// their holders; it can't be told from one that is cut off, and for as long as
// claims are kept these callers would hear "unknown" (result=cannot_vouch).
// Five seconds are two and a half heartbeat timeouts.
BOOST_AUTO_TEST_CASE(NewKeysAreServedAfterAnEntryIsLostForGood) {
  World world({.entries = 3, .agents = 3, .seed = 1});
  world.RunFor(std::chrono::seconds(5));
  world.Kill(1, /*silently=*/true);
  world.RunFor(std::chrono::seconds(5));
  Submit(
      world,
      {.count = 80, .entries = {2, 0}, .gap = std::chrono::milliseconds(20)});
  BOOST_TEST(AllTold(world));
  BOOST_TEST(world.oracle().Count(ResultCode::kAnswered) == 80U);
  CheckHeld(world);
}

// Two entries take each other for lost: nothing passes between them, while both
// reach the third, the agents and the platform. Each caller sends its key, new
// since the cut, to both. Each side could take the other for dead and run the
// key; the platform gives it to one of them, the other caller hears "unknown"
// or gets the one answer.
BOOST_AUTO_TEST_CASE(KeySentToBothSidesOfACutRunsOnce) {
  World world({.entries = 3, .agents = 2, .seed = 4});
  world.RunFor(std::chrono::seconds(5));
  world.Partition(0, 1);
  world.RunFor(std::chrono::seconds(4));
  for (int i = 0; i < 24; ++i) {
    const std::string key = world.NewKey();
    const std::string word = "r" + std::to_string(i) + "x";
    world.Submit(0, key, word, false, 3);
    world.Submit(1, key, word, false, 3);
    world.RunFor(std::chrono::milliseconds(20));
  }
  BOOST_TEST(AllTold(world));
  BOOST_TEST(world.oracle().Count(ResultCode::kAnswered) >= 24U);
  CheckHeld(world);
}

// A key runs for one caller; its holders are an entry that this caller's entry
// reaches and we don't, and one that crashes right after. The caller's retry
// comes to us. The crashed holder's successor has nothing of the claim, and the
// third in rank, asked in the silent one's place, never had it: that it knows
// of no claim proves nothing, and the platform was never asked for the key.
BOOST_AUTO_TEST_CASE(StandInForALostHolderDoesNotVouch) {
  World world({.entries = 4, .agents = 2, .seed = 6});
  world.RunFor(std::chrono::seconds(5));
  world.Partition(0, 2);
  world.RunFor(std::chrono::seconds(4));
  std::vector<std::string> keys;
  for (int i = 0; i < 24; ++i) {
    keys.push_back(world.NewKey());
    world.Submit(3, keys.back(), "r" + std::to_string(i) + "x", false, 3);
  }
  world.RunFor(std::chrono::seconds(2));
  world.Kill(1, /*silently=*/false);
  world.Restart(1);
  world.RunFor(std::chrono::seconds(4));
  for (int i = 0; i < 24; ++i) {
    world.Submit(2, keys[i], "r" + std::to_string(i) + "x", false, 3);
  }
  BOOST_TEST(AllTold(world));
  CheckHeld(world);
}

// An entry is lost for good, the engine is slow, and checks pass their
// deadlines in the line. While an entry is silent the holders are asked before
// a caller hears "not run"; they confirm it, so that nobody hears "unknown"
// instead.
BOOST_AUTO_TEST_CASE(PassedDeadlinesStayNotRunAfterAnEntryIsLost) {
  World world({.entries = 3, .agents = 1, .seed = 1});
  world.RunFor(std::chrono::seconds(5));
  world.Kill(1, /*silently=*/true);
  world.RunFor(std::chrono::seconds(5));
  world.engine(0).set_speed(0.05);
  Submit(world,
         {.count = 40, .entries = {0, 2}, .tokens = 10, .deadline_ms = 2000});
  BOOST_TEST(AllTold(world));
  BOOST_TEST(world.oracle().Count(ResultCode::kDeadlinePassed) > 10U);
  BOOST_TEST(world.oracle().Count(ResultCode::kCannotVouch) == 0U);
  CheckHeld(world);
}

// As above with the platform away: it can't decide, so callers hear at once
// that nobody knows, and keys whose holders are both here run as ever.
BOOST_AUTO_TEST_CASE(KeysAreUndecidedAtOnceWhileThePlatformIsAway) {
  World world({.entries = 3, .agents = 3, .seed = 1});
  world.RunFor(std::chrono::seconds(5));
  world.platform().set_mode(fakes::PlatformCore::Mode::kOutage);
  world.Kill(1, /*silently=*/true);
  world.RunFor(std::chrono::seconds(5));
  constexpr size_t kKeys = 30;
  Submit(world, {.count = kKeys, .entries = {0, 2}});
  world.RunFor(std::chrono::seconds(2));
  BOOST_TEST(world.oracle().open() == 0U);
  const size_t answered = world.oracle().Count(ResultCode::kAnswered);
  BOOST_TEST(answered > 0U);
  BOOST_TEST(world.oracle().Count(ResultCode::kCannotVouch) ==
             kKeys - answered);
  CheckHeld(world);
}

// An entry is stopped in order and started again while callers go on sending
// new keys to all that take them. The new one dials the others and tells them
// so; each takes this for the end of a cut and can't vouch for keys of up to a
// second later, all at the same moment, so that every caller hears "unknown".
BOOST_AUTO_TEST_CASE(RestartOfAnEntryCostsNoKeys) {
  World world({.entries = 3, .agents = 3, .seed = 2});
  StopAndStart(world, 1);
  constexpr size_t kKeys = 200;
  Submit(world, {.count = kKeys,
                 .entries = {0, 2},
                 .gap = std::chrono::milliseconds(25)});
  BOOST_TEST(AllTold(world));
  BOOST_TEST(world.oracle().Count(ResultCode::kAnswered) == kKeys);
  CheckHeld(world);
}

// A balancer sends to an entry right after its start: it has the address of a
// predecessor, or all others are away. The entry knows neither the other
// entries nor an agent yet. Its callers wait for the moment that it takes to
// meet them, where they heard "unknown" (cannot_vouch) or no_server.
BOOST_AUTO_TEST_CASE(FirstRequestsOfAnEntryWaitUntilItHasMetTheOthers) {
  World world({.entries = 2, .agents = 2, .seed = 2});
  StopAndStart(world, 1);
  BOOST_REQUIRE(
      world.RunUntil([&] { return world.entry(1)->config().version() > 0; },
                     std::chrono::seconds(10)));
  constexpr size_t kKeys = 40;
  Submit(
      world,
      {.count = kKeys, .entries = {1}, .gap = std::chrono::milliseconds(25)});
  BOOST_TEST(AllTold(world));
  BOOST_TEST(world.oracle().Count(ResultCode::kAnswered) == kKeys);
  CheckHeld(world);
}

// An entry is frozen past the heartbeat timeout and wakes with its old view.
// It can't vouch for keys sent meanwhile; the other holder can.
BOOST_AUTO_TEST_CASE(FrozenHolderDoesNotVouch) {
  World world({.seed = 5});
  world.Freeze(1, std::chrono::seconds(4));
  std::vector<std::string> keys;
  for (int i = 0; i < 8; ++i) {
    keys.push_back(world.NewKey());
    world.Submit(0, keys.back(), "r" + std::to_string(i) + "x", false, 4);
  }
  world.RunFor(std::chrono::milliseconds(4010));
  for (int i = 0; i < 8; ++i) {
    world.Submit(1, keys[i], "r" + std::to_string(i) + "x", false, 4);
  }
  BOOST_TEST(AllTold(world));
  CheckHeld(world);
}

}  // namespace lavenderkeel::fuzz
