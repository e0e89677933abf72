#ifndef LAVENDERKEEL_TEST_PROCESS_CLUSTER_H_
#define LAVENDERKEEL_TEST_PROCESS_CLUSTER_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_client.h"
#include "test/process/process_set.h"
#include "test/process/relay.h"

namespace lavenderkeel::test {

/// A caller's request on its way: what has come back so far.
struct Exchange {
  bool done = false;
  HttpResult result;
  std::string stream;
  /// A stream that ended as a whole one does.
  bool whole() const {
    return stream.find("data: [DONE]") != std::string::npos ||
           (done && result.status == 200 && !result.body.empty());
  }
};

/// Real processes on loopback: stand-ins, entries and agents. All are killed
/// when it goes.
class Cluster {
 public:
  struct Options {
    size_t entries = 2;
    size_t agents = 2;
    int step_ms = 5;
    /// Agents are reached through relays of the test's own.
    bool relayed = false;
    std::string agent_tuning;
    std::string entry_tuning;
  };

  explicit Cluster(Options options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// @param seed a peer address, or empty
  void StartEntry(size_t index, const std::string& seed = "");
  void StartAgent(size_t index);
  void Signal(const std::string& name, int signal);
  /// @return the exit status, waiting for the process to end
  int Join(const std::string& name);
  bool Running(const std::string& name) const;
  pid_t Pid(const std::string& name) const { return processes_.Pid(name); }

  std::string NewKey();
  /// Sends a request of the test's team. A key of "" has the entry mint one.
  ///
  /// @param deadline zero: none is named
  std::shared_ptr<Exchange> Ask(size_t entry,
                                const std::string& key,
                                const std::string& work,
                                int tokens,
                                bool stream = false,
                                const std::string& prompt = "Letter one",
                                Duration deadline = Duration::zero());
  /// @param stream collect the bytes as they come
  std::shared_ptr<Exchange> Send(HttpClient::Call call, bool stream = false);
  HttpResult Call(const std::string& address,
                  const std::string& method,
                  const std::string& path,
                  const std::string& body = "",
                  const std::string& bearer = "");
  HttpResult Admin(size_t entry,
                   const std::string& method,
                   const std::string& path,
                   const std::string& body = "");
  /// Turns the loop until the condition holds; false after the long stop.
  bool Wait(const std::function<bool()>& condition);
  bool WaitReady(size_t entry);
  /// All entries have a live link to all agents.
  bool WaitLinked();

  std::string Entry(size_t index) const {
    return address("entry-" + std::to_string(index), "callers");
  }
  std::string Engine(size_t index) const {
    return address("engine-" + std::to_string(index), "http");
  }
  std::string Platform() const { return address("platform", "http"); }
  std::string address(const std::string& name, const std::string& port) const;
  uint64_t Starts();
  uint64_t VersionAt(size_t entry);
  std::string Log(const std::string& name) const;
  Relay& relay(size_t agent) { return *relays_[agent]; }
  EventLoop& loop() { return loop_; }
  /// The body of a configuration with these lookups' preset limits.
  static std::string ConfigText(const std::string& marker);

 private:
  bool WaitReadyFile(const std::string& name);

  Options options_;
  EventLoop loop_;
  HttpClient http_;
  std::mt19937_64 random_;
  ProcessSet processes_;
  std::vector<std::unique_ptr<Relay>> relays_;
};

}  // namespace lavenderkeel::test

#endif  // LAVENDERKEEL_TEST_PROCESS_CLUSTER_H_
