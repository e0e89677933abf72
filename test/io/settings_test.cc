#include "lavenderkeel/io/settings.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

BOOST_AUTO_TEST_CASE(FaultsOfSettingsNameTheirPath) {
  const auto parsed = Catch([] {
    return ParseEntrySettings(R"({
      "instance": "", "listen": {"callers": "localhost:80"},
      "platform": "127.0.0.1:x", "tuning": {"candidats": 3,
      "heartbeat_period_ms": 900, "heartbeat_timeout_ms": 1000},
      "log": {"level": "loud"}})");
  });
  BOOST_TEST(!parsed);
  for (const char* fault :
       {"/instance: must not be empty", "/data_centre: is missing",
        "/listen/callers: must be an IP number", "/listen/peers: is missing",
        "/platform: must be", "/tuning/candidats: is not known",
        "/tuning/heartbeat_timeout_ms: must be at least", "/log/level: must"}) {
    BOOST_TEST(parsed.failure.message.find(fault) != std::string::npos, fault);
  }
}

BOOST_AUTO_TEST_CASE(LimitsOfTheProcessComeFromItsSettings) {
  const auto parsed = Catch([] {
    return ParseEntrySettings(R"({
      "instance": "e", "data_centre": "d",
      "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
      "limits": {"memory_mb": 160, "descriptors": 64}})");
  });
  BOOST_REQUIRE(!!parsed);
  const ProcessLimits& limits = parsed.value->common.limits;
  BOOST_TEST(limits.memory_bytes == size_t{160} << 20);
  BOOST_TEST(limits.descriptors == 64U);
  BOOST_TEST(limits.client_connections() + limits.peer_connections() +
                 limits.status_connections() <
             limits.descriptors);
  const auto faulty = Catch([] {
    return ParseAgentSettings(R"({"instance": "a", "data_centre": "d",
      "listen": {"peers": "127.0.0.1:0"},
      "server": {"kind": "engine", "address": "127.0.0.1:1"},
      "limits": {"memory_mb": -1, "descriptors": "all", "files": 1}})");
  });
  BOOST_TEST(!faulty);
  for (const char* fault : {"/limits/memory_mb: ", "/limits/descriptors: ",
                            "/limits/files: is not known"}) {
    BOOST_TEST(faulty.failure.message.find(fault) != std::string::npos, fault);
  }
}

BOOST_AUTO_TEST_CASE(ServiceWithoutNameIsRejected) {
  const auto parsed = Catch([] {
    return ParseAgentSettings(R"({"instance": "a", "data_centre": "d",
      "listen": {"peers": "127.0.0.1:0"},
      "server": {"kind": "service", "address": "127.0.0.1:1"}})");
  });
  BOOST_TEST(parsed.failure.message == "/server/service: is missing");
}

}  // namespace lavenderkeel
