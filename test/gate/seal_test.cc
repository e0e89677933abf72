#include <boost/test/unit_test.hpp>

#include "lavenderkeel/gate.h"
#include "test/fuzz/virtual_clock.h"
#include "test/gate/find_sent.h"

namespace lavenderkeel {

namespace {

constexpr LinkId kFirst = 1;
constexpr LinkId kSecond = 2;

}  // namespace

// Guards against a key that runs twice: the first entry holds a slot offer and
// stalls, the second presumes it lost, gets NotHere from a sealing Attach and
// will run the key elsewhere. A late Go from the first entry must be refused.
BOOST_AUTO_TEST_CASE(GoAfterSealIsRefused) {
  const fuzz::VirtualClock clock;
  const EventLog log;
  Metrics metrics;
  AgentNode agent({}, {.id = {"agent", 1}, .role = Role::kAgent}, clock, 1, log,
                  metrics);
  agent.Start("a:1");
  agent.OnLinkUp(kFirst, {.id = {"first", 1}, .address = "f:1"}, "");
  agent.OnLinkUp(kSecond, {.id = {"second", 1}, .address = "s:1"}, "");
  std::mt19937_64 random(1);
  const fbs::Key key = ToWire(RequestKey::Mint(clock.WallNow(), random));

  Reserve reserve;
  reserve.key = key;
  agent.OnMessage(kFirst, reserve);
  BOOST_TEST(FindSent<SlotOffer>(agent.outbox().Take(), kFirst) != nullptr);

  Attach attach;
  attach.key = key;
  attach.seal = true;
  agent.OnMessage(kSecond, attach);
  BOOST_TEST(FindSent<NotHere>(agent.outbox().Take(), kSecond) != nullptr);

  Go go;
  go.key = key;
  agent.OnMessage(kFirst, go);
  const std::vector<Action> actions = agent.outbox().Take();
  const auto* rejected = FindSent<Rejected>(actions, kFirst);
  BOOST_REQUIRE(rejected != nullptr);
  BOOST_TEST(rejected->code == static_cast<uint32_t>(ResultCode::kSealed));
  BOOST_TEST(FindSent<Started>(actions, kFirst) == nullptr);
}

}  // namespace lavenderkeel
