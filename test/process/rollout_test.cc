// Rollout orders by operators, with real processes and a fake store.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>

#include "test/process/platform_processes.h"

namespace lavenderkeel::test {

namespace {

/// A forwarding entry, a fake store, servers of up to two versions, and a
/// client.
class RolloutProcesses : public PlatformProcesses {
 public:
  RolloutProcesses() {
    Put("config/main",
        R"({"version": 1, "routes": [{"name": "r", "host": "127.0.0.1",
            "pathPrefix": "/r/", "kind": "idempotent", "timeoutMs": 4000,
            "targetLatencyMs": 300, "service": "s", "maxAttempts": 2}],
            "services": [{"name": "s"}],
            "tenants": [{"name": "t", "apiKeys": ["key"]}]})");
    StartServer("v1");
    StartEntry(R"("exposure": {"share": 0.1, "slack": 50}, )");
  }

  void StartServer(const std::string& version) {
    StartBackend(version);
    Put("servers/" + version,
        R"({"service": "s", "address": ")" +
            processes().Address(version, "http") +
            R"(", "zone": "here", "slots": 4, "state": "ready", "version": ")" +
            version + R"("})");
  }

  void OrderRollout() {
    Put("rollouts/s", R"({"service": "s", "to": "v2", "durationS": 4})");
  }

  /// Sends requests, several concurrently, until the condition holds.
  ///
  /// @return false on a timeout
  bool SendUntil(const std::function<bool()>& condition) {
    return Wait([&] {
      constexpr size_t kMaxInFlight = 4;
      while (in_flight_ < kMaxInFlight) {
        Send();
      }
      return condition();
    });
  }

  /// Returns the rollout objects of the store as JSON.
  std::string ReadRollouts() {
    std::string body;
    bool done = false;
    http().Start({.address = processes().Address("store", "http"),
                  .path = "/objects/rollouts",
                  .on_done = [&](const HttpResult& result) {
                    body = result.body;
                    done = true;
                  }});
    Wait([&] { return done; });
    return body;
  }
  bool HasStoredState(const std::string& state) {
    return ReadRollouts().find("\"state\":\"" + state + "\"") !=
           std::string::npos;
  }

  /// Number of requests that the version's server has run.
  size_t CountRuns(const std::string& version) const {
    const std::string runs = ReadFile(processes().directory() + "/" + version);
    return static_cast<size_t>(std::count(runs.begin(), runs.end(), '\n'));
  }
  int failed() const { return failed_; }

 private:
  void Send() {
    ++in_flight_;
    http().Start({.address = processes().Address("entry", "clients"),
                  .path = "/r/x",
                  .headers = {{"Request-Id", "q" + std::to_string(++sent_)},
                              {"Authorization", "Bearer key"},
                              {"Deadline-Ms", "4000"}},
                  .on_done = [this](const HttpResult& result) {
                    --in_flight_;
                    failed_ += result.status == 200 ? 0 : 1;
                  }});
  }

  size_t in_flight_ = 0;
  uint64_t sent_ = 0;
  int failed_ = 0;
};

}  // namespace

// The forwarding entry reads a rollout order from the store over HTTP, writes
// the rollout's record there, and moves all traffic to the new version. No
// request fails.
BOOST_AUTO_TEST_CASE(OrderIsCarriedOutOverRealProcesses) {
  RolloutProcesses processes;
  processes.StartServer("v2");
  BOOST_TEST(
      processes.SendUntil([&] { return processes.CountRuns("v1") >= 50; }));
  BOOST_TEST(processes.CountRuns("v2") == 0);
  processes.OrderRollout();
  BOOST_TEST(processes.SendUntil(
      [&] { return processes.HasStoredState("completed"); }));
  const size_t before = processes.CountRuns("v1");
  const size_t moved = processes.CountRuns("v2");
  BOOST_TEST(processes.SendUntil(
      [&] { return processes.CountRuns("v2") >= moved + 20; }));
  BOOST_TEST(processes.CountRuns("v1") == before);
  BOOST_TEST(processes.failed() == 0);
}

}  // namespace lavenderkeel::test
