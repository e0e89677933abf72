#include "lavenderkeel/forward/request_age_estimator.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the time left of a first attempt: clients wait some ten seconds.
Duration FirstAttemptTimeLeft(std::mt19937& random) {
  return milliseconds(std::uniform_int_distribution(8500, 10'000)(random));
}

}  // namespace

// Half of the requests are refused after two seconds and come back. Guards
// against missing such a request and against taking a first attempt for one.
BOOST_AUTO_TEST_CASE(RequestsThatComeBackAreDetected) {
  std::mt19937 random(1);
  RequestAgeEstimator age;
  for (int i = 0; i < 200; ++i) {
    const Duration first = FirstAttemptTimeLeft(random);
    BOOST_TEST(age.OnRequest(first).count() == 0);
    const Duration estimated_age = age.OnRequest(first - milliseconds(2500));
    if (i > 20) {
      BOOST_TEST(estimated_age.count() > Duration(milliseconds(1500)).count());
      BOOST_TEST(estimated_age.count() < Duration(milliseconds(4200)).count());
    }
  }
}

// A few clients wait three times as long as the others. Guards against taking
// their time for the reference, by which all others would count as coming back.
BOOST_AUTO_TEST_CASE(FewPatientClientsDoNotChangeTheReference) {
  std::mt19937 random(1);
  RequestAgeEstimator age;
  age.OnRequest(seconds(30));
  int taken_for_repeats = 0;
  for (int i = 0; i < 400; ++i) {
    taken_for_repeats +=
        age.OnRequest(FirstAttemptTimeLeft(random)) > Duration::zero();
    if (i % 25 == 0) {
      age.OnRequest(seconds(30));
    }
  }
  BOOST_TEST(taken_for_repeats < 25);
}

}  // namespace lavenderkeel
