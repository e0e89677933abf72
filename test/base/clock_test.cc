#include "lavenderkeel/base/clock.h"

#include <boost/test/unit_test.hpp>
#include <limits>

namespace lavenderkeel {

BOOST_AUTO_TEST_CASE(NumbersAreConvertedToDurations) {
  BOOST_CHECK(FromSeconds(1.5) == std::chrono::milliseconds(1500));
  BOOST_CHECK(FromMilliseconds(0.25) == std::chrono::microseconds(250));
  BOOST_CHECK(FromMilliseconds(-300) == std::chrono::milliseconds(-300));
}

// Guards against durations that overflow, also when they are added to a time.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeSaturate) {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  for (const double huge : {1e18, 1e300, kInfinity}) {
    BOOST_CHECK(FromSeconds(huge) == kMaxDuration);
    BOOST_CHECK(FromMilliseconds(-huge) == -kMaxDuration);
  }
  BOOST_CHECK(FromSeconds(std::numeric_limits<double>::quiet_NaN()) ==
              Duration::zero());
  const TimePoint now = SystemClock().Now();
  BOOST_CHECK(now + kMaxDuration - kMaxDuration == now);
}

}  // namespace lavenderkeel
