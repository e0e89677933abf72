#include "lavenderkeel/forward/server_log.h"

#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

StoredObject Object(const std::string& name,
                    uint64_t revision,
                    bool removed = false) {
  return {.name = name, .revision = revision, .removed = removed};
}

struct Harness {
  Harness() { log.OnList({Object("a", 3), Object("b", 5)}); }

  fuzz::VirtualClock clock;
  ServerLog log;
};

}  // namespace

BOOST_AUTO_TEST_CASE(WhoeverKnowsNothingGetsTheWholeList) {
  Harness h;
  const ObjectDelta delta = h.log.Since(0);
  BOOST_TEST(delta.complete);
  BOOST_TEST(delta.revision == 5U);
  BOOST_TEST(delta.objects.size() == 2U);
}

BOOST_AUTO_TEST_CASE(WhoeverIsBehindGetsWhatChangedInOrder) {
  Harness h;
  h.log.OnChange(Object("a", 9), h.clock.Now());
  h.log.OnChange(Object("b", 7, /*removed=*/true), h.clock.Now());
  const ObjectDelta delta = h.log.Since(5);
  BOOST_TEST(!delta.complete);
  BOOST_REQUIRE(delta.objects.size() == 2U);
  BOOST_TEST(delta.objects[0].name == "b");
  BOOST_TEST(delta.objects[0].removed);
  BOOST_TEST(delta.objects[1].revision == 9U);
  BOOST_TEST(h.log.Since(9).objects.empty());
}

// A server was removed before this entry made its list, and another entry still
// has it. Told only of changes it would keep the server, and its requests would
// go nowhere.
BOOST_AUTO_TEST_CASE(RemovalsThatAreNotKnownMakeTheListWhole) {
  Harness h;
  BOOST_TEST(h.log.Since(4).complete);
  h.log.OnChange(Object("b", 8, /*removed=*/true), h.clock.Now());
  h.clock.Advance(std::chrono::seconds(21));
  h.log.Tick(h.clock.Now());
  BOOST_TEST(h.log.Since(7).complete);
  BOOST_TEST(!h.log.Since(8).complete);
}

}  // namespace lavenderkeel
