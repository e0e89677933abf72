#include "lavenderkeel/membership/member_table.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

InstanceInfo Entry(const std::string& name, const std::string& address) {
  return {.id = {.instance = name, .incarnation = 1},
          .role = Role::kEntry,
          .data_centre = "govan",
          .region = "scot",
          .address = address};
}

bool Dials(const std::vector<Action>& actions, const std::string& address) {
  return std::ranges::any_of(actions, [&](const Action& action) {
    const Dial* dial = std::get_if<Dial>(&action);
    return dial != nullptr && dial->address == address;
  });
}

}  // namespace

// Guards against 429 answers below the rate of a team, which follow if the
// entries count one of them as unreachable. That entry had dialled the others;
// before they dialled back, an instance list that did not name it yet made them
// forget its address, which none of them learnt again.
BOOST_AUTO_TEST_CASE(InboundEntryIsDialledThoughNoListNamesIt) {
  fuzz::VirtualClock clock;
  std::mt19937_64 random(1);
  Outbox outbox;
  MemberTable members({}, Entry("a", "127.0.0.1:1"), clock, random, outbox,
                      [] { return Heartbeat(); });
  members.OnLinkUp(1, Entry("b", "127.0.0.1:2"), /*dialed=*/"");
  members.OnInstanceList({Entry("c", "127.0.0.1:3")});
  outbox.Take();
  members.Tick();
  BOOST_TEST(Dials(outbox.Take(), "127.0.0.1:2"));
}

// An entry that had ended kept its share of all rates for ten seconds. One that
// is cut off may run on and keeps it.
BOOST_AUTO_TEST_CASE(OnlyRefusedDialWithoutLinksShowsThatEntryHasEnded) {
  fuzz::VirtualClock clock;
  std::mt19937_64 random(1);
  Outbox outbox;
  MemberTable members({}, Entry("a", "127.0.0.1:1"), clock, random, outbox,
                      [] { return Heartbeat(); });
  const InstanceInfo peer = Entry("b", "127.0.0.1:2");
  members.OnLinkUp(1, peer, /*dialed=*/"");
  members.OnLinkUp(2, peer, peer.address);
  members.OnLinkDown(2);
  BOOST_TEST(!members.OnDialFailed(peer.address, DialFailure::kRefused));
  members.OnLinkDown(1);
  BOOST_TEST(!members.OnDialFailed(peer.address, DialFailure::kNoAnswer));
  BOOST_TEST(!members.Find("b")->has_ended);
  BOOST_TEST(
      (members.OnDialFailed(peer.address, DialFailure::kRefused) == peer.id));
  BOOST_TEST(members.Find("b")->has_ended);
  // A restarted process is another incarnation at the same address.
  InstanceInfo restarted = peer;
  restarted.id.incarnation = 2;
  members.OnLinkUp(3, restarted, /*dialed=*/"");
  BOOST_TEST(!members.Find("b")->has_ended);
}

}  // namespace lavenderkeel
