#include "lavenderkeel/rollout/rollout_controller.h"

#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Harness {
  struct Written {
    uint64_t revision = 0;
    RolloutRecord record;
    std::function<void(const RecordWrite&)> done;
  };

  Harness() {
    std::vector<BackendServer> servers;
    for (const char* version : {"v1", "v2"}) {
      servers.push_back({.id = version,
                         .service = "plain",
                         .address = "10.0.0.1:1",
                         .version = version});
    }
    directory.ApplyList(servers, clock.Now());
    versions.SetBaseline("plain", "v1");
  }

  RolloutOrder Order(uint64_t revision) const {
    return {.name = "plain",
            .revision = revision,
            .created = 3,
            .service = "plain",
            .to = "v2",
            .duration = seconds(12)};
  }

  void Tick(bool decides = true) {
    rollouts.Tick({.decides = decides, .servers_listed = true});
  }

  RolloutPhase Phase() const { return rollouts.Plans().front().phase; }

  /// Reports answers of the new version all of which failed.
  void AddFailures() {
    RolloutCounts counts = {.order = KeyOf(Order(0)), .sent = 500};
    counts.baseline[1] = {.answered = 500};
    for (uint64_t server = 1; server <= 4; ++server) {
      counts.canary[{1, server}] = {.answered = 8, .failed = 8};
    }
    rollouts.OnCounts("other", counts);
  }

  fuzz::VirtualClock clock;
  EventLog log;
  ServerDirectory directory;
  ServiceVersions versions{directory};
  std::vector<Written> written;
  RolloutController rollouts{
      {},
      versions,
      clock,
      log,
      [this](const RolloutOrder& order,
             const RolloutRecord& record,
             const std::function<void(const RecordWrite&)>& done) {
        written.push_back(
            {.revision = order.revision, .record = record, .done = done});
      }};
};

using State = RolloutRecord::State;

}  // namespace

// Guards against an order that the operator sees without a state.
BOOST_AUTO_TEST_CASE(OrderIsRecordedAtOnce) {
  Harness harness;
  harness.rollouts.OnList({harness.Order(5)});
  harness.Tick();
  BOOST_REQUIRE(harness.written.size() == 1);
  BOOST_TEST((harness.written[0].record.state == State::kServing));
  BOOST_TEST(harness.written[0].record.from == "v1");
  BOOST_TEST(harness.written[0].revision == 5);
}

// Guards against entries that overwrite each other's records.
BOOST_AUTO_TEST_CASE(OnlyTheDecidingEntryWritesRecords) {
  Harness harness;
  harness.rollouts.OnList({harness.Order(5)});
  harness.AddFailures();
  harness.Tick(/*decides=*/false);
  BOOST_TEST(harness.written.empty());
  BOOST_TEST((harness.Phase() == RolloutPhase::kRolledBack));
}

// Guards against a rollback that is never recorded because the reply to its
// write was lost.
BOOST_AUTO_TEST_CASE(RecordIsWrittenAgainWithoutAReply) {
  Harness harness;
  harness.rollouts.OnList({harness.Order(5)});
  harness.Tick();
  harness.written[0].done(
      {.outcome = RecordWrite::Outcome::kDone, .revision = 8});
  harness.AddFailures();
  harness.Tick();
  harness.clock.Advance(seconds(1));
  harness.Tick();
  BOOST_REQUIRE(harness.written.size() == 3);
  BOOST_TEST((harness.written[2].record.state == State::kRolledBack));
  BOOST_TEST(harness.written[2].revision == 8);
}

// Guards against overriding the final state that another entry recorded.
BOOST_AUTO_TEST_CASE(RecordedEndOverridesTheLocalPhase) {
  Harness harness;
  harness.rollouts.OnList({harness.Order(5)});
  harness.Tick();
  RolloutOrder ended = harness.Order(9);
  ended.record = {.state = State::kRolledBack,
                  .to = "v2",
                  .from = "v1",
                  .duration = seconds(12),
                  .created = 3};
  harness.rollouts.OnOrder(ended);
  harness.clock.Advance(seconds(30));
  harness.Tick();
  BOOST_TEST((harness.Phase() == RolloutPhase::kRolledBack));
  BOOST_TEST(harness.written.size() == 1);
}

// Guards against a rolled-back version that is rolled out again after all
// entries restarted.
BOOST_AUTO_TEST_CASE(RecordedEndIsKeptAfterARestart) {
  Harness harness;
  RolloutOrder ended = harness.Order(9);
  ended.record = {.state = State::kRolledBack, .to = "v2", .from = "v1"};
  harness.rollouts.OnList({ended});
  harness.Tick();
  BOOST_TEST((harness.Phase() == RolloutPhase::kRolledBack));
  BOOST_TEST(harness.written.empty());
}

