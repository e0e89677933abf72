// Configuration changes by operators, with real processes and platform faults.
#include <boost/test/unit_test.hpp>
#include <csignal>

#include "test/process/cluster.h"

namespace lavenderkeel::test {

namespace {

HttpResult UsePreset(Cluster& cluster, size_t entry, const std::string& name) {
  return cluster.Admin(entry, "POST", "/admin/v1/preset",
                       R"({"name": ")" + name + "\"}");
}

}  // namespace

// The platform fails right after it has accepted a preset. The accepting entry
// distributes the preset to its peers, so it comes into force at all of them.
BOOST_AUTO_TEST_CASE(PlatformDownRightAfterAcceptance) {
  Cluster cluster({.entries = 3, .agents = 1});
  BOOST_TEST(UsePreset(cluster, 0, "peak").status == 200);
  cluster.Call(cluster.PlatformAddress(), "POST", "/fault/outage");
  for (size_t i = 0; i < 3; ++i) {
    BOOST_TEST(cluster.Wait([&] { return cluster.VersionAt(i) == 2; }));
  }
}

// While the platform is down, a change is rejected with a definite result and
// requests are still served. The same change is accepted after recovery.
BOOST_AUTO_TEST_CASE(PlatformDownForLong) {
  Cluster cluster({.entries = 1, .agents = 1});
  cluster.Call(cluster.PlatformAddress(), "POST", "/fault/outage");
  const HttpResult refused = UsePreset(cluster, 0, "peak");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.body.find("config_not_accepted") != std::string::npos);
  const auto check = cluster.SubmitRequest(0, cluster.NewKey(), "check", 5);
  BOOST_REQUIRE(cluster.Wait([&] { return check->done; }));
  BOOST_TEST(check->result.status == 200);
  cluster.Call(cluster.PlatformAddress(), "POST", "/fault/up");
  BOOST_TEST(UsePreset(cluster, 0, "peak").status == 200);
}

// The write of the head takes effect, but its answer is lost. The entry reads
// the head, finds its own change id there and reports the change as accepted.
BOOST_AUTO_TEST_CASE(AnswerLostAfterTheWrite) {
  Cluster cluster({.entries = 2, .agents = 1});
  cluster.Call(cluster.PlatformAddress(), "POST", "/fault/lose");
  BOOST_TEST(UsePreset(cluster, 0, "peak").status == 200);
  cluster.Call(cluster.PlatformAddress(), "POST", "/fault/up");
  BOOST_TEST(cluster.Wait([&] { return cluster.VersionAt(1) == 2; }));
}

// Two operators change the preset at the same time, at different entries, with
// a slow platform. One change is accepted, the other fails with a conflict.
BOOST_AUTO_TEST_CASE(TwoOperatorsRace) {
  Cluster cluster({.entries = 2, .agents = 1});
  cluster.Call(cluster.PlatformAddress(), "POST", "/fault/slow?ms=200");
  const auto change = [&](size_t entry, const std::string& name) {
    return cluster.Send({.address = cluster.EntryAddress(entry),
                         .method = "POST",
                         .path = "/admin/v1/preset",
                         .headers = {{"Authorization", "Bearer operator-key"}},
                         .body = R"({"name": ")" + name + "\"}"});
  };
  const auto one = change(0, "peak");
  const auto two = change(1, "maintenance");
  BOOST_REQUIRE(cluster.Wait([&] { return one->done && two->done; }));
  BOOST_TEST(std::min(one->result.status, two->result.status) == 200);
  BOOST_TEST(std::max(one->result.status, two->result.status) == 409);
  BOOST_TEST(cluster.Wait(
      [&] { return cluster.VersionAt(0) == 2 && cluster.VersionAt(1) == 2; }));
}

// With the platform down, every entry but one is killed and restarted. The
// restarted entry connects to the other through its seed address, gets the
// configuration in force from that peer, and becomes ready.
BOOST_AUTO_TEST_CASE(RestartWhilePlatformIsDown) {
  Cluster cluster({.entries = 2, .agents = 1});
  BOOST_TEST(UsePreset(cluster, 0, "peak").status == 200);
  BOOST_REQUIRE(cluster.Wait([&] { return cluster.VersionAt(1) == 2; }));
  const std::string peer = cluster.Address("entry-0", "peers");
  cluster.Call(cluster.PlatformAddress(), "POST", "/fault/outage");
  cluster.Signal("entry-1", SIGKILL);
  cluster.StartEntry(1, peer);
  BOOST_REQUIRE(cluster.Wait([&] { return cluster.VersionAt(1) == 2; }));
  BOOST_TEST(cluster.WaitReady(1));
}

// The engine of a drained agent gets no new requests, and the other engine
// serves all of them, until the agent is undrained.
BOOST_AUTO_TEST_CASE(DrainedAgentGetsNoRequests) {
  Cluster cluster({.entries = 1, .agents = 2});
  const std::string body = R"({"name": "agent-0"})";
  const auto starts_at_first = [&] {
    return cluster.Call(cluster.EngineAddress(0), "GET", "/starts").body;
  };
  BOOST_TEST(cluster.Admin(0, "POST", "/admin/v1/drain", body).status == 200);
  for (int i = 0; i < 10; ++i) {
    const auto check = cluster.SubmitRequest(0, cluster.NewKey(), "check", 2);
    BOOST_REQUIRE(cluster.Wait([&] { return check->done; }));
    BOOST_TEST(check->result.status == 200);
  }
  BOOST_TEST(starts_at_first() == "0");
  BOOST_TEST(cluster.Admin(0, "POST", "/admin/v1/undrain", body).status == 200);
  BOOST_TEST(cluster.Wait([&] {
    const auto check = cluster.SubmitRequest(0, cluster.NewKey(), "check", 2);
    cluster.Wait([&] { return check->done; });
    return starts_at_first() != "0";
  }));
}

}  // namespace lavenderkeel::test
