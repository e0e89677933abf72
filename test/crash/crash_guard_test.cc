#include <boost/test/unit_test.hpp>

#include "lavenderkeel/crash.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using Kind = CrashDecision::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestFingerprint kRequest = 7;

struct Harness {
  explicit Harness(size_t rank = 0)
      : guard({}, clock, log, metrics, [rank](RequestFingerprint) {
          return rank;
        }) {}

  /// The request ends so many servers, one after the other.
  void Lose(int servers) {
    for (int i = 0; i < servers; ++i) {
      const TimePoint sent = clock.Now();
      clock.Advance(milliseconds(50));
      guard.OnServerLost(kRequest, ++last_server, sent);
      clock.Advance(milliseconds(50));
    }
  }
  Kind Decide(bool equal_runs = false) {
    return guard.Decide(kRequest, [equal_runs] { return equal_runs; }).kind;
  }

  fuzz::VirtualClock clock;
  EventLog log;
  Metrics metrics;
  CrashGuard guard;
  uint64_t last_server = 0;
};

void Tell(Harness& from, Harness& to) {
  to.guard.OnNews(
      ToWire(from.guard.TakeNews(), /*complete=*/false, from.clock.Now()),
      /*pass_on=*/false);
}

}  // namespace

BOOST_AUTO_TEST_CASE(DoubtfulRequestRunsAlone) {
  Harness harness;
  harness.Lose(1);
  BOOST_CHECK(harness.Decide(/*equal_runs=*/true) == Kind::kRun);
  harness.Lose(1);
  BOOST_CHECK(harness.Decide(/*equal_runs=*/true) == Kind::kWait);
  BOOST_CHECK(harness.Decide() == Kind::kRun);
}

BOOST_AUTO_TEST_CASE(BlockedRequestIsToldWhenToComeBack) {
  Harness harness;
  harness.Lose(3);
  const CrashDecision decision =
      harness.guard.Decide(kRequest, [] { return false; });
  BOOST_CHECK(decision.kind == Kind::kRefuse);
  BOOST_CHECK(decision.retry_after > seconds(55));
  harness.clock.Advance(decision.retry_after);
  BOOST_CHECK(harness.Decide() == Kind::kRun);
  harness.guard.OnSurvived(kRequest);
  BOOST_CHECK(harness.Decide(/*equal_runs=*/true) == Kind::kRun);
}

// Guards against: all entries that test a blocked request at the same moment.
BOOST_AUTO_TEST_CASE(EntriesTestABlockedRequestInTurn) {
  Harness harness(/*rank=*/2);
  harness.Lose(3);
  harness.clock.Advance(seconds(61));
  BOOST_CHECK(harness.Decide() == Kind::kRefuse);
  harness.clock.Advance(seconds(2));
  BOOST_CHECK(harness.Decide() == Kind::kRun);
}

// Guards against: entries that each let a run show what one run shows.
BOOST_AUTO_TEST_CASE(OthersWaitForWhatATrialShows) {
  Harness first;
  Harness other(/*rank=*/1);
  first.Lose(3);
  other.clock.Set(first.clock.Now());
  Tell(first, other);
  for (Harness* harness : {&first, &other}) {
    harness->clock.Advance(seconds(61));
  }
  BOOST_CHECK(first.Decide() == Kind::kRun);
  BOOST_CHECK(other.Decide() == Kind::kRefuse);
  first.guard.OnSent(kRequest);
  Tell(first, other);
  other.clock.Advance(seconds(2));
  BOOST_CHECK(other.Decide() == Kind::kRefuse);
  // It showed nothing; the next may try.
  other.clock.Advance(seconds(7));
  BOOST_CHECK(other.Decide() == Kind::kRefuse);
  other.clock.Advance(seconds(1));
  BOOST_CHECK(other.Decide() == Kind::kRun);
}

BOOST_AUTO_TEST_CASE(EntryThatJoinsWaitsForTheOthers) {
  Harness harness;
  harness.guard.Join();
  BOOST_CHECK(harness.Decide() == Kind::kWait);
  harness.guard.OnNews(ToWire({}, /*complete=*/true, harness.clock.Now()),
                       /*pass_on=*/false);
  BOOST_CHECK(harness.Decide() == Kind::kRun);
  harness.guard.Join();
  harness.clock.Advance(seconds(1));
  BOOST_CHECK(harness.Decide() == Kind::kRun);
}

// Guards against: the answer of a server that started again under its id, taken
// for that of the one that was lost.
BOOST_AUTO_TEST_CASE(ServerThatAcceptedNoConnectionDoesNotLiveOn) {
  Harness harness;
  harness.Lose(3);
  harness.guard.OnServerUnreachable(3);
  harness.clock.Advance(seconds(2));
  harness.guard.OnServerAnswered(3, harness.clock.Now());
  harness.guard.OnServerAnswered(2, harness.clock.Now());
  BOOST_CHECK(harness.guard.StandingOf(kRequest) == CrashStanding::kDoubtful);
}

// Guards against: a request that is forgotten where it does not come, and comes
// there again.
BOOST_AUTO_TEST_CASE(OthersHearThatABlockedRequestStillComes) {
  Harness harness;
  harness.Lose(3);
  harness.guard.TakeNews();
  harness.guard.OnArrival(kRequest);
  BOOST_TEST(harness.guard.TakeNews().empty());
  harness.clock.Advance(std::chrono::minutes(3));
  harness.guard.OnArrival(kRequest);
  const std::vector<CrashReport> news = harness.guard.TakeNews();
  BOOST_REQUIRE(news.size() == 1U);
  BOOST_CHECK(news.front().kind == CrashReport::Kind::kComesAgain);
}

}  // namespace lavenderkeel
