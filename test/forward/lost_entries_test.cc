#include "lavenderkeel/forward/lost_entries.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
const PeerId kEntry = {.instance = "entry", .incarnation = 3};

}  // namespace

BOOST_AUTO_TEST_CASE(LostEntryCountsForAMinute) {
  LostEntries lost;
  lost.OnLost(kEntry, kStart);
  BOOST_TEST(lost.CountAt(kStart) == 1U);
  BOOST_TEST(lost.CountAt(kStart + minutes(1)) == 1U);
  BOOST_TEST(lost.CountAt(kStart + minutes(1) + seconds(1)) == 0U);
}

BOOST_AUTO_TEST_CASE(EntryThatLeftIsNotLost) {
  LostEntries lost;
  lost.OnLeaving(kEntry);
  lost.OnLost(kEntry, kStart);
  lost.OnRegistered(kEntry.instance, kStart);
  BOOST_TEST(lost.CountAt(kStart) == 0U);
}

// Guards against an entry that starts cut off, and takes itself for the only
// one.
BOOST_AUTO_TEST_CASE(RegisteredEntryCountsUntilItIsConnected) {
  LostEntries lost;
  lost.OnRegistered(kEntry.instance, kStart);
  lost.OnRegistered(kEntry.instance, kStart + seconds(50));
  BOOST_TEST(lost.CountAt(kStart + seconds(59)) == 1U);
  BOOST_TEST(lost.CountAt(kStart + seconds(61)) == 0U);
  lost.OnConnected(kEntry);
  BOOST_TEST(lost.CountAt(kStart) == 0U);
}

}  // namespace lavenderkeel
