#ifndef LAVENDERKEEL_TEST_FAKES_SIMULATED_SERVERS_H_
#define LAVENDERKEEL_TEST_FAKES_SIMULATED_SERVERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "test/fakes/fleet_simulation.h"
#include "test/fakes/server_history.h"

namespace lavenderkeel::fakes {

/// Simulation of the backend servers of a FleetSimulation. A server crashes
/// when it runs a request with a crashing body, and restarts with a new id at
/// the same address.
class SimulatedServers {
 public:
  /// What becomes of a request that reaches a server.
  enum class Fate {
    kAnswered,
    /// The server answers with an error after it ran the request.
    kError,
    /// The server does not run the request, and says so.
    kRejected,
    /// The server runs the request; its connection ends before the answer.
    kLost,
    /// The answer ends early: a stream after a part of its events.
    kCut,
    /// The bytes received are no answer.
    kGarbled,
  };

  struct Options {
    int servers = 8;
    /// From the start of a run to its answer.
    Duration answer_delay = std::chrono::milliseconds(100);
    /// From the start of a run to the crash of its server.
    Duration crash_delay = std::chrono::milliseconds(40);
    /// From the crash to the restart of a server.
    Duration restart_delay = std::chrono::seconds(3);
    /// From the crash of a server to its removal from the store.
    Duration removal_delay = std::chrono::milliseconds(3600);
    /// Called for each request that reaches a running server.
    std::function<Fate(int server)> decide_fate = {};
    std::function<void(const std::string& request_id)> on_arrival = {};
    /// Whether a request crashes the server that runs it; by its body if empty,
    /// see SetCrashing.
    std::function<bool(const SentAttempt&)> is_crashing = {};
    /// Called for each request that crashes its server.
    std::function<void(const std::string& request_id)> on_crash = {};
    /// Whether the streams that a crash cuts have delivered the events of the
    /// work done so far; else they have delivered nothing.
    bool cut_streams_midway = false;
    /// Whether answers have neither a length nor chunks and end with their
    /// connection, also those that a crash cuts.
    bool end_with_connection = false;
  };

  SimulatedServers(FleetSimulation& fleet, const Options& options);

  /// Advances the time of the servers and of the fleet.
  void Advance(Duration by);
  void set_restart_delay(Duration restart_delay) {
    options_.restart_delay = restart_delay;
  }
  /// Makes requests with this body crash the server that runs them.
  void SetCrashing(const std::string& body) { crashing_bodies_.insert(body); }
  /// Makes the server name a limit of requests a second in its answers;
  /// nothing: no longer.
  void SetLimit(int server, std::optional<double> per_second);
  /// Makes the server say in its answers that it leaves; it runs on.
  void SetLeaving(int server);
  bool IsLeaving(int server) const { return servers_[ToIndex(server)].leaving; }
  /// Makes the server turn requests away and ask the sender for a rest;
  /// nothing: no longer.
  /// @param only_entry the entry whose requests are turned away; -1: all
  void SetPushback(int server,
                   std::optional<Duration> retry_after,
                   int only_entry = -1) {
    servers_[ToIndex(server)].pushback = retry_after;
    servers_[ToIndex(server)].only_entry = only_entry;
  }
  /// Makes runs at the server take longer by this factor from now on.
  void SetSlowness(int server, double slowness) {
    servers_[ToIndex(server)].slowness = slowness;
  }
  /// Makes the server answer one in `period` requests with an error; zero:
  /// none.
  void SetFailing(int server, int period) {
    servers_[ToIndex(server)].failing_period = period;
  }
  /// Makes the server add fields to its answers.
  void SetAnswerFields(int server, const HttpFields& fields) {
    servers_[ToIndex(server)].answer_fields = fields;
  }
  /// Crashes a server independently of its requests.
  void Crash(int server);
  /// Resets all connections to a server, which keeps running.
  void ResetConnections(int server);

  /// Returns the server that runs a request with this body, if any.
  std::optional<int> ServerOf(const std::string& body) const;

  ServerHistory& history() { return history_; }
  /// Id under which the server is listed.
  const std::string& IdOf(int server) const {
    return servers_[ToIndex(server)].id;
  }
  int crashes() const { return crashes_; }
  bool IsRunning(int server) const { return servers_[ToIndex(server)].up; }
  /// Times at which requests with this body reached a server.
  const std::vector<TimePoint>& arrival_times(const std::string& body) {
    return arrival_times_[body];
  }
  /// Times at which requests with this body crashed a server.
  const std::vector<TimePoint>& crash_times(const std::string& body) {
    return crash_times_[body];
  }

 private:
  struct Server {
    std::string id;
    std::string address;
    int starts = 0;
    bool up = false;
    TimePoint restart_at;
    std::optional<double> limit;
    HttpFields answer_fields;
    bool leaving = false;
    std::optional<Duration> pushback;
    int only_entry = -1;
    double slowness = 1;
    int failing_period = 0;
    /// Number of answers since the start.
    int answers = 0;
  };
  struct Run {
    int entry = 0;
    uint64_t incarnation = 0;
    SentAttempt attempt;
    std::string body;
    size_t server = 0;
    Fate fate = Fate::kAnswered;
    TimePoint started_at;
    /// Work done so far, as time at a server of usual speed.
    Duration worked{};
  };

  static size_t ToIndex(int server) { return static_cast<size_t>(server); }
  static std::string BodyOf(const SentAttempt& attempt);
  void Step();
  void ReceiveAttempts(int entry);
  void ReceiveAttempt(int entry, const SentAttempt& attempt);
  bool IsCrashing(const Run& run) const;
  /// Answers a run that is due, or crashes its server.
  void Advance(const Run& run);
  void Start(size_t server);
  void CrashServer(size_t server);
  /// Removes and returns the runs of a server.
  std::vector<Run> TakeRuns(size_t server);
  void Fail(const Run& run, AttemptFailure failure);
  void Answer(const Run& run, int status);
  /// Ends the answer of a run that crashed its server right after the head.
  void EndAfterHead(const Run& run);
  /// Ends a run as its fate says.
  void Finish(const Run& run);
  /// Delivers the events after the last one that the client has, all or some of
  /// them before the connection ends.
  void AnswerStream(const Run& run, bool complete, int cut_after_events);
  /// Returns the status of the server's next answer to a run that is complete.
  int NextStatus(Server& server);
  /// Whether the entry still waits for the answer of the run.
  bool IsAwaited(const Run& run) const;

  FleetSimulation& fleet_;
  Options options_;
  std::vector<Server> servers_;
  std::vector<Run> runs_;
  /// Ids of crashed servers that the store still lists, with the time of their
  /// removal.
  std::map<std::string, TimePoint> pending_removals_;
  /// Number of processed attempts, by entry and incarnation.
  std::map<std::pair<int, uint64_t>, size_t> received_counts_;
  std::set<std::string> crashing_bodies_;
  std::map<std::string, std::vector<TimePoint>> arrival_times_;
  std::map<std::string, std::vector<TimePoint>> crash_times_;
  ServerHistory history_;
  int crashes_ = 0;
};

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_SIMULATED_SERVERS_H_
