#include "lavenderkeel/rollout/version_selector.h"

#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Harness {
  Harness() {
    std::vector<BackendServer> servers;
    for (const char* version : {"v1", "v2"}) {
      servers.push_back({.id = version,
                         .service = "plain",
                         .address = "10.0.0.1:1",
                         .version = version,
                         .slots = 4});
    }
    directory.ApplyList(servers, clock.Now());
  }

  void SetPlan(RolloutPhase phase,
               double share = 0.05,
               const std::string& from = "v1") {
    selector.OnPlans({{.order = 9,
                       .service = "plain",
                       .to = "v2",
                       .from = from,
                       .phase = phase,
                       .share = share}});
  }

  /// Sends this many requests and returns how many preferred the canary.
  int CountCanary(int requests) {
    int chosen = 0;
    for (int i = 0; i < requests; ++i) {
      const VersionSelector::Choice choice =
          selector.Choose("plain", "route", /*fresh=*/true);
      const bool canary = !choice.canary.empty();
      chosen += canary ? 1 : 0;
      VersionSelector::Attempt attempt = selector.OnSent(
          "plain", "route", *directory.Find(canary ? "v2" : "v1"), 0, true);
      selector.OnAttemptEnd("plain", attempt);
    }
    return chosen;
  }

  fuzz::VirtualClock clock;
  EventLog log;
  ServerDirectory directory;
  VersionSelector selector{
      {.bounds = {.enabled = true, .share = 0.1, .slack = 50}},
      directory,
      clock,
      log};
};

}  // namespace

// Guards against requests to a version that an order has ruled out while this
// entry has not received the orders' plans yet.
BOOST_AUTO_TEST_CASE(NothingIsSentBeforeTheOrdersAreKnown) {
  Harness harness;
  BOOST_TEST(!harness.selector.known());
  harness.selector.OnPlans({});
  BOOST_TEST(harness.selector.known());
}

// Guards against a canary that uses more than its fraction of the exposure
// limit.
BOOST_AUTO_TEST_CASE(CanaryStaysWithinTheExposureLimit) {
  Harness harness;
  harness.SetPlan(RolloutPhase::kCanary);
  const int few = harness.CountCanary(100);
  BOOST_TEST(few > 0);
  BOOST_TEST(few + harness.CountCanary(900) <= 0.5 * (0.1 * 1000 + 50));
}

// Guards against an entry that receives no more plans and keeps sending to a
// version that was rolled back meanwhile.
BOOST_AUTO_TEST_CASE(ExpiredPlanDoesNotAdmitTheNewVersion) {
  Harness harness;
  harness.SetPlan(RolloutPhase::kShift);
  BOOST_TEST(harness.selector.Admits("plain", "v2"));
  harness.clock.Advance(seconds(2));
  BOOST_TEST(!harness.selector.Admits("plain", "v2"));
  BOOST_TEST((harness.selector.Choose("plain", "route", true) ==
              VersionSelector::Choice{.version = "v1"}));
}

// Guards against a request that uses a slot after the rollback because the slot
// was granted before.
BOOST_AUTO_TEST_CASE(RolledBackVersionIsNotAdmitted) {
  Harness harness;
  harness.SetPlan(RolloutPhase::kShift);
  harness.SetPlan(RolloutPhase::kRolledBack);
  BOOST_TEST(!harness.selector.Admits("plain", "v2"));
  // A plan of another deciding entry that has seen fewer failures.
  harness.SetPlan(RolloutPhase::kCanary);
  BOOST_TEST(!harness.selector.Admits("plain", "v2"));
  BOOST_TEST(harness.CountCanary(100) == 0);
}

// Guards against a retry at the new version of a request that has already
// failed once.
BOOST_AUTO_TEST_CASE(RepeatedRequestsStayAtTheOldVersion) {
  Harness harness;
  harness.SetPlan(RolloutPhase::kRamp, 1.0);
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(harness.selector.Choose("plain", "route", /*fresh=*/false)
                   .canary.empty());
  }
}

// Guards against slots that are acquired for the chosen version, returned as
// not admitted and acquired again in an endless loop.
BOOST_AUTO_TEST_CASE(ChosenVersionIsAdmitted) {
  using Phase = RolloutPhase;
  for (const Phase phase : {Phase::kCanary, Phase::kRamp, Phase::kShift,
                            Phase::kRolledBack, Phase::kCompleted}) {
    for (const char* from : {"v1", ""}) {
      Harness harness;
      harness.SetPlan(phase, /*share=*/0.3, from);
      for (const Duration elapsed : {Duration(), Duration(seconds(2))}) {
        harness.clock.Advance(elapsed);
        const VersionSelector::Choice choice =
            harness.selector.Choose("plain", "route", /*fresh=*/true);
        BOOST_TEST(!choice.version.empty());
        BOOST_TEST(harness.selector.Admits("plain", choice.version));
      }
    }
  }
}

// Guards against admitting the new version when the deciding entry has no
// server list and names no old version.
BOOST_AUTO_TEST_CASE(PlanWithoutAnOldVersionDoesNotAdmitTheNewOne) {
  Harness harness;
  harness.SetPlan(RolloutPhase::kCanary, /*share=*/0, /*from=*/"");
  BOOST_TEST(harness.selector.Choose("plain", "route", true).version == "v1");
  harness.SetPlan(RolloutPhase::kRolledBack, /*share=*/0, /*from=*/"");
  harness.directory.Remove("v1", harness.clock.Now());
  BOOST_TEST(!harness.selector.Admits("plain", "v2"));
}

// Guards against requests to old servers that stop after completion.
BOOST_AUTO_TEST_CASE(OldVersionIsNotUsedAfterCompletion) {
  Harness harness;
  harness.SetPlan(RolloutPhase::kCompleted);
  BOOST_TEST(!harness.selector.Admits("plain", "v1"));
  harness.clock.Advance(seconds(5));
  BOOST_TEST(harness.selector.Admits("plain", "v2"));
}

// Guards against counting an attempt that was silent for too long as a failure:
// a stream at slow hardware falls silent at any version.
BOOST_AUTO_TEST_CASE(SilentAttemptCountsAsSlow) {
  Harness harness;
  harness.SetPlan(RolloutPhase::kRamp, /*share=*/0.3);
  VersionSelector::Attempt attempt = harness.selector.OnSent(
      "plain", "route", *harness.directory.Find("v2"), 0, /*fresh=*/true);
  harness.selector.OnSilent("plain", attempt);
  harness.selector.OnSilent("plain", attempt);
  const std::vector<RolloutCounts> report = harness.selector.Report();
  BOOST_REQUIRE(report.size() == 1);
  BOOST_REQUIRE(report[0].canary.size() == 1);
  BOOST_TEST((report[0].canary.begin()->second ==
              AnswerCounts{.timed = 1, .slow = 1}));
}

}  // namespace lavenderkeel
