#include "lavenderkeel/fairness/granted_work.h"

#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

using std::chrono::milliseconds;

// An operator asks which team had the slots: work of more than two periods ago
// must not count.
BOOST_AUTO_TEST_CASE(GrantedWorkNamesTeamWithMost) {
  fuzz::VirtualClock clock;
  GrantedWork work;
  BOOST_TEST((work.SummaryFor(1, clock.Now()) == GrantedWork::Summary()));
  work.Add({.team = 1, .units = 5}, clock.Now());
  work.Add({.team = 2, .units = 3}, clock.Now());
  clock.Advance(milliseconds(1200));
  work.Add({.team = 2, .units = 4}, clock.Now());
  const GrantedWork::Summary expected = {.total = 12,
                                         .team = 7,
                                         .top_team = 2,
                                         .top = 7,
                                         .age = milliseconds(1200)};
  BOOST_TEST((work.SummaryFor(2, clock.Now()) == expected));
  clock.Advance(std::chrono::seconds(10));
  work.Add({.team = 3, .units = 1}, clock.Now());
  BOOST_TEST(work.SummaryFor(1, clock.Now()).total == 1);
  BOOST_TEST(work.SummaryFor(1, clock.Now()).top_team == 3U);
}

}  // namespace lavenderkeel
