#include "lavenderkeel/rates/rank_demand.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

/// Adds a load of ten requests a second here, twenty elsewhere.
void AddLoad(RankDemand& demand, int rank, TimePoint from, Duration length) {
  for (Duration at{}; at < length; at += milliseconds(100)) {
    demand.OnRequest(rank, 1, from + at);
    demand.OnReported(rank, 2, from + at);
  }
}

}  // namespace

// The reserve must be right soon after the start of a load.
BOOST_AUTO_TEST_CASE(DemandIsKnownSoonAfterTheStart) {
  for (const Duration length :
       {milliseconds(500), milliseconds(1500), milliseconds(6000)}) {
    RankDemand demand;
    AddLoad(demand, 0, kStart, length);
    const RankDemand::Rates rates = demand.RatesFor(2, kStart + length);
    BOOST_TEST(rates.more_urgent > 24);
    BOOST_TEST(rates.more_urgent < 36);
    BOOST_TEST(demand.RatesFor(0, kStart + length).more_urgent == 0);
    BOOST_TEST(demand.RatesFor(0, kStart + length).rank == rates.more_urgent);
  }
}

// Refill kept back for a demand that has ended is lost to the others.
BOOST_AUTO_TEST_CASE(DemandIsForgottenAtRest) {
  RankDemand demand;
  AddLoad(demand, 0, kStart, seconds(5));
  BOOST_TEST(demand.RatesFor(1, kStart + seconds(8)).more_urgent < 3);
  BOOST_TEST(demand.RatesFor(1, kStart + seconds(11)).more_urgent == 0);
}

// Each entry promises its own part of the refill.
BOOST_AUTO_TEST_CASE(ShareOfThisEntryFollowsFromDemand) {
  RankDemand demand;
  BOOST_TEST(demand.RatesFor(0, kStart).own_share == 0);
  AddLoad(demand, 0, kStart, seconds(4));
  const double share = demand.RatesFor(0, kStart + seconds(4)).own_share;
  BOOST_TEST(share > 0.25);
  BOOST_TEST(share < 0.42);
}

// A configuration may have any number of priorities.
BOOST_AUTO_TEST_CASE(NumberOfRanksIsBounded) {
  RankDemand demand;
  for (int rank = 0; rank < 1000; ++rank) {
    demand.OnRequest(rank, 1, kStart);
  }
  BOOST_TEST(demand.RatesFor(1000, kStart).more_urgent > 0);
  BOOST_TEST(demand.RatesFor(500, kStart).rank == 0);
}

}  // namespace lavenderkeel
