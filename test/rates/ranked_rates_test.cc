#include "lavenderkeel/rates/ranked_rates.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <vector>

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kTeam = 7;
constexpr RankedRates::Bucket kEmpty = {.level = 0,
                                        .capacity = 20,
                                        .refill = 40};
const TimePoint kStart = TimePoint(std::chrono::hours(1));

RankedRates::Request SampleRequest(int rank, uint64_t id = 1) {
  return {.team = kTeam,
          .rank = rank,
          .id_hash = id,
          .deadline = kStart + seconds(10) + milliseconds(id * 100),
          .max_wait = seconds(3)};
}

}  // namespace

// Retries were refused again, because the same refill was promised to every
// client.
BOOST_AUTO_TEST_CASE(RefillIsPromisedOnce) {
  RankedRates rates({});
  Duration former{};
  // One entry alone promises three tenths of 40 units a second.
  constexpr Duration kPlace = milliseconds(83);
  constexpr Duration kSpread = milliseconds(100);
  for (uint64_t id = 1; id <= 20; ++id) {
    const RankedRates::Decision decision =
        rates.Decide(SampleRequest(2, id), kEmpty, 1, kStart);
    BOOST_TEST(!decision.admitted);
    BOOST_TEST(decision.promised);
    BOOST_TEST((decision.retry_after >= id * kPlace));
    BOOST_TEST((decision.retry_after <= (id + 1) * kPlace + kSpread));
    BOOST_TEST((decision.retry_after >= former - kSpread));
    former = decision.retry_after;
  }
  // An urgent client comes before them all.
  const RankedRates::Decision urgent =
      rates.Decide(SampleRequest(0, 99), kEmpty, 1, kStart);
  BOOST_TEST((urgent.retry_after < 2 * kPlace + kSpread));
}

// No refill may be kept for a client that cannot wait so long; it learns the
// true time.
BOOST_AUTO_TEST_CASE(PlaceBeyondTheClientsTimeIsNotKept) {
  RankedRates rates({});
  RankedRates::Request request = SampleRequest(1);
  request.max_wait = milliseconds(10);
  const RankedRates::Decision decision =
      rates.Decide(request, kEmpty, 1, kStart);
  BOOST_TEST(!decision.promised);
  BOOST_TEST((decision.retry_after >= milliseconds(50)));
  BOOST_TEST(
      rates.Decide(SampleRequest(1, 2), kEmpty, 1, kStart).promised_before ==
      0);
}

// New requests took the refill that was promised to a client that came back.
BOOST_AUTO_TEST_CASE(PromisedRefillIsHeldForTheClientThatIsBack) {
  RankedRates rates({});
  const RankedRates::Request first = SampleRequest(1);
  const RankedRates::Decision refused = rates.Decide(first, kEmpty, 1, kStart);
  const TimePoint back = kStart + refused.retry_after;
  const RankedRates::Bucket one = {.level = 1, .capacity = 20, .refill = 40};
  BOOST_TEST(!rates.Decide(SampleRequest(1, 50), one, 1, back).admitted);
  const RankedRates::Decision redeemed = rates.Decide(first, one, 1, back);
  BOOST_TEST(redeemed.redeemed);
  BOOST_TEST(redeemed.admitted);
}

// The units of a client that did not come back are free again.
BOOST_AUTO_TEST_CASE(PromiseToLostClientEnds) {
  RankedRates rates({});
  rates.Decide(SampleRequest(1), kEmpty, 1, kStart);
  const RankedRates::Bucket one = {.level = 1, .capacity = 20, .refill = 40};
  BOOST_TEST(
      rates.Decide(SampleRequest(1, 50), one, 1, kStart + seconds(2)).admitted);
  BOOST_TEST(rates.expired_promises() == 1U);
}

// The sum over all teams is bounded too: each could else keep hundreds.
BOOST_AUTO_TEST_CASE(PromisesOfAllTeamsAreBounded) {
  RankedRates rates({.max_promises = 10});
  int promised = 0;
  for (uint64_t team = 0; team < 100; ++team) {
    RankedRates::Request request = SampleRequest(1);
    request.team = team;
    promised += rates.Decide(request, kEmpty, 1, kStart).promised;
  }
  BOOST_TEST(promised == 10);
  // Once those are over, there is room again.
  BOOST_TEST(
      rates.Decide(SampleRequest(1), kEmpty, 1, kStart + seconds(9)).promised);
}

