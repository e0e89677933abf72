#include "lavenderkeel/config/config_commit.h"

#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

// The write of the head is on its way when the time is up. It may yet take
// effect, so the operator is told "unknown", not "not accepted".
BOOST_AUTO_TEST_CASE(WriteUnderWayIsInDoubt) {
  fuzz::VirtualClock clock;
  std::mt19937_64 random(1);
  Outbox outbox;
  PlatformPort port(outbox);
  ResultCode told = ResultCode::kAnswered;
  ConfigCommit commit(
      {.change_id = "c",
       .change = [](const ConfigHead& present) -> leaf::result<ConfigHead> {
         return present;
       }},
      clock, random, port,
      [&told](const ConfigCommit::Result& result) { told = result.code; });
  commit.Start();
  const std::vector<Action> reads = outbox.Take();
  port.OnReply(std::get<PlatformCall>(reads.at(0)).call, {.status = 404});
  const std::vector<Action> writes = outbox.Take();
  BOOST_TEST(std::get<PlatformCall>(writes.at(0)).method == "PUT");
  clock.Advance(std::chrono::seconds(11));
  commit.Tick();
  BOOST_TEST((told == ResultCode::kConfigUnknown));
}

}  // namespace lavenderkeel
