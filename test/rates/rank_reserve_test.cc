#include "lavenderkeel/rates/rank_reserve.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

RankReserve::Inputs SampleInputs() {
  return {.level = 20,
          .capacity = 20,
          .refill = 40,
          .need = 1,
          .more_urgent_demand = 10,
          .rank_demand = 100,
          .all_but_last_demand = 10};
}

}  // namespace

// The most urgent rank must not wait for a reserve.
BOOST_AUTO_TEST_CASE(MostUrgentRankSeesNoReserve) {
  RankReserve::Inputs inputs = SampleInputs();
  inputs.more_urgent_demand = 0;
  inputs.level = 1;
  BOOST_TEST((RankReserve({}).For(inputs) == RankReserve::Result{}));
}

// Less urgent requests took the last unit that urgent ones needed soon after.
BOOST_AUTO_TEST_CASE(UrgentDemandOfTheHorizonIsKeptBack) {
  RankReserve::Inputs inputs = SampleInputs();
  inputs.level = 5.5;
  const RankReserve::Result result = RankReserve({}).For(inputs);
  BOOST_TEST(result.reserve == 5);
  BOOST_TEST(result.admitted_part == 0);
}

// A rank would starve if the reserve were larger than the bucket.
BOOST_AUTO_TEST_CASE(FullBucketAdmitsEveryRank) {
  for (const double need : {0.5, 1.0, 19.0, 20.0}) {
    RankReserve::Inputs inputs = SampleInputs();
    inputs.need = need;
    inputs.more_urgent_demand = 1000;
    inputs.all_but_last_demand = 1000;
    inputs.held = 1000;
    BOOST_TEST(RankReserve({}).For(inputs).admitted_part == 1);
  }
}

// If all entries admitted everything above the reserve, they would together
// overdraw the bucket before they learn of each other.
BOOST_AUTO_TEST_CASE(AdmittedPartGrowsWithLevel) {
  RankReserve::Inputs inputs = SampleInputs();
  double former = 0;
  for (double level = 6.5; level < 19; level += 0.5) {
    inputs.level = level;
    const double part = RankReserve({}).For(inputs).admitted_part;
    BOOST_TEST(part >= former);
    former = part;
  }
  inputs.level = 7;
  // Less than the refill that is left to the rank.
  BOOST_TEST(RankReserve({}).For(inputs).admitted_part * inputs.rank_demand <
             RankReserve::RefillLeft(inputs));
}

// With several ranks in a small bucket, the middle one must still see less of
// a reserve than the last one.
BOOST_AUTO_TEST_CASE(ReservesStayInOrderInSmallBucket) {
  RankReserve::Inputs middle = SampleInputs();
  middle.capacity = 5;
  middle.level = 5;
  middle.more_urgent_demand = 20;
  middle.all_but_last_demand = 60;
  RankReserve::Inputs last = middle;
  last.more_urgent_demand = 60;
  BOOST_TEST(RankReserve({}).For(middle).reserve * 2 <
             RankReserve({}).For(last).reserve);
}

// Without any capacity, no division may fail.
BOOST_AUTO_TEST_CASE(EmptyBucketIsDecided) {
  const RankReserve::Result result = RankReserve({}).For({});
  BOOST_TEST(result.admitted_part == 1);
}

}  // namespace lavenderkeel
