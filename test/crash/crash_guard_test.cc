#include <boost/test/unit_test.hpp>

#include "lavenderkeel/crash.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using Kind = CrashDecision::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

const RequestTraits kRequest = {.fingerprint = 7};

struct Harness {
  explicit Harness(size_t rank = 0)
      : guard({}, clock, log, metrics, [rank](uint64_t) { return rank; }) {}

  /// Simulates that the request crashes this many servers, one after the other.
  void LoseServers(int servers) {
    for (int i = 0; i < servers; ++i) {
      const TimePoint sent = clock.Now();
      clock.Advance(milliseconds(50));
      guard.OnServerLost(
          {.request = kRequest, .server = ++last_server, .sent = sent});
      clock.Advance(milliseconds(50));
    }
  }
  Kind Decide(bool equal_runs = false) {
    return guard
        .Decide(kRequest, [equal_runs](const Suspect&) { return equal_runs; })
        .kind;
  }

  fuzz::VirtualClock clock;
  EventLog log;
  Metrics metrics;
  CrashGuard guard;
  uint64_t last_server = 0;
};

void SendReports(Harness& from, Harness& to) {
  to.guard.OnReports(
      ToWire(from.guard.TakeNewReports(), /*complete=*/false, from.clock.Now()),
      {.pass_on = false});
}

}  // namespace

// Guards against a doubtful request that runs at the same time as an equal one,
// so that both could crash a server.
BOOST_AUTO_TEST_CASE(DoubtfulRequestRunsAlone) {
  Harness harness;
  harness.LoseServers(1);
  BOOST_CHECK(harness.Decide(/*equal_runs=*/true) == Kind::kRun);
  harness.LoseServers(1);
  BOOST_CHECK(harness.Decide(/*equal_runs=*/true) == Kind::kWait);
  BOOST_CHECK(harness.Decide() == Kind::kRun);
}

// Guards against a blocked request that callers retry at once, or that is never
// tested again.
BOOST_AUTO_TEST_CASE(RefusalOfABlockedRequestHasARetryDelay) {
  Harness harness;
  harness.LoseServers(3);
  const CrashDecision decision =
      harness.guard.Decide(kRequest, [](const Suspect&) { return false; });
  BOOST_CHECK(decision.kind == Kind::kRefuse);
  BOOST_CHECK(decision.retry_after > seconds(55));
  harness.clock.Advance(decision.retry_after);
  BOOST_CHECK(harness.Decide() == Kind::kRun);
  harness.guard.OnServerSurvived({.request = kRequest});
  BOOST_CHECK(harness.Decide(/*equal_runs=*/true) == Kind::kRun);
}

// Guards against entries that all test a blocked request at the same moment.
BOOST_AUTO_TEST_CASE(EntriesTestABlockedRequestSequentially) {
  Harness harness(/*rank=*/2);
  harness.LoseServers(3);
  harness.clock.Advance(seconds(61));
  BOOST_CHECK(harness.Decide() == Kind::kRefuse);
  harness.clock.Advance(seconds(2));
  BOOST_CHECK(harness.Decide() == Kind::kRun);
}

// Guards against trial runs at several entries, each of which could lose a
// server, where the result of one is enough.
BOOST_AUTO_TEST_CASE(OtherEntriesWaitForATrialResult) {
  Harness first;
  Harness other(/*rank=*/1);
  first.LoseServers(3);
  other.clock.Set(first.clock.Now());
  SendReports(first, other);
  for (Harness* harness : {&first, &other}) {
    harness->clock.Advance(seconds(61));
  }
  BOOST_CHECK(first.Decide() == Kind::kRun);
  BOOST_CHECK(other.Decide() == Kind::kRefuse);
  first.guard.OnSent(kRequest);
  SendReports(first, other);
  other.clock.Advance(seconds(2));
  BOOST_CHECK(other.Decide() == Kind::kRefuse);
  // The trial has no result; the next entry may try.
  other.clock.Advance(seconds(7));
  BOOST_CHECK(other.Decide() == Kind::kRefuse);
  other.clock.Advance(seconds(1));
  BOOST_CHECK(other.Decide() == Kind::kRun);
}

