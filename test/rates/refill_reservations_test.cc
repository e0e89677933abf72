#include "lavenderkeel/rates/refill_reservations.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
const TimePoint kDeadline = kStart + std::chrono::seconds(10);

}  // namespace

// Refill that is promised must count for the next client that is refused.
BOOST_AUTO_TEST_CASE(PromisesOfMoreUrgentRanksComeFirst) {
  RefillReservations reservations({});
  reservations.Promise(0, 2, kStart + milliseconds(800), kDeadline);
  reservations.Promise(2, 3, kStart + milliseconds(900), kDeadline);
  BOOST_TEST(reservations.UnitsAhead(0) == 2);
  BOOST_TEST(reservations.UnitsAhead(1) == 2);
  BOOST_TEST(reservations.UnitsAhead(2) == 5);
}

// A client that comes back in time must find its units.
BOOST_AUTO_TEST_CASE(UnitsAreHeldUntilRedeemed) {
  RefillReservations reservations({});
  reservations.Promise(1, 4, kStart + milliseconds(500), kDeadline);
  BOOST_TEST(reservations.Advance(kStart) == 0U);
  BOOST_TEST(!reservations.Redeem(1, kDeadline, /*any=*/true));
  reservations.Advance(kStart + milliseconds(500));
  BOOST_TEST(reservations.HeldUnits(0) == 0);
  BOOST_TEST(reservations.HeldUnits(1) == 4);
  BOOST_TEST(reservations.HeldUnits(2) == 4);
  BOOST_TEST(!reservations.Redeem(2, kDeadline, /*any=*/true));
  BOOST_TEST(reservations.Redeem(1, kDeadline, /*any=*/false));
  BOOST_TEST(reservations.HeldUnits(2) == 0);
  BOOST_TEST(reservations.size() == 0U);
}

// Refill must not be kept for clients that have gone.
BOOST_AUTO_TEST_CASE(PromiseIsDroppedAfterGrace) {
  RefillReservations reservations({});
  reservations.Promise(1, 4, kStart + milliseconds(500), kDeadline);
  BOOST_TEST(reservations.Advance(kStart + milliseconds(900)) == 0U);
  BOOST_TEST(reservations.Advance(kStart + milliseconds(1001)) == 1U);
  BOOST_TEST(reservations.HeldUnits(1) == 0);
  BOOST_TEST(reservations.size() == 0U);
}

// Memory must not grow with the number of refused clients.
BOOST_AUTO_TEST_CASE(NumberOfPromisesIsBounded) {
  RefillReservations reservations({.max_promises = 2});
  BOOST_TEST(reservations.Promise(1, 1, kStart, kDeadline));
  BOOST_TEST(reservations.Promise(2, 1, kStart, kDeadline));
  BOOST_TEST(!reservations.Promise(1, 1, kStart, kDeadline));
}

// A new request must not use up what was promised to a client that is about to
// be back; a client that another entry refused may, since that entry's other
// clients come here as well.
BOOST_AUTO_TEST_CASE(NewRequestRedeemsNoPromise) {
  RefillReservations reservations({});
  reservations.Promise(1, 4, kStart, kDeadline);
  reservations.Promise(1, 3, kStart, kDeadline + milliseconds(300));
  reservations.Advance(kStart);
  const TimePoint other = kDeadline + milliseconds(100);
  BOOST_TEST(!reservations.Redeem(1, other, /*any=*/false));
  BOOST_TEST(reservations.Redeem(1, kDeadline + milliseconds(302), false));
  BOOST_TEST(reservations.HeldUnits(1) == 4);
  BOOST_TEST(reservations.Redeem(1, other, /*any=*/true));
}

}  // namespace lavenderkeel
