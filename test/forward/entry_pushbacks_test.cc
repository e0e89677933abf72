#include "lavenderkeel/forward/entry_pushbacks.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

// Guards against a full server that turns away a request for each of its slots
// whenever its rest is over.
BOOST_AUTO_TEST_CASE(OneRequestProbesAServerAfterItsRest) {
  EntryPushbacks pushbacks;
  TimePoint now{seconds(10)};
  pushbacks.OnPushback("a", 1, now + seconds(3));
  BOOST_TEST(!pushbacks.Admits("a", 1, now));
  BOOST_TEST(pushbacks.Admits("b", 1, now));
  BOOST_TEST(pushbacks.Admits("a", 2, now));
  now += seconds(3);
  BOOST_TEST(pushbacks.Admits("a", 1, now));
  pushbacks.OnGranted("a", 1, now);
  BOOST_TEST(!pushbacks.Admits("a", 1, now));
  now += milliseconds(100);
  BOOST_TEST(pushbacks.Admits("a", 1, now));
  pushbacks.Tick(now);
  BOOST_TEST(pushbacks.empty());
}

BOOST_AUTO_TEST_CASE(RejectedProbeBeginsTheNextRest) {
  EntryPushbacks pushbacks;
  TimePoint now{seconds(10)};
  pushbacks.OnPushback("a", 1, now + seconds(3));
  now += seconds(3);
  pushbacks.OnGranted("a", 1, now);
  now += milliseconds(5);
  pushbacks.OnPushback("a", 1, now + seconds(3));
  now += milliseconds(200);
  pushbacks.Tick(now);
  BOOST_TEST(!pushbacks.Admits("a", 1, now));
}

BOOST_AUTO_TEST_CASE(PushbacksAreForgotten) {
  EntryPushbacks pushbacks;
  TimePoint now{seconds(10)};
  pushbacks.OnPushback("a", 1, now + seconds(1));
  pushbacks.OnPushback("b", 1, now + seconds(1));
  pushbacks.ForgetEntry("b");
  BOOST_TEST(pushbacks.size() == 1U);
  pushbacks.Tick(now + seconds(20));
  BOOST_TEST(pushbacks.empty());
}

}  // namespace lavenderkeel
