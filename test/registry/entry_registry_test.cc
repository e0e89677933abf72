#include "lavenderkeel/registry/entry_registry.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using State = RegisteredEntry::State;

constexpr Duration kWindow = seconds(10);

/// The registry in the store and one entry that reads it.
class Fixture {
 public:
  explicit Fixture(std::vector<RegisteredEntry> stored = {})
      : stored_(std::move(stored)) {
    Start();
  }

  /// Starts the process, or its successor.
  void Start() {
    registry_ = std::make_unique<EntryRegistry>(
        EntryRegistry::Options{.window = kWindow}, "self", clock_, log_,
        [this](const RegistryWrite& write) { writes_.push_back(write); });
  }
  void Read() {
    registry_->OnList(stored_);
    registry_->OnRead(revision_, clock_.Now());
  }
  void Store(const std::string& name, State state) {
    std::erase_if(stored_, [&](const RegisteredEntry& entry) {
      return entry.name == name;
    });
    stored_.push_back({.name = name, .revision = ++revision_, .state = state});
  }
  void Erase(const std::string& name) {
    std::erase_if(stored_, [&](const RegisteredEntry& entry) {
      return entry.name == name;
    });
    ++revision_;
  }
  void Advance(Duration by, bool may_remove = false) {
    clock_.Advance(by);
    registry_->Tick(may_remove);
  }
  ShareStatus status() const { return registry_->Share().status; }
  RegistryWrite last_write() const {
    return writes_.empty() ? RegistryWrite() : writes_.back();
  }

  fuzz::VirtualClock clock_;
  EventLog log_;
  std::vector<RegisteredEntry> stored_;
  uint64_t revision_ = 10;
  std::vector<RegistryWrite> writes_;
  std::unique_ptr<EntryRegistry> registry_;
};

const std::vector<RegisteredEntry> kOnlySelf = {
    {.name = "self", .revision = 9, .state = State::kSettled}};
const std::vector<RegisteredEntry> kSelfAndPeer = {
    {.name = "self", .revision = 8, .state = State::kSettled},
    {.name = "peer", .revision = 9, .state = State::kSettled}};

}  // namespace

BOOST_AUTO_TEST_CASE(EntryRegistersItself) {
  Fixture fixture;
  fixture.Advance(seconds(1));
  BOOST_TEST(fixture.writes_.empty());
  fixture.Read();
  fixture.Advance(seconds(1));
  BOOST_TEST((fixture.last_write().kind == RegistryWrite::Kind::kCreate));
  BOOST_TEST(fixture.last_write().entry.name == "self");
  fixture.Store("self", State::kNew);
  fixture.Read();
  fixture.Advance(seconds(2));
  BOOST_TEST((fixture.status() == ShareStatus::kUsable));
  BOOST_TEST((fixture.last_write().kind == RegistryWrite::Kind::kSetState));
  BOOST_TEST((fixture.last_write().entry.state == State::kSettled));
}

// Guards against an entry that uses a share of which the others do not know.
BOOST_AUTO_TEST_CASE(NewEntryWaitsUntilAllOthersCountIt) {
  Fixture fixture({{.name = "peer", .revision = 4, .state = State::kSettled},
                   {.name = "down", .revision = 5, .state = State::kSettled}});
  fixture.Store("self", State::kNew);
  const uint64_t registered = fixture.revision_;
  fixture.Start();
  fixture.Read();
  fixture.Advance(kWindow * 2);
  BOOST_TEST((fixture.status() == ShareStatus::kUnsettled));
  fixture.registry_->OnPeerBasis("peer", registered);
  fixture.Advance(kWindow);
  BOOST_TEST((fixture.status() == ShareStatus::kUnsettled));
  fixture.registry_->OnPeerBasis("down", registered - 1);
  fixture.Advance(kWindow);
  BOOST_TEST((fixture.status() == ShareStatus::kUnsettled));
  fixture.registry_->OnPeerBasis("down", registered);
  BOOST_TEST((fixture.status() == ShareStatus::kUsable));
  BOOST_TEST(fixture.registry_->Share().entries == 3U);
}

BOOST_AUTO_TEST_CASE(NewEntryBelievesACoordinatorThatAllCountIt) {
  Fixture fixture({{.name = "peer", .revision = 4, .state = State::kSettled}});
  fixture.Store("self", State::kNew);
  fixture.Start();
  fixture.Read();
  fixture.Advance(kWindow * 2);
  fixture.registry_->OnCountedByAll(fixture.revision_ - 1);
  BOOST_TEST((fixture.status() == ShareStatus::kUnsettled));
  fixture.registry_->OnCountedByAll(fixture.revision_);
  BOOST_TEST((fixture.status() == ShareStatus::kUsable));
}