// Guards against a newly started entry that runs poison requests before it has
// the reports of another.
BOOST_AUTO_TEST_CASE(JoiningEntryWaitsForEvidence) {
  Harness harness;
  harness.guard.Join();
  BOOST_CHECK(harness.Decide() == Kind::kWait);
  harness.guard.OnReports(ToWire({}, /*complete=*/true, harness.clock.Now()),
                          {.pass_on = false});
  BOOST_CHECK(harness.Decide() == Kind::kRun);
  harness.guard.Join();
  harness.clock.Advance(seconds(1));
  BOOST_CHECK(harness.Decide() == Kind::kRun);
}

// Guards against removing the loss of a server because its restarted successor
// with the same id answers.
BOOST_AUTO_TEST_CASE(AnswerOfARestartedServerDoesNotVoidTheLoss) {
  Harness harness;
  harness.LoseServers(3);
  harness.guard.OnServerUnreachable(3);
  harness.clock.Advance(seconds(2));
  harness.guard.OnServerAnswered(3, harness.clock.Now());
  harness.guard.OnServerAnswered(2, harness.clock.Now());
  BOOST_CHECK(harness.guard.SuspicionOf(kRequest) == CrashSuspicion::kDoubtful);
}

// Guards against a crash that looks like the end of an answer, since the answer
// ends with its connection.
BOOST_AUTO_TEST_CASE(AnswerThatEndsWithItsServerCountsAsLost) {
  Harness harness;
  for (uint64_t server = 1; server <= 3; ++server) {
    const TimePoint sent = harness.clock.Now();
    harness.clock.Advance(milliseconds(50));
    harness.guard.OnConnectionEnded(
        {.request = kRequest, .server = server, .sent = sent});
    harness.clock.Advance(milliseconds(50));
    harness.guard.OnServerUnreachable(server);
  }
  BOOST_CHECK(harness.guard.SuspicionOf(kRequest) == CrashSuspicion::kBlocked);
}

// Guards against a crash that is missed since too many other answers ended with
// their connections before it was noticed.
BOOST_AUTO_TEST_CASE(AnswersOfManyServersAreNotForgotten) {
  constexpr uint64_t kOthers = 2000;
  const RequestTraits other = {.fingerprint = 8};
  Harness harness;
  for (uint64_t server = 1; server <= 3; ++server) {
    const TimePoint sent = harness.clock.Now();
    harness.clock.Advance(milliseconds(50));
    harness.guard.OnConnectionEnded(
        {.request = kRequest, .server = server, .sent = sent});
    for (uint64_t i = 0; i < kOthers; ++i) {
      harness.guard.OnConnectionEnded(
          {.request = other, .server = 100 + i, .sent = sent});
    }
    harness.clock.Advance(milliseconds(50));
    harness.guard.OnServerUnreachable(server);
  }
  BOOST_CHECK(harness.guard.SuspicionOf(kRequest) == CrashSuspicion::kBlocked);
}

// Guards against blaming an answer for a server that ended later.
BOOST_AUTO_TEST_CASE(AnswerLongBeforeTheLossOfItsServerCountsForNothing) {
  Harness harness;
  harness.guard.OnConnectionEnded(
      {.request = kRequest, .server = 1, .sent = harness.clock.Now()});
  harness.clock.Advance(seconds(5));
  harness.guard.OnServerUnreachable(1);
  BOOST_CHECK(harness.guard.SuspicionOf(kRequest) == CrashSuspicion::kClear);
}

// Guards against forgetting a blocked request at entries where it doesn't
// arrive at present, but may arrive again.
BOOST_AUTO_TEST_CASE(ArrivalOfABlockedRequestIsReported) {
  Harness harness;
  harness.LoseServers(3);
  harness.guard.TakeNewReports();
  harness.guard.OnRequestArrived(kRequest);
  BOOST_TEST(harness.guard.TakeNewReports().empty());
  harness.clock.Advance(std::chrono::minutes(3));
  harness.guard.OnRequestArrived(kRequest);
  const std::vector<CrashReport> reports = harness.guard.TakeNewReports();
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_CHECK(reports.front().kind == CrashReport::Kind::kRequestArrived);
}

}  // namespace lavenderkeel
