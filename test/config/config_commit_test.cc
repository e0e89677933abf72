#include "lavenderkeel/config/config_commit.h"

#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

// The write of the head is pending at the timeout. The write may still take
// effect, so the result must be "unknown", not "not accepted".
BOOST_AUTO_TEST_CASE(PendingWriteGivesUnknownResult) {
  fuzz::VirtualClock clock;
  std::mt19937_64 random(1);
  Outbox outbox;
  PlatformPort port(outbox);
  ResultCode code = ResultCode::kAnswered;
  ConfigCommit commit(
      {.change_id = "c",
       .change = [](const ConfigHead& present) -> leaf::result<ConfigHead> {
         return present;
       }},
      clock, random, port,
      [&code](const ConfigCommit::Result& result) { code = result.code; });
  commit.Start();
  const std::vector<Action> reads = outbox.Take();
  port.OnReply(std::get<PlatformCall>(reads.at(0)).call, {.status = 404});
  const std::vector<Action> writes = outbox.Take();
  BOOST_TEST(std::get<PlatformCall>(writes.at(0)).method == "PUT");
  clock.Advance(std::chrono::seconds(11));
  commit.Tick();
  BOOST_TEST((code == ResultCode::kConfigUnknown));
}

}  // namespace lavenderkeel
