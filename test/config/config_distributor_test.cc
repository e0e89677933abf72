#include "lavenderkeel/config/config_distributor.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

// Guards against a configuration that never comes into force, since a part of
// its head was taken for all of it and only later versions are asked for.
BOOST_AUTO_TEST_CASE(HeadThatCannotBeReadIsReadAgain) {
  fuzz::VirtualClock clock;
  std::mt19937_64 random(1);
  const EventLog log;
  Outbox outbox;
  PlatformPort port(outbox);
  MemberTable members({}, {.id = {.instance = "a", .incarnation = 1}}, clock,
                      random, outbox, [] { return Heartbeat(); });
  ConfigStore store(log);
  ConfigDistributor distributor({}, store, members, clock, random, port,
                                outbox);
  const std::string whole =
      ConfigHead{.version = 7, .preset = "ordinary", .base = "b"}.ToJson();
  distributor.Start();
  for (const std::string& body : {whole.substr(0, whole.size() / 2), whole}) {
    const std::vector<Action> reads = outbox.Take();
    BOOST_REQUIRE(reads.size() == 1U);
    const auto& call = std::get<PlatformCall>(reads.front());
    BOOST_TEST(call.path == "/objects/" + std::string(kHeadObject));
    BOOST_TEST(store.MissingShards().empty());
    port.OnReply(call.call, {.status = 200, .etag = "5", .body = body});
    clock.Advance(std::chrono::seconds(2));
    distributor.Tick();
  }
  BOOST_TEST(!store.MissingShards().empty());
}

}  // namespace lavenderkeel
