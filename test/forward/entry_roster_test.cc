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

BOOST_AUTO_TEST_CASE(NewcomerIsNewsOnceAndOnlyToWhoeverMetIt) {
  Harness h;
  h.roster.OnMet(Entry("a"), h.clock.Now());
  h.roster.OnTold({Entry("b")}, /*complete=*/false, h.clock.Now());
  h.roster.OnMet(Entry("b"), h.clock.Now());
  const std::vector<InstanceInfo> news = h.roster.TakeNews();
  BOOST_TEST(news.size() == 1U);
  BOOST_TEST(Has(news, "a"));
  BOOST_TEST(h.roster.TakeNews().empty());
  BOOST_TEST(h.roster.size() == 3U);
}

BOOST_AUTO_TEST_CASE(LatestIncarnationIsKept) {
  Harness h;
  h.roster.OnMet(Entry("a", 2), h.clock.Now());
  h.roster.OnTold({Entry("a", 1)}, false, h.clock.Now());
  BOOST_TEST(h.roster.Others().front().id.incarnation == 2U);
  h.roster.OnTold({Entry("a", 3)}, false, h.clock.Now());
  BOOST_TEST(h.roster.Others().front().id.incarnation == 3U);
}

// A machine is replaced for good. Nobody names it any more, so it is neither
// dialled nor counted after a while; while this entry hears of nobody, as when
// it is cut off, it forgets no one.
BOOST_AUTO_TEST_CASE(EntryThatNobodyNamesIsForgotten) {
  Harness h;
  h.roster.OnTold({Entry("a"), Entry("b")}, true, h.clock.Now());
  h.clock.Advance(std::chrono::seconds(11));
  BOOST_TEST(h.roster.size() == 3U);
  h.roster.OnTold({Entry("b")}, true, h.clock.Now());
  BOOST_TEST(!Has(h.roster.Others(), "a"));
  BOOST_TEST(Has(h.roster.Others(), "b"));
}

BOOST_AUTO_TEST_CASE(LostEntryIsDialledButNeitherToldNorChosen) {
  Harness h;
  h.roster.OnMet(Entry("a"), h.clock.Now());
  h.roster.OnGone(Entry("a").id);
  BOOST_TEST(Has(h.roster.Others(), "a"));
  BOOST_TEST(!Has(h.roster.OthersThere(), "a"));
  BOOST_TEST(!h.roster.IsCoordinator("a"));
  h.roster.OnMet(Entry("a"), h.clock.Now());
  BOOST_TEST(h.roster.IsCoordinator("a"));
}

}  // namespace lavenderkeel
