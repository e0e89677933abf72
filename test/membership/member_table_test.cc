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

}  // namespace lavenderkeel
