#ifndef LAVENDERKEEL_TEST_FAKES_FLEET_SIMULATION_H_
#define LAVENDERKEEL_TEST_FAKES_FLEET_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/forward/forward_node.h"
#include "test/fakes/forward_simulation.h"

namespace lavenderkeel::fakes {

/// Simulation of forwarding entries with in-memory links, a virtual clock, and
/// a store with one configuration, servers and rollouts. A link that is up
/// loses no message.
class FleetSimulation {
 public:
  struct Options {
    int entries = 4;
    /// Number of entries that run from the start, the first ones; all if
    /// nothing.
    std::optional<int> started = std::nullopt;
    /// Number of entries, the first ones, with five times the processor share
    /// of the others.
    int strong_entries = 0;
    /// Number of entries, the first ones, that are seeds.
    int seeds = 3;
    /// Whether the store lists a server "s" from the start.
    bool with_server = true;
    /// Whether the servers are a plain service instead of engines.
    bool plain_service = false;
    /// Token rate of the only team.
    TeamRate rate;
    /// Configuration in the store; ForwardSimulation::Table() with `rate` if
    /// empty.
    std::optional<RouteTableContent> table = {};
    int server_slots = 5;
    /// Called for each message on its delivery, which it may change.
    ///
    /// @return whether it is delivered
    std::function<bool(int from, int to, Message&)> on_delivery = {};
    EventLog log = {};
    /// Latency of messages.
    Duration network_delay = std::chrono::milliseconds(1);
    ForwardNode::Options node;
    /// Called for the options of each entry before it starts.
    std::function<void(int entry, ForwardNode::Options&)> adjust_node = {};
  };

  explicit FleetSimulation(const Options& options);
  ~FleetSimulation();

  /// Advances the virtual clock in steps of a millisecond.
  void Advance(Duration by);
  /// Sends a request to an entry.
  /// @param key API key of the team
  /// @param time_left how long the client waits for the answer
  /// @param extra further header fields
  ExchangeId Request(int entry,
                     const std::string& route = "lookup",
                     const std::string& body = "",
                     const std::string& key = "key",
                     Duration time_left = std::chrono::seconds(10),
                     const HttpFields& extra = {});
  /// When the client sent the request with this id.
  TimePoint RequestedAt(const std::string& request_id) const {
    return requested_at_.at(request_id);
  }
  /// Number of requests that the entry refused because of their team's rate.
  int Refused(int entry) const;
  /// Ends the process without notice to its peers. Start() restarts it.
  void Kill(int entry);
  void Start(int entry);

  /// Writes a server to the store and answers waiting watches. PutObject()
  /// writes one as JSON.
  void PutServer(const std::string& name,
                 bool draining,
                 const std::string& address = "10.0.1.1:1",
                 const std::string& version = "v1");
  void RemoveServer(const std::string& name);
  /// Writes the content of an object, as an operator does. The object keeps its
  /// status.
  void PutObject(const std::string& kind,
                 const std::string& name,
                 const std::string& content);
  /// Writes the status of an object, as another writer may.
  void PutStatus(const std::string& kind,
                 const std::string& name,
                 const std::string& status);
  void RemoveObject(const std::string& kind, const std::string& name);
  /// Status that the entries wrote to the object; empty if none.
  std::string StatusOf(const std::string& kind, const std::string& name) const;
  /// Sets whether the store is down, which fails every read and write.
  void set_store_down(bool down) { store_down_ = down; }
  /// Sets whether the entry is partitioned from the store.
  void set_store_cut(int entry, bool cut);
  /// Suspends a process, or resumes it: meanwhile it does nothing, and what is
  /// sent to it waits.
  void set_frozen(int entry, bool frozen);
  /// Number of reads by entries since the last ResetCounts.
  uint64_t store_reads() const { return store_reads_; }

  /// Starts or ends a partition between two entries.
  void set_partitioned(int a, int b, bool partitioned);

  /// Records what the entry sent to servers and clients since its start.
  FakeForwardPort& port(int entry) { return *processes_[ToIndex(entry)].port; }
  /// Calls a function on the entry's node, then executes the node's actions, as
  /// for an external event; later if the process is frozen.
  void RunIn(int entry, const std::function<void(ForwardNode&)>& task);
  TimePoint Now() const { return clock_.Now(); }
  uint64_t incarnation(int entry) const {
    return processes_[ToIndex(entry)].incarnation;
  }

