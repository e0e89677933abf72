#include "lavenderkeel/claim/key_arbiter.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "test/fakes/platform_core.h"
#include "test/fakes/unreadable_json.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using Decision = KeyArbiter::Decision;

/// Arbiters of two entries at one platform; calls are answered when the test
/// executes them.
struct TwoEntries {
  struct Entry {
    Entry(const std::string& name, TwoEntries& both)
        : self{.instance = name, .incarnation = 1},
          port(outbox),
          key_arbiter({}, self, both.clock, random, both.log, port) {}

    PeerId self;
    std::mt19937_64 random{1};
    Outbox outbox;
    PlatformPort port;
    KeyArbiter key_arbiter;
    std::optional<Decision> decision;

    void Decide(const RequestKey& key) {
      decision.reset();
      key_arbiter.Decide(
          key, [this](const RequestKey&, Decision made) { decision = made; });
    }
  };

  /// Executes the calls that the entry made to the platform.
  void ExecuteCalls(Entry& entry) {
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

// Guards against two entries that both start a request: only the first to reach
// the platform is granted the key, and gets it again when it asks again.
BOOST_AUTO_TEST_CASE(KeyIsGrantedToOneEntry) {
  TwoEntries both;
  const RequestKey key = both.NewKey();
  both.first.Decide(key);
  both.second.Decide(key);
  both.ExecuteCalls(both.second);
  both.ExecuteCalls(both.first);
  BOOST_TEST((both.second.decision == Decision::kGranted));
  BOOST_TEST((both.first.decision == Decision::kTaken));
  both.second.Decide(key);
  both.ExecuteCalls(both.second);
  BOOST_TEST((both.second.decision == Decision::kGranted));
}

// The platform accepts the write but its answer is lost. The entry must not use
// the key; a second attempt reads that the entry owns it.
BOOST_AUTO_TEST_CASE(LostAnswerLeavesTheKeyUndecided) {
  TwoEntries both;
  const RequestKey key = both.NewKey();
  both.platform.set_mode(fakes::PlatformCore::Mode::kLoseWriteAnswers);
  both.first.Decide(key);
  both.ExecuteCalls(both.first);
  BOOST_TEST((both.first.decision == Decision::kUndecided));
  both.platform.set_mode(fakes::PlatformCore::Mode::kUp);
  both.clock.Advance(std::chrono::seconds(2));
  both.first.Decide(key);
  both.ExecuteCalls(both.first);
  BOOST_TEST((both.first.decision == Decision::kGranted));
}

// After the first failed call to an unavailable platform, callers are answered
// without a call, so that none of them waits; a second later the platform is
// called again.
BOOST_AUTO_TEST_CASE(NoCallsRightAfterAFailedCall) {
  TwoEntries both;
  both.platform.set_mode(fakes::PlatformCore::Mode::kOutage);
  both.first.Decide(both.NewKey());
  both.ExecuteCalls(both.first);
  both.first.Decide(both.NewKey());
  BOOST_TEST((both.first.decision == Decision::kUndecided));
  BOOST_TEST(both.first.outbox.Take().empty());
  both.platform.set_mode(fakes::PlatformCore::Mode::kUp);
  both.clock.Advance(std::chrono::seconds(2));
  both.first.Decide(both.NewKey());
  both.ExecuteCalls(both.first);
  BOOST_TEST((both.first.decision == Decision::kGranted));
}

// More keys wait for the platform than the limit allows.
BOOST_AUTO_TEST_CASE(KeysBeyondTheLimitAreUndecidedAtOnce) {
  TwoEntries both;
  const size_t limit = KeyArbiter::Options{}.max_pending_keys;
  for (size_t i = 0; i < limit; ++i) {
    both.first.Decide(both.NewKey());
    BOOST_TEST(!both.first.decision.has_value());
  }
  both.first.Decide(both.NewKey());
  BOOST_TEST((both.first.decision == Decision::kUndecided));
}

// Objects are deleted once no entry vouches for their keys, also those of a
// crashed entry; younger objects stay.
BOOST_AUTO_TEST_CASE(ObjectsPastTheRetentionAreDeleted) {
  TwoEntries both;
  const RequestKey old = both.NewKey();
  both.first.Decide(old);
  both.ExecuteCalls(both.first);
  both.clock.Advance(std::chrono::minutes(13));
  const RequestKey young = both.NewKey();
  both.first.Decide(young);
  both.ExecuteCalls(both.first);
  both.second.key_arbiter.Tick();
  both.clock.Advance(std::chrono::minutes(6));
  for (int i = 0; i < 3; ++i) {
    both.second.key_arbiter.Tick();
    both.ExecuteCalls(both.second);
  }
  BOOST_TEST(both.platform.objects().size() == 1U);
  BOOST_TEST(both.platform.objects().contains("lavenderkeel/keys/" +
                                              young.ToString()));
}

// Guards against one unreadable object that keeps all others from deletion.
BOOST_AUTO_TEST_CASE(UnreadableObjectKeepsNoOtherFromDeletion) {
  for (const std::string& value : fakes::UnreadableValues()) {
    TwoEntries both;
    const RequestKey old = both.NewKey();
    both.clock.Advance(std::chrono::minutes(20));
    both.second.key_arbiter.Tick();
    both.clock.Advance(std::chrono::minutes(20));
    both.second.key_arbiter.Tick();
    const auto calls = both.second.outbox.Take();
    BOOST_REQUIRE(!calls.empty());
    std::string body = R"({"objects":[{"name":)";
    body.append(value)
        .append(R"(,"version":"1"},)")
        .append(value)
        .append(R"(,{"name":"lavenderkeel/keys/)")
        .append(old.ToString())
        .append(R"(","version":"1"}]})");
    both.second.port.OnReply(std::get<PlatformCall>(calls.front()).call,
                             {.status = 200, .body = body});
    both.second.key_arbiter.Tick();
    const auto deletions = both.second.outbox.Take();
    BOOST_REQUIRE_MESSAGE(deletions.size() == 1U, value);
    BOOST_TEST(std::get<PlatformCall>(deletions.front()).method == "DELETE");
  }
}

}  // namespace lavenderkeel