// Demand of others must count at once, but not what they counted long ago.
BOOST_AUTO_TEST_CASE(OnlyGrowthOfTotalsCountsAsDemand) {
  RankedRates rates({});
  rates.OnTotals("b", {{.team = kTeam, .rank = 0, .units = 1'000'000}}, kStart);
  const TimePoint next = kStart + milliseconds(100);
  BOOST_TEST(rates.Decide(SampleRequest(1), kEmpty, 2, next)
                 .inputs.more_urgent_demand == 0);
  rates.OnTotals("b", {{.team = kTeam, .rank = 0, .units = 1'000'003}}, next);
  BOOST_TEST(rates.Decide(SampleRequest(1), kEmpty, 2, next)
                 .inputs.more_urgent_demand > 5);
  // A sender that forgot the team begins again.
  rates.OnTotals("b", {{.team = kTeam, .rank = 0, .units = 1}}, next);
  BOOST_TEST(rates.Decide(SampleRequest(1), kEmpty, 2, next)
                 .inputs.more_urgent_demand < 15);
}

// With thousands of teams, reports of all of them would fill the links.
BOOST_AUTO_TEST_CASE(ReportsAreBoundedAndCompleteInTurn) {
  constexpr size_t kTeams = 1000;
  RankedRates rates({.max_reported = 256});
  for (uint64_t team = 0; team < kTeams; ++team) {
    RankedRates::Request request = SampleRequest(1);
    request.team = team;
    rates.Decide(request, kEmpty, 1, kStart);
  }
  std::set<uint64_t> reported;
  for (int report = 0; report < 4; ++report) {
    const DemandTotals totals = rates.TakeReport(kStart);
    BOOST_TEST(totals.size() <= 256U);
    for (const TeamRankDemand& total : totals) {
      reported.insert(total.team);
    }
  }
  BOOST_TEST(reported.size() == kTeams);
  BOOST_TEST(rates.TakeReport(kStart).empty());
}

// A team that has its rate to spare needs no reports.
BOOST_AUTO_TEST_CASE(NothingIsReportedWhileTheRateIsNotShort) {
  RankedRates rates({});
  rates.Decide(SampleRequest(1), {.level = 20, .capacity = 20, .refill = 40}, 1,
               kStart);
  BOOST_TEST(rates.TakeReport(kStart).empty());
}

// Whatever the load, nothing is admitted beyond the bucket, and a full bucket
// admits every rank.
BOOST_AUTO_TEST_CASE(DecisionsKeepTheBoundAndStarveNobody) {
  BOOST_TEST(rc::check([] {
    RankedRates rates({});
    TimePoint now = kStart;
    const double capacity = *rc::gen::inRange(0, 60);
    const double refill = *rc::gen::inRange(1, 100);
    const auto steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 300));
      const double units = *rc::gen::inRange(1, 40);
      const double level = capacity * *rc::gen::inRange(-100, 101) / 100.0;
      RankedRates::Request request =
          SampleRequest(*rc::gen::inRange(-1, 3), static_cast<uint64_t>(step));
      request.units = units;
      request.is_retry = *rc::gen::arbitrary<bool>();
      const RankedRates::Decision decision = rates.Decide(
          request, {.level = level, .capacity = capacity, .refill = refill}, 3,
          now);
      const double need = std::min(units, capacity);
      RC_ASSERT(!decision.admitted || level >= need);
      RC_ASSERT(decision.admitted || level < capacity);
      RC_ASSERT(decision.admitted || decision.retry_after > Duration::zero());
      rates.OnTotals(
          "b",
          {{.team = kTeam,
            .rank = *rc::gen::inRange(-1, 3),
            .units = static_cast<double>(*rc::gen::inRange(0, 1000))}},
          now);
    }
  }));
}

}  // namespace lavenderkeel
