#ifndef LAVENDERKEEL_TEST_ROLLOUT_SIMULATED_VERSIONS_H_
#define LAVENDERKEEL_TEST_ROLLOUT_SIMULATED_VERSIONS_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "test/fakes/fleet_simulation.h"

namespace lavenderkeel {

/// How a version is bad; a version with share 0 is good.
struct VersionFault {
  enum class Kind { kFails, kSlow, kDisconnects };

  Kind kind = Kind::kFails;
  /// Fraction of the answers that are affected.
  double share = 0;
  /// Latency multiple of slow answers.
  double factor = 4;
  /// Time from the order until the version becomes bad.
  Duration from{};
  /// Only while at least half of a server's slots are in use.
  bool under_load = false;
  /// The only affected route; empty for all.
  std::string route;
};

/// Simulated backend servers of two versions behind the entries of a
/// FleetSimulation.
class SimulatedVersions {
 public:
  struct Options {
    int servers = 8;
    int slots = 5;
    Duration answer_time = std::chrono::milliseconds(80);
    /// Latency multiple of every third server.
    double slow_third_factor = 3;
    /// Fraction of answers on the route "once" that fail at any version.
    double once_failures = 0.1;
    uint64_t seed = 1;
  };

  struct Arrival {
    TimePoint at;
    std::string version;
    std::string request;
  };

  SimulatedVersions(fakes::FleetSimulation& fleet, const Options& options);

  /// Lists Options::servers servers of the version.
  void AddVersion(const std::string& version);
  /// Removes the servers without draining them.
  void StopVersion(const std::string& version);
  void DrainVersion(const std::string& version);
  void SetFault(const std::string& version,
                const VersionFault& fault,
                TimePoint ordered);

  /// Advances the time of the fleet and the servers.
  void Advance(Duration by);

  /// Makes the server lose its runs and restart after `down`.
  void Crash(const std::string& version, int index, Duration down);
  /// Makes the server fail this fraction of its answers until the given time,
  /// whatever its version.
  void SetGreyFailure(const std::string& version,
                      int index,
                      double share,
                      TimePoint until);

  const std::vector<Arrival>& arrivals() const { return arrivals_; }
  int ArrivalsAt(const std::string& version) const;
  /// Returns the times at which the bad version's faults affected an answer.
  const std::vector<TimePoint>& bad_answers() const { return bad_answers_; }
  int RunningAt(const std::string& version) const;
  /// Returns the number of requests cut off when their servers were stopped.
  int cut_by_stop() const { return cut_by_stop_; }

 private:
  struct Server {
    std::string id;
    std::string address;
    std::string version;
    double speed = 1;
    bool up = true;
    TimePoint back_at;
    double grey_share = 0;
    TimePoint grey_until;
    int running = 0;
  };
  struct Run {
    int entry = 0;
    uint64_t incarnation = 0;
    size_t sent_index = 0;
    fakes::SentAttempt attempt;
    size_t server = 0;
    bool streams = false;
    bool fails = false;
    bool disconnects = false;
    bool head_sent = false;
    TimePoint first_at;
    TimePoint ends_at;
  };

  void Step();
  void StartSentAttempts(int entry);
  void StartRun(Run run);
  void DecideOutcome(Run& run, const Server& server, const std::string& route);
  bool IsAwaited(const Run& run) const;
  void Fail(const Run& run, AttemptFailure failure);
  void Reject(const Run& run, int status);
  void SendWholeAnswer(const Run& run);
  void SendChunk(Run& run, bool last);
  /// Removes the server's runs.
  /// @return how many of them a caller was waiting for
  int RemoveRuns(size_t server);
  Server& FindServer(const std::string& version, int index);
  bool Draw(double share) {
    return std::uniform_real_distribution<>(0, 1)(random_) < share;
  }

  fakes::FleetSimulation& fleet_;
  Options options_;
  std::mt19937_64 random_;
  std::vector<Server> servers_;
  std::vector<Run> runs_;
  std::map<std::pair<int, uint64_t>, size_t> processed_;
  std::string bad_version_;
  VersionFault fault_;
  TimePoint ordered_;
  std::vector<Arrival> arrivals_;
  std::vector<TimePoint> bad_answers_;
  int cut_by_stop_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_ROLLOUT_SIMULATED_VERSIONS_H_
