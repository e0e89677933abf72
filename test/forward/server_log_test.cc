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

BOOST_AUTO_TEST_CASE(ReceiverWithoutRevisionGetsTheCompleteList) {
  Harness h;
  const ObjectDelta delta = h.log.ChangesSince(0);
  BOOST_TEST(delta.complete);
  BOOST_TEST(delta.revision == 5U);
  BOOST_TEST(delta.objects.size() == 2U);
}

BOOST_AUTO_TEST_CASE(LateReceiverGetsChangesInOrder) {
  Harness h;
  h.log.OnChange(Object("a", 9), h.clock.Now());
  h.log.OnChange(Object("b", 7, /*removed=*/true), h.clock.Now());
  const ObjectDelta delta = h.log.ChangesSince(5);
  BOOST_TEST(!delta.complete);
  BOOST_REQUIRE(delta.objects.size() == 2U);
  BOOST_TEST(delta.objects[0].name == "b");
  BOOST_TEST(delta.objects[0].removed);
  BOOST_TEST(delta.objects[1].revision == 9U);
  BOOST_TEST(h.log.ChangesSince(9).objects.empty());
}

// A server was removed before this entry read its list, and another entry still
// has it. Guards against sending only changes, by which the other entry would
// keep sending requests to the server.
BOOST_AUTO_TEST_CASE(UnknownRemovalsRequireTheCompleteList) {
  Harness h;
  BOOST_TEST(h.log.ChangesSince(4).complete);
  h.log.OnChange(Object("b", 8, /*removed=*/true), h.clock.Now());
  h.clock.Advance(std::chrono::seconds(21));
  h.log.Tick(h.clock.Now());
  BOOST_TEST(h.log.ChangesSince(7).complete);
  BOOST_TEST(!h.log.ChangesSince(8).complete);
}

}  // namespace lavenderkeel