// Guards against an order that ends, or whose record is never written, because
// its object can't be read any more.
BOOST_AUTO_TEST_CASE(UnreadableOrderIsStillCarriedOut) {
  Harness harness;
  harness.rollouts.OnList({harness.Order(5)});
  harness.Tick();
  harness.rollouts.OnUnreadable({.name = "plain", .revision = 6});
  harness.rollouts.OnUnreadable({.name = "other", .revision = 7});
  BOOST_REQUIRE(harness.rollouts.Plans().size() == 1);
  harness.rollouts.OnList({}, {{.name = "plain", .revision = 8}});
  BOOST_REQUIRE(harness.rollouts.Plans().size() == 1);
  harness.AddFailures();
  harness.clock.Advance(seconds(1));
  harness.Tick();
  BOOST_TEST((harness.written.back().record.state == State::kRolledBack));
  BOOST_TEST(harness.written.back().revision == 8);
}

// Guards against an order that still routes requests after its removal.
BOOST_AUTO_TEST_CASE(WithdrawnOrderHasNoPlan) {
  Harness harness;
  harness.rollouts.OnList({harness.Order(5)});
  harness.Tick();
  harness.rollouts.OnRemoved("plain");
  BOOST_TEST(harness.rollouts.Plans().empty());
}

// Guards against moving traffic while the final state can't be written.
BOOST_AUTO_TEST_CASE(CanaryIsHeldWhileTheStoreIsUnavailable) {
  Harness harness;
  harness.rollouts.OnList({harness.Order(5)});
  RolloutCounts counts = {.order = KeyOf(harness.Order(0)), .sent = 1000};
  counts.baseline[1] = {.answered = 900, .timed = 900};
  counts.canary[{1, 1}] = {.answered = 40, .timed = 40};
  harness.rollouts.OnCounts("other", counts);
  harness.clock.Advance(seconds(9));
  harness.rollouts.Tick({.store_lost = true, .servers_listed = true});
  BOOST_TEST((harness.Phase() == RolloutPhase::kCanary));
  harness.rollouts.Tick({.servers_listed = true});
  BOOST_TEST((harness.Phase() == RolloutPhase::kRamp));
}

// Guards against moving all traffic to a version with a recent failure, and
// against rolling that version back before its comparison is conclusive.
BOOST_AUTO_TEST_CASE(ShiftWaitsPastTheEndForAsGoodAnswers) {
  Harness harness;
  harness.rollouts.OnList({harness.Order(5)});
  RolloutCounts counts = {.order = KeyOf(harness.Order(0)), .sent = 1000};
  counts.baseline[1] = {.answered = 900, .timed = 900};
  counts.canary[{1, 1}] = {.answered = 20, .timed = 20};
  harness.rollouts.OnCounts("other", counts);
  harness.clock.Advance(seconds(9));
  harness.Tick();
  BOOST_TEST((harness.Phase() == RolloutPhase::kRamp));
  counts.canary[{1, 1}] = {.answered = 140, .failed = 1, .timed = 140};
  counts.canary[{1, 2}] = {.answered = 1, .failed = 1, .timed = 1};
  harness.rollouts.OnCounts("other", counts);
  harness.clock.Advance(seconds(4));
  harness.Tick();
  BOOST_TEST((harness.Phase() == RolloutPhase::kRamp));
  counts.canary[{1, 1}] = {.answered = 240, .failed = 1, .timed = 240};
  harness.rollouts.OnCounts("other", counts);
  harness.Tick();
  BOOST_TEST((harness.Phase() == RolloutPhase::kShift));
}

// Guards against granting the slack again after all entries restarted.
BOOST_AUTO_TEST_CASE(ResumedRolloutGrantsNoSlackAgain) {
  Harness harness;
  harness.clock.Advance(seconds(20));
  RolloutOrder order = harness.Order(9);
  order.record = {.state = State::kServing,
                  .to = "v2",
                  .from = "v1",
                  .duration = seconds(12),
                  .created = 3,
                  .started = harness.clock.WallNow() - seconds(6)};
  harness.rollouts.OnList({order});
  harness.Tick();
  BOOST_TEST(harness.rollouts.Plans().front().share == 0);
  harness.rollouts.OnCounts(
      "other", {.order = KeyOf(order), .sent = 400, .sent_to_canary = 10});
  harness.Tick();
  BOOST_TEST(harness.rollouts.Plans().front().share > 0);
}

}  // namespace lavenderkeel
