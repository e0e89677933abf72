#include "lavenderkeel/base/log_limiter.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

// A flood of refused requests logs three lines each. The log keeps to its rate,
// and says afterwards how many lines it left out.
BOOST_AUTO_TEST_CASE(LogKeepsToItsRateAndCountsWhatItDrops) {
  LogLimiter limiter({.lines_per_second = 10, .burst = 2});
  const TimePoint start = TimePoint(std::chrono::hours(1));
  BOOST_TEST(limiter.Take(start));
  BOOST_TEST(limiter.Take(start));
  BOOST_TEST(!limiter.Take(start));
  BOOST_TEST(!limiter.Take(start));
  BOOST_TEST(limiter.TakeDropped() == 2U);
  BOOST_TEST(limiter.TakeDropped() == 0U);
  BOOST_TEST(limiter.Take(start + std::chrono::milliseconds(100)));
}

}  // namespace lavenderkeel
