#include "lavenderkeel/gate/server_rest.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kSlots = 8;
constexpr TimePoint kStart{seconds(10)};

Duration RestAfter(const std::vector<std::string>& retry_after) {
  ServerRest rest;
  rest.OnRefused(retry_after, kStart);
  return rest.Remaining(kStart);
}

}  // namespace

// Guards against requests to a server during the rest that it asked for, also
// where it states fractions of a second.
BOOST_AUTO_TEST_CASE(RestingServerMayHaveNoRequests) {
  ServerRest rest;
  BOOST_TEST(rest.AllowedInFlight(kSlots, 0, kStart) == kSlots);
  const ServerRest::Pushback pushback = rest.OnRefused({"2.5"}, kStart);
  BOOST_TEST(pushback.is_stated);
  BOOST_TEST(ToMilliseconds(pushback.rest) == 2500);
  BOOST_TEST(rest.IsResting(kStart));
  BOOST_TEST(rest.AllowedInFlight(kSlots, 0, kStart) == 0U);
  BOOST_TEST(rest.AllowedInFlight(kSlots, 0, kStart + milliseconds(2499)) ==
             0U);
  BOOST_TEST(!rest.IsResting(kStart + milliseconds(2500)));
}

// Guards against a server that is still full after its rest and turns away a
// request for each of its slots.
BOOST_AUTO_TEST_CASE(OneRequestProbesAServerAfterTheRest) {
  ServerRest rest;
  rest.OnRefused({"3"}, kStart);
  const TimePoint end = kStart + seconds(3);
  BOOST_TEST(rest.AllowedInFlight(kSlots, 0, end) == 1U);
  rest.OnStarted(7, end);
  BOOST_TEST(rest.AllowedInFlight(kSlots, 1, end) == 1U);
  rest.OnRefused({"3"}, end + milliseconds(1));
  rest.OnEnded(7);
  BOOST_TEST(rest.AllowedInFlight(kSlots, 0, end + seconds(3)) == 0U);
  const TimePoint second_end = end + seconds(3) + milliseconds(1);
  rest.OnStarted(8, second_end);
  rest.OnAccepted(8);
  BOOST_TEST(rest.AllowedInFlight(kSlots, 1, second_end) == kSlots);
  BOOST_TEST(!rest.IsLimiting());
}

// Guards against a server that gets no request after its rest because a probe
// ended without an answer.
BOOST_AUTO_TEST_CASE(ProbeWithoutAnswerIsFollowedByAnother) {
  ServerRest rest;
  rest.OnRefused({"1"}, kStart);
  const TimePoint end = kStart + seconds(1);
  rest.OnStarted(1, end);
  rest.OnEnded(1);
  BOOST_TEST(rest.AllowedInFlight(kSlots, 0, end) == 1U);
  rest.OnStarted(2, end);
  rest.OnAccepted(2);
  BOOST_TEST(rest.AllowedInFlight(kSlots, 0, end) == kSlots);
}

// Guards against runs from before the rest that hold the probe up, or whose
// progress is mistaken for the acceptance of a new request.
BOOST_AUTO_TEST_CASE(EarlierRunsNeitherDelayNorReplaceTheProbe) {
  ServerRest rest;
  rest.OnStarted(1, kStart);
  rest.OnRefused({"1"}, kStart);
  rest.OnAccepted(1);
  BOOST_TEST(rest.AllowedInFlight(kSlots, 5, kStart) == 0U);
  const TimePoint end = kStart + seconds(1);
  rest.OnAccepted(1);
  BOOST_TEST(rest.AllowedInFlight(kSlots, 5, end) == 6U);
  BOOST_TEST(rest.AllowedInFlight(kSlots, kSlots, end) == kSlots);
  rest.OnStarted(2, end);
  rest.OnAccepted(1);
  rest.OnEnded(1);
  BOOST_TEST(rest.AllowedInFlight(kSlots, 5, end) == 5U);
}

// Guards against a short rest stated by a late refusal that cuts a longer one.
BOOST_AUTO_TEST_CASE(LatestEndOfTheRestHolds) {
  ServerRest rest;
  rest.OnRefused({"60"}, kStart);
  rest.OnRefused({"0"}, kStart + seconds(1));
  BOOST_TEST(ToMilliseconds(rest.Remaining(kStart + seconds(1))) == 59'000);
}

// Guards against a server that is lost for days, or flooded, because of a value
// that is no number of seconds.
BOOST_AUTO_TEST_CASE(UnreadableRestIsShort) {
  for (const char* value : {"", "-1", "+1", "1e3", "nan", "86400", "3600.1",
                            "Thu, 03 Dec 2026 20:00:00 GMT"}) {
    BOOST_TEST(ToMilliseconds(RestAfter({value})) == 1000, value);
  }
  BOOST_TEST(ToMilliseconds(RestAfter({"5", "60"})) == 1000);
  BOOST_TEST(ToMilliseconds(RestAfter({"3600"})) == 3'600'000);
  ServerRest rest;
  BOOST_TEST(!rest.OnRefused({"soon"}, kStart).is_stated);
}

// Guards against values for which the rest is unbounded or lies in the past.
RC_BOOST_PROP(RestIsBoundedForAnyValue,
              (const std::vector<std::string>& retry_after)) {
  const Duration rest = RestAfter(retry_after);
  RC_ASSERT(rest >= Duration::zero());
  RC_ASSERT(rest <= std::chrono::hours(1));
}

}  // namespace lavenderkeel
