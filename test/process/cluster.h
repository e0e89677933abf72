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

/// A caller's request and what has been received of its answer so far.
struct Exchange {
  bool done = false;
  HttpResult result;
  std::string stream;
  /// Whether the complete answer has been received.
  bool IsComplete() const {
    return stream.find("data: [DONE]") != std::string::npos ||
           (done && result.status == 200 && !result.body.empty());
  }
};

/// Entries, agents, fake engines and a fake platform as processes on loopback.
/// The destructor kills all of them.
class Cluster {
 public:
  struct Options {
    size_t entries = 2;
    size_t agents = 2;
    int step_ms = 5;
    /// Whether entries reach agents through relays, which inject faults.
    bool relayed = false;
    std::string agent_tuning;
    std::string entry_tuning;
  };

  explicit Cluster(Options options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// @param seed the address of a peer to connect to first; may be empty
  void StartEntry(size_t index, const std::string& seed = "");
  void StartAgent(size_t index);
  /// Limits the open descriptors of the processes that are started from now on.
  void set_max_descriptors(size_t count) {
    processes_.set_max_descriptors(count);
  }
  void Signal(const std::string& name, int signal);
  /// Waits for the process to end.
  ///
  /// @return the exit status; minus the signal that killed the process, if one
  ///     did
  int Join(const std::string& name);
  bool IsRunning(const std::string& name) const;
  pid_t Pid(const std::string& name) const { return processes_.Pid(name); }

  std::string NewKey();
  /// Sends a request of the test's team.
  ///
  /// @param key the request key; if empty, the entry generates one
  /// @param work the work class
  /// @param deadline zero for none
  std::shared_ptr<Exchange> SubmitRequest(
      size_t entry,
      const std::string& key,
      const std::string& work,
      int tokens,
      bool stream = false,
      const std::string& prompt = "Letter one",
      Duration deadline = Duration::zero());
  /// @param stream whether to collect the body as it arrives
  std::shared_ptr<Exchange> Send(HttpClient::Call call, bool stream = false);
  /// Sends a request and waits for its result.
  HttpResult Call(const std::string& address,
                  const std::string& method,
                  const std::string& path,
                  const std::string& body = "",
                  const std::string& bearer = "");
  /// Sends an operator's request and waits for its result.
  HttpResult Admin(size_t entry,
                   const std::string& method,
                   const std::string& path,
                   const std::string& body = "");
  /// Runs the event loop until the condition holds.
  ///
  /// @return false on a timeout
  bool Wait(const std::function<bool()>& condition);
  bool WaitReady(size_t entry);
  /// Waits until each entry has a live link to every other entry and agent.
  bool WaitLinked();

  std::string EntryAddress(size_t index) const {
    return Address("entry-" + std::to_string(index), "callers");
  }
  std::string EngineAddress(size_t index) const {
    return Address("engine-" + std::to_string(index), "http");
  }
  std::string PlatformAddress() const { return Address("platform", "http"); }
  /// Returns the address of a port of a process.
  std::string Address(const std::string& name, const std::string& port) const;
  /// Number of requests that the engines have started.
  uint64_t Starts();
  /// Version of the configuration in force at the entry.
  uint64_t VersionAt(size_t entry);
  std::string Log(const std::string& name) const;
  Relay& relay(size_t agent) { return *relays_[agent]; }
  EventLoop& loop() { return loop_; }
  /// Returns a configuration document.
  ///
  /// @param marker name of an additional model, which distinguishes documents
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
