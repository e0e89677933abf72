#include "lavenderkeel/claim/key_register.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "test/fakes/platform_core.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using Decision = KeyRegister::Decision;

/// Registers of two entries at one platform, whose answers come when the test
/// carries the calls out.
struct TwoEntries {
  struct Entry {
    Entry(const std::string& name, TwoEntries& both)
        : self{.instance = name, .incarnation = 1},
          port(outbox),
          key_register({}, self, both.clock, random, both.log, port) {}

    PeerId self;
    std::mt19937_64 random{1};
    Outbox outbox;
    PlatformPort port;
    KeyRegister key_register;
    std::optional<Decision> decision;

    void Decide(const RequestKey& key) {
      decision.reset();
      key_register.Decide(
          key, [this](const RequestKey&, Decision made) { decision = made; });
    }
  };

  /// Carries out what the entry asked of the platform.
  void Carry(Entry& entry) {
    for (auto actions = entry.outbox.Take(); !actions.empty();
         actions = entry.outbox.Take()) {
      for (const Action& action : actions) {
        const auto& call = std::get<PlatformCall>(action);
        entry.port.OnReply(call.call, platform.Handle(call));
      }
    }
  }

  RequestKey NewKey() { return RequestKey::Mint(clock.WallNow(), random); }

  fuzz::VirtualClock clock;
  EventLog log;
  fakes::PlatformCore platform;
  std::mt19937_64 random{2};
  Entry first{"first", *this};
  Entry second{"second", *this};
};

}  // namespace

BOOST_AUTO_TEST_CASE(KeyIsGivenOnce) {
  TwoEntries both;
  const RequestKey key = both.NewKey();
  both.first.Decide(key);
  both.second.Decide(key);
  both.Carry(both.second);
  both.Carry(both.first);
  BOOST_TEST((both.second.decision == Decision::kOurs));
  BOOST_TEST((both.first.decision == Decision::kTaken));
  both.second.Decide(key);
  both.Carry(both.second);
  BOOST_TEST((both.second.decision == Decision::kOurs));
}

// The platform takes the write and its answer is lost. The entry may not count
// on the key; asked once more it reads that the key is its own.
BOOST_AUTO_TEST_CASE(LostAnswerLeavesTheKeyUndecided) {
  TwoEntries both;
  const RequestKey key = both.NewKey();
  both.platform.set_mode(fakes::PlatformCore::Mode::kLoseWriteAnswers);
  both.first.Decide(key);
  both.Carry(both.first);
  BOOST_TEST((both.first.decision == Decision::kUndecided));
  both.platform.set_mode(fakes::PlatformCore::Mode::kUp);
  both.clock.Advance(std::chrono::seconds(2));
  both.first.Decide(key);
  both.Carry(both.first);
  BOOST_TEST((both.first.decision == Decision::kOurs));
}

// The platform is away. After the first failure callers are answered without
// asking, so that none of them waits for it; a second later it is asked again.
BOOST_AUTO_TEST_CASE(PlatformThatIsAwayIsNotWaitedFor) {
  TwoEntries both;
  both.platform.set_mode(fakes::PlatformCore::Mode::kOutage);
  both.first.Decide(both.NewKey());
  both.Carry(both.first);
  both.first.Decide(both.NewKey());
  BOOST_TEST((both.first.decision == Decision::kUndecided));
  BOOST_TEST(both.first.outbox.Take().empty());
  both.platform.set_mode(fakes::PlatformCore::Mode::kUp);
  both.clock.Advance(std::chrono::seconds(2));
  both.first.Decide(both.NewKey());
  both.Carry(both.first);
  BOOST_TEST((both.first.decision == Decision::kOurs));
}

// More keys wait for the platform than it should be asked for at a time.
BOOST_AUTO_TEST_CASE(KeysBeyondTheBoundAreUndecidedAtOnce) {
  TwoEntries both;
  const size_t bound = KeyRegister::Options{}.most_open;
  for (size_t i = 0; i < bound; ++i) {
    both.first.Decide(both.NewKey());
    BOOST_TEST(!both.first.decision.has_value());
  }
  both.first.Decide(both.NewKey());
  BOOST_TEST((both.first.decision == Decision::kUndecided));
}

// Objects are deleted once no entry vouches for their keys, also those of an
// entry that died; younger ones stay.
BOOST_AUTO_TEST_CASE(ObjectsPastTheRetentionAreDeleted) {
  TwoEntries both;
  const RequestKey old = both.NewKey();
  both.first.Decide(old);
  both.Carry(both.first);
  both.clock.Advance(std::chrono::minutes(13));
  const RequestKey young = both.NewKey();
  both.first.Decide(young);
  both.Carry(both.first);
  both.second.key_register.Tick();
  both.clock.Advance(std::chrono::minutes(6));
  for (int i = 0; i < 3; ++i) {
    both.second.key_register.Tick();
    both.Carry(both.second);
  }
  BOOST_TEST(both.platform.objects().size() == 1U);
  BOOST_TEST(both.platform.objects().contains("lavenderkeel/keys/" +
                                              young.ToString()));
}

}  // namespace lavenderkeel
