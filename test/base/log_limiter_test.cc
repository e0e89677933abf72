#include "lavenderkeel/base/log_limiter.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

// Guards against unbounded logging: a flood of rejected requests logs three
// lines each. The log keeps to its rate and reports how many lines it dropped.
BOOST_AUTO_TEST_CASE(LogRateIsLimitedAndDropsAreCounted) {
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