  const Metrics& metrics(int entry) const {
    return *processes_[ToIndex(entry)].metrics;
  }
  ForwardNode& node(int entry) { return *processes_[ToIndex(entry)].node; }
  bool IsRunning(int entry) const {
    return processes_[ToIndex(entry)].node != nullptr;
  }
  /// Number of messages that the entry sent since the last ResetCounts.
  uint64_t messages_sent(int entry) const {
    return processes_[ToIndex(entry)].sent;
  }
  /// Number of messages that the entry received since the last ResetCounts.
  uint64_t messages_received(int entry) const {
    return processes_[ToIndex(entry)].received;
  }
  /// Number of entries in lists that were sent since the last ResetCounts.
  uint64_t list_entries_sent() const { return list_entries_sent_; }
  /// Number of servers in lists and changes that were sent since the last
  /// ResetCounts.
  uint64_t server_updates_sent() const { return server_updates_sent_; }
  void ResetCounts();
  int entries() const { return options_.entries; }

 private:
  struct Process {
    std::string address;
    std::unique_ptr<FakeForwardPort> port;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<ForwardNode> node;
    uint64_t incarnation = 0;
    uint64_t sent = 0;
    uint64_t received = 0;
    bool frozen = false;
    /// What was to happen while the process was frozen.
    std::vector<std::function<void()>> postponed;
  };
  struct Link {
    size_t from = 0;
    size_t to = 0;
    LinkId other_end = 0;
  };
  struct WaitingRead {
    size_t entry = 0;
    uint64_t incarnation = 0;
    ObjectRead read;
    std::function<void(const ObjectReadResult&)> done;
    TimePoint until;
  };
  struct Delivery {
    TimePoint at;
    std::function<void()> task;
  };

  static size_t ToIndex(int entry) { return static_cast<size_t>(entry); }
  InstanceInfo InfoOf(size_t entry) const;
  /// Performs a write to the registry of entries.
  void WriteRegistry(size_t entry, const RegistryWrite& write);
  /// Performs a write to the evidence of crashes.
  void WriteCrashArchive(size_t entry, const CrashArchiveWrite& write);
  void WriteStatus(size_t entry,
                   const RolloutOrder& order,
                   const RolloutRecord& record,
                   const std::function<void(const RecordWrite&)>& done);
  /// Answers a read, unless it is a watch without a change before its timeout.
  ///
  /// @return whether the read was answered
  bool Answer(const WaitingRead& waiting);
  void AnswerWatches();
  ForwardSource SourceOf(size_t entry);
  void ExecuteActions(size_t entry);
  void Deliver(LinkId link, Message& message);
  void Connect(size_t from, const std::string& address);
  void CloseLinkOf(LinkId link);
  /// Schedules a task after the network delay.
  void Schedule(std::function<void()> task);
  /// Runs a task of a process, or postpones it while the process is frozen.
  void RunUnlessFrozen(size_t entry, std::function<void()> task);
  bool ArePartitioned(size_t a, size_t b) const {
    return partitions_.contains(std::minmax(a, b));
  }

  Options options_;
  fuzz::VirtualClock clock_;
  EventLog log_;
  std::vector<Process> processes_;
  /// Both ends of each link, by the id at that end.
  std::map<LinkId, Link> links_;
  std::deque<Delivery> deliveries_;
  /// By kind and name.
  std::map<std::pair<std::string, std::string>, StoredObject> objects_;
  std::vector<WaitingRead> watches_;
  uint64_t revision_ = 0;
  uint64_t store_reads_ = 0;
  uint64_t list_entries_sent_ = 0;
  uint64_t server_updates_sent_ = 0;
  bool store_down_ = false;
  std::set<size_t> store_cuts_;
  std::set<std::pair<size_t, size_t>> partitions_;
  LinkId last_link_ = 0;
  ExchangeId last_exchange_ = 0;
  /// By request id.
  std::map<std::string, TimePoint> requested_at_;
};

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_FLEET_SIMULATION_H_