// Guards against a share that an entry uses while a larger one, which another
// used before it counted this one, is in the same window.
BOOST_AUTO_TEST_CASE(BasisIsThatOfTheUseInTheWindow) {
  Fixture fixture(kOnlySelf);
  fixture.Read();
  BOOST_TEST(fixture.registry_->Basis() == 0U);
  fixture.Advance(kWindow);
  const uint64_t alone = fixture.revision_;
  BOOST_TEST(fixture.registry_->Basis() == alone);
  fixture.Store("peer", State::kNew);
  fixture.Read();
  BOOST_TEST(fixture.registry_->Share().entries == 2U);
  fixture.Advance(kWindow - milliseconds(1));
  BOOST_TEST(fixture.registry_->Basis() == alone);
  fixture.Advance(milliseconds(1));
  BOOST_TEST(fixture.registry_->Basis() == fixture.revision_);
}

// Guards against a new entry that counts on a restarted one whose former
// process may have used a larger share.
BOOST_AUTO_TEST_CASE(RestartedEntryHasNoBasisForAWindow) {
  Fixture fixture(kSelfAndPeer);
  fixture.Start();
  fixture.Read();
  BOOST_TEST((fixture.status() == ShareStatus::kUsable));
  BOOST_TEST(fixture.registry_->Share().fraction() == 0.5);
  fixture.Advance(kWindow - milliseconds(1));
  BOOST_TEST(fixture.registry_->Basis() == 0U);
  fixture.Advance(milliseconds(1));
  BOOST_TEST(fixture.registry_->Basis() == fixture.revision_);
}

// Guards against an entry that uses its share after it was removed, since it
// cannot read that.
BOOST_AUTO_TEST_CASE(ShareExpiresWithoutReads) {
  Fixture fixture(kSelfAndPeer);
  fixture.Read();
  fixture.Advance(minutes(5) - milliseconds(1));
  BOOST_TEST((fixture.status() == ShareStatus::kUsable));
  fixture.Advance(milliseconds(1));
  BOOST_TEST((fixture.status() == ShareStatus::kExpired));
  fixture.Read();
  BOOST_TEST((fixture.status() == ShareStatus::kUsable));
  fixture.registry_->OnFreeze();
  BOOST_TEST((fixture.status() == ShareStatus::kExpired));
}

// Guards against the removal of an entry that still uses its share.
BOOST_AUTO_TEST_CASE(SilentEntryIsAnnouncedBeforeItIsRemoved) {
  Fixture fixture(kSelfAndPeer);
  fixture.Read();
  fixture.Advance(minutes(9), /*may_remove=*/true);
  fixture.registry_->OnHeard("peer");
  fixture.Advance(minutes(9), /*may_remove=*/true);
  BOOST_TEST(fixture.writes_.empty());
  fixture.Advance(minutes(1), /*may_remove=*/true);
  BOOST_REQUIRE(fixture.writes_.size() == 1U);
  BOOST_TEST((fixture.last_write().kind == RegistryWrite::Kind::kSetState));
  BOOST_TEST((fixture.last_write().entry.state == State::kExpiring));

  fixture.Store("peer", State::kExpiring);
  fixture.Read();
  fixture.Advance(minutes(5), /*may_remove=*/true);
  BOOST_TEST(fixture.writes_.size() == 1U);
  BOOST_TEST(fixture.registry_->Share().entries == 2U);
  fixture.Advance(kWindow, /*may_remove=*/true);
  BOOST_REQUIRE(fixture.writes_.size() == 2U);
  BOOST_TEST((fixture.last_write().kind == RegistryWrite::Kind::kRemove));
  BOOST_TEST(fixture.last_write().entry.revision == fixture.revision_);
}

BOOST_AUTO_TEST_CASE(EntryObjectsToItsRemoval) {
  Fixture fixture(kSelfAndPeer);
  fixture.Read();
  fixture.Advance(kWindow);
  fixture.Store("self", State::kExpiring);
  fixture.Read();
  fixture.Advance(seconds(1));
  BOOST_TEST((fixture.last_write().entry ==
              RegisteredEntry{.name = "self",
                              .revision = fixture.revision_,
                              .state = State::kSettled}));
}

// Guards against announcements without end about an entry that objects.
BOOST_AUTO_TEST_CASE(EntryThatObjectedCountsAsHeardOf) {
  Fixture fixture(kSelfAndPeer);
  fixture.Read();
  fixture.Store("peer", State::kExpiring);
  fixture.Read();
  fixture.Advance(minutes(20), /*may_remove=*/false);
  fixture.Store("peer", State::kSettled);
  fixture.Read();
  fixture.Advance(minutes(9), /*may_remove=*/true);
  BOOST_TEST(fixture.writes_.empty());
}

// Guards against a removed entry that goes on as before when it returns.
BOOST_AUTO_TEST_CASE(RemovedEntryRegistersAnew) {
  Fixture fixture(kSelfAndPeer);
  fixture.Read();
  fixture.Advance(kWindow);
  BOOST_TEST((fixture.status() == ShareStatus::kUsable));
  fixture.Erase("self");
  fixture.Read();
  BOOST_TEST((fixture.status() == ShareStatus::kUnsettled));
  fixture.Advance(seconds(1));
  BOOST_TEST((fixture.last_write().kind == RegistryWrite::Kind::kCreate));
}

}  // namespace lavenderkeel
