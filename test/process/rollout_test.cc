// Rollout orders by operators, with real processes and a fake store.
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <functional>
#include <set>
#include <string>

#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_client.h"
#include "test/process/process_set.h"

namespace lavenderkeel::test {

namespace {

/// A forwarding entry, a fake store, servers of up to two versions, and a
/// client.
class RolloutProcesses {
 public:
  RolloutProcesses() {
    loop_.Every(std::chrono::milliseconds(4), [this] { loop_.Stop(); });
    processes_.Spawn("store", {Program("fake_store"), "127.0.0.1:0",
                               processes_.ReadyFile("store")});
    Wait([this] { return processes_.HasReadyFile("store"); });
    Put("config/main",
        R"({"version": 1, "routes": [{"name": "r", "host": "127.0.0.1",
            "pathPrefix": "/r/", "kind": "idempotent", "timeoutMs": 4000,
            "targetLatencyMs": 300, "service": "s", "maxAttempts": 2}],
            "services": [{"name": "s"}],
            "tenants": [{"name": "t", "apiKeys": ["key"]}]})");
    StartServer("v1");
    StartEntry();
  }

  void StartServer(const std::string& version) {
    processes_.Spawn(version, {Program("fake_backend"), "127.0.0.1:0",
                               processes_.ReadyFile(version), version,
                               processes_.directory() + "/" + version});
    Wait([&] { return processes_.HasReadyFile(version); });
    Put("servers/" + version,
        R"({"service": "s", "address": ")" +
            processes_.Address(version, "http") +
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
    http_.Start({.address = processes_.Address("store", "http"),
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
    const std::string runs = ReadFile(processes_.directory() + "/" + version);
    return static_cast<size_t>(std::count(runs.begin(), runs.end(), '\n'));
  }
  int failed() const { return failed_; }

 private:
  static std::string Program(const std::string& name) {
    return std::string(LAVENDERKEEL_BINARY_DIR) + "/" + name;
  }

  bool Wait(const std::function<bool()>& condition) {
    const TimePoint end = clock_.Now() + std::chrono::seconds(60);
    while (!condition()) {
      if (clock_.Now() > end) {
        return false;
      }
      loop_.Run();
    }
    return true;
  }

  void Put(const std::string& object, const std::string& body) {
    bool done = false;
    http_.Start({.address = processes_.Address("store", "http"),
                 .method = "PUT",
                 .path = "/objects/" + object,
                 .body = body,
                 .on_done = [&done](const HttpResult&) { done = true; }});
    Wait([&done] { return done; });
  }

  void StartEntry() {
    const std::string settings = processes_.directory() + "/entry.json";
    std::ofstream(settings)
        << R"({"instance": "entry", "data_centre": "here", "listen":
               {"clients": "127.0.0.1:0", "status": "127.0.0.1:0",
                "peers": "127.0.0.1:0"}, "seeds": [],
               "exposure": {"share": 0.1, "slack": 50}, "store": ")"
        << processes_.Address("store", "http") << "\"}";
    processes_.Spawn(
        "entry",
        {Program("lavenderkeel-platform-entry"), "--settings=" + settings,
         "--ready_file=" + processes_.ReadyFile("entry")});
    Wait([this] {
      return processes_.Log("entry").find("event=servers_listed") !=
             std::string::npos;
    });
  }

  void Send() {
    ++in_flight_;
    http_.Start({.address = processes_.Address("entry", "clients"),
                 .path = "/r/x",
                 .headers = {{"Request-Id", "q" + std::to_string(++sent_)},
                             {"Authorization", "Bearer key"},
                             {"Deadline-Ms", "4000"}},
                 .on_done = [this](const HttpResult& result) {
                   --in_flight_;
                   failed_ += result.status == 200 ? 0 : 1;
                 }});
  }

  SystemClock clock_;
  EventLoop loop_;
  HttpClient http_{loop_};
  ProcessSet processes_;
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
