#include "lavenderkeel/forward/entry_roster.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

InstanceInfo Entry(const std::string& name, uint64_t incarnation = 1) {
  return {.id = {.instance = name, .incarnation = incarnation},
          .address = name + ":1"};
}

bool Has(const std::vector<InstanceInfo>& infos, const std::string& name) {
  return std::ranges::any_of(infos, [&name](const InstanceInfo& info) {
    return info.id.instance == name;
  });
}

struct Harness {
  fuzz::VirtualClock clock;
  EntryRoster roster{{}, Entry("self")};
};

}  // namespace

BOOST_AUTO_TEST_CASE(NewEntryIsAnnouncedOnceUnlessAnotherListedIt) {
  Harness h;
  h.roster.OnConnected(Entry("a"), h.clock.Now());
  h.roster.OnListed({Entry("b")}, /*complete=*/false, h.clock.Now());
  h.roster.OnConnected(Entry("b"), h.clock.Now());
  const std::vector<InstanceInfo> new_entries = h.roster.TakeNewEntries();
  BOOST_TEST(new_entries.size() == 1U);
  BOOST_TEST(Has(new_entries, "a"));
  BOOST_TEST(h.roster.TakeNewEntries().empty());
  BOOST_TEST(h.roster.size() == 3U);
}

BOOST_AUTO_TEST_CASE(LatestIncarnationIsKept) {
  Harness h;
  h.roster.OnConnected(Entry("a", 2), h.clock.Now());
  h.roster.OnListed({Entry("a", 1)}, false, h.clock.Now());
  BOOST_TEST(h.roster.Others().front().id.incarnation == 2U);
  h.roster.OnListed({Entry("a", 3)}, false, h.clock.Now());
  BOOST_TEST(h.roster.Others().front().id.incarnation == 3U);
}

// A machine is replaced for good, and no list contains its entry any more.
// Guards against dialling and counting it forever. An entry that receives no
// lists, as during a network partition, forgets no entry.
BOOST_AUTO_TEST_CASE(UnlistedEntryIsForgotten) {
  Harness h;
  h.roster.OnListed({Entry("a"), Entry("b")}, true, h.clock.Now());
  h.clock.Advance(std::chrono::seconds(11));
  BOOST_TEST(h.roster.size() == 3U);
  h.roster.OnListed({Entry("b")}, true, h.clock.Now());
  BOOST_TEST(!Has(h.roster.Others(), "a"));
  BOOST_TEST(Has(h.roster.Others(), "b"));
}

BOOST_AUTO_TEST_CASE(UnavailableEntryIsDialledButNeitherListedNorChosen) {
  Harness h;
  h.roster.OnConnected(Entry("a"), h.clock.Now());
  h.roster.OnUnavailable(Entry("a").id);
  BOOST_TEST(Has(h.roster.Others(), "a"));
  BOOST_TEST(!Has(h.roster.AvailableOthers(), "a"));
  BOOST_TEST(!h.roster.IsCoordinator("a"));
  h.roster.OnConnected(Entry("a"), h.clock.Now());
  BOOST_TEST(h.roster.IsCoordinator("a"));
}

}  // namespace lavenderkeel
