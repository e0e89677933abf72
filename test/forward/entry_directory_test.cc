#include "lavenderkeel/forward/entry_directory.h"

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
  EntryDirectory entry_directory{{}, Entry("self")};
};

}  // namespace

BOOST_AUTO_TEST_CASE(NewEntryIsAnnouncedOnceUnlessAnotherListedIt) {
  Harness h;
  h.entry_directory.OnConnected(Entry("a"), h.clock.Now());
  h.entry_directory.OnListed({Entry("b")}, /*complete=*/false, h.clock.Now());
  h.entry_directory.OnConnected(Entry("b"), h.clock.Now());
  const std::vector<InstanceInfo> new_entries =
      h.entry_directory.TakeNewEntries();
  BOOST_TEST(new_entries.size() == 1U);
  BOOST_TEST(Has(new_entries, "a"));
  BOOST_TEST(h.entry_directory.TakeNewEntries().empty());
  BOOST_TEST(h.entry_directory.size() == 3U);
}

BOOST_AUTO_TEST_CASE(LatestIncarnationIsKept) {
  Harness h;
  h.entry_directory.OnConnected(Entry("a", 2), h.clock.Now());
  h.entry_directory.OnListed({Entry("a", 1)}, false, h.clock.Now());
  BOOST_TEST(h.entry_directory.Others().front().id.incarnation == 2U);
  h.entry_directory.OnListed({Entry("a", 3)}, false, h.clock.Now());
  BOOST_TEST(h.entry_directory.Others().front().id.incarnation == 3U);
}

// A machine is replaced for good, and no list contains its entry any more.
// Guards against dialling and counting it forever. An entry that receives no
// lists, as during a network partition, forgets no entry.
BOOST_AUTO_TEST_CASE(UnlistedEntryIsForgotten) {
  Harness h;
  h.entry_directory.OnListed({Entry("a"), Entry("b")}, true, h.clock.Now());
  h.clock.Advance(std::chrono::seconds(11));
  BOOST_TEST(h.entry_directory.size() == 3U);
  h.entry_directory.OnListed({Entry("b")}, true, h.clock.Now());
  BOOST_TEST(!Has(h.entry_directory.Others(), "a"));
  BOOST_TEST(Has(h.entry_directory.Others(), "b"));
}

BOOST_AUTO_TEST_CASE(UnavailableEntryIsDialledButNeitherListedNorChosen) {
  Harness h;
  h.entry_directory.OnConnected(Entry("a"), h.clock.Now());
  h.entry_directory.OnUnavailable(Entry("a").id);
  BOOST_TEST(Has(h.entry_directory.Others(), "a"));
  BOOST_TEST(!Has(h.entry_directory.AvailableOthers(), "a"));
  BOOST_TEST(!h.entry_directory.IsCoordinator("a"));
  h.entry_directory.OnConnected(Entry("a"), h.clock.Now());
  BOOST_TEST(h.entry_directory.IsCoordinator("a"));
}

}  // namespace lavenderkeel
