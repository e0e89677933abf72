#include "lavenderkeel/config/config_commit.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <utility>

#include "test/fakes/platform_core.h"
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

// Guards against a change that is reported as not accepted by the status of an
// answer that doesn't state it, although it took effect.
BOOST_AUTO_TEST_CASE(OnlyStatedRefusalsMeanNotAccepted) {
  for (const int status :
       {0, 103, 302, 400, 403, 408, 409, 413, 429, 500, 502, 503, 504, 599}) {
    fuzz::VirtualClock clock;
    std::mt19937_64 random(1);
    Outbox outbox;
    PlatformPort port(outbox);
    fakes::PlatformCore platform;
    std::optional<ResultCode> code;
    ConfigCommit commit(
        {.change_id = "c",
         .change = [](const ConfigHead&) -> leaf::result<ConfigHead> {
           ConfigHead next;
           next.preset = "ordinary";
           next.base = "base";
           return next;
         }},
        clock, random, port,
        [&code](const ConfigCommit::Result& result) { code = result.code; });
    commit.Start();
    bool written = false;
    const bool takes_effect = PlatformReply{.status = status}.in_doubt();
    for (int i = 0; i < 1000 && !code.has_value(); ++i) {
      for (const Action& action : outbox.Take()) {
        const auto& call = std::get<PlatformCall>(action);
        if (call.method == "PUT" && !std::exchange(written, true)) {
          if (takes_effect) {
            platform.Handle(call);
          }
          port.OnReply(call.call, {.status = status});
        } else {
          port.OnReply(call.call, platform.Handle(call));
        }
      }
      clock.Advance(std::chrono::milliseconds(20));
      commit.Tick();
    }
    BOOST_REQUIRE(code.has_value());
    const bool is_retried = takes_effect || status == 429 || status == 503;
    BOOST_TEST((*code == (is_retried ? ResultCode::kAnswered
                                     : ResultCode::kConfigNotAccepted)),
               status);
  }
}

}  // namespace lavenderkeel
