#include "lavenderkeel/forward/client_age.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A client that has not been refused yet waits some ten seconds.
Duration FirstTime(std::mt19937& random) {
  return milliseconds(std::uniform_int_distribution(8500, 10'000)(random));
}

}  // namespace

// Half of the requests are refused after two seconds and come back. Each of
// those is known for what it is, and no first attempt is taken for one.
BOOST_AUTO_TEST_CASE(ClientsThatComeBackAreKnown) {
  std::mt19937 random(1);
  ClientAge age;
  for (int i = 0; i < 200; ++i) {
    const Duration first = FirstTime(random);
    BOOST_TEST(age.OnRequest(first).count() == 0);
    const Duration known = age.OnRequest(first - milliseconds(2500));
    if (i > 20) {
      BOOST_TEST(known.count() > Duration(milliseconds(1500)).count());
      BOOST_TEST(known.count() < Duration(milliseconds(4200)).count());
    }
  }
}

// A few clients wait three times as long as the others; all others would count
// as coming back if the longest time were the measure.
BOOST_AUTO_TEST_CASE(FewPatientClientsDoNotMakeTheOthersOld) {
  std::mt19937 random(1);
  ClientAge age;
  age.OnRequest(seconds(30));
  int taken_for_old = 0;
  for (int i = 0; i < 400; ++i) {
    taken_for_old += age.OnRequest(FirstTime(random)) > Duration::zero();
    if (i % 25 == 0) {
      age.OnRequest(seconds(30));
    }
  }
  BOOST_TEST(taken_for_old < 25);
}

}  // namespace lavenderkeel
