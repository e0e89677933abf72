#include "lavenderkeel/pace/relative_pace.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Pace with samples at a steady rate.
struct SteadyPace {
  void Add(double sample, Duration duration, bool probe = false) {
    constexpr Duration kGap = milliseconds(20);
    for (const TimePoint end = now + duration; now < end; now += kGap) {
      pace.Add(sample, probe, now);
    }
  }

  RelativePace pace;
  TimePoint now;
};

constexpr double kSlowness = 5;

}  // namespace

// If the last measured pace lasted without samples, a server that was slow once
// would never be used again.
BOOST_AUTO_TEST_CASE(SlownessIsForgottenWithoutSamples) {
  SteadyPace steady;
  steady.Add(1, seconds(12));
  steady.Add(kSlowness, seconds(2));
  BOOST_TEST(steady.pace.At(steady.now) > kSlowness / 2);
  BOOST_TEST(steady.pace.IsSlow(steady.now));
  BOOST_TEST(steady.pace.At(steady.now + seconds(6)) < 1.1);
  BOOST_TEST(!steady.pace.IsSlow(steady.now + seconds(6)));
}

// A server that is always slow must not look like a recovered one whenever it
// has had no requests for some seconds.
BOOST_AUTO_TEST_CASE(UsualSlownessIsKept) {
  SteadyPace steady;
  steady.Add(3, seconds(12));
  BOOST_TEST(steady.pace.At(steady.now + seconds(60)) > 2.9);
  BOOST_TEST(!steady.pace.IsSlow(steady.now));
}

// Some slow seconds soon after the start of a scheduler must not become the
// usual pace of the server.
BOOST_AUTO_TEST_CASE(SlowSecondsAreNotUsual) {
  SteadyPace steady;
  steady.Add(1, seconds(12));
  steady.Add(kSlowness, seconds(7));
  BOOST_TEST(steady.pace.IsSlow(steady.now));
  constexpr Duration kProbeGap = milliseconds(100);
  for (int probe = 0; probe < 5; ++probe) {
    steady.now += kProbeGap;
    steady.pace.Add(1, /*probe=*/true, steady.now);
  }
  BOOST_TEST(!steady.pace.IsSlow(steady.now));
  steady.Add(1, seconds(1));
  BOOST_TEST(steady.pace.At(steady.now) < 1.1);
}

// The first samples of equal servers differ by chance, and the fastest by
// chance would get all requests.
BOOST_AUTO_TEST_CASE(FewSamplesDoNotMakeADifference) {
  RelativePace pace;
  TimePoint now;
  for (int sample = 0; sample < 6; ++sample) {
    now += milliseconds(200);
    pace.Add(1.2, /*probe=*/false, now);
  }
  BOOST_TEST(pace.At(now) == 1);
}

}  // namespace lavenderkeel
