#ifndef LAVENDERKEEL_TEST_ROLLOUT_ROLLOUT_SIMULATION_H_
#define LAVENDERKEEL_TEST_ROLLOUT_ROLLOUT_SIMULATION_H_

#include <functional>
#include <optional>
#include <string>

#include "test/fakes/fleet_simulation.h"
#include "test/rollout/simulated_versions.h"

namespace lavenderkeel {

/// A simulation of clients, entries, servers of an old and a new version, and
/// an operator who orders the rollout.
class RolloutSimulation {
 public:
  struct Options {
    int entries = 4;
    SimulatedVersions::Options versions;
    double requests_per_second = 100;
    Duration order_duration = std::chrono::seconds(12);
    uint64_t seed = 1;
    EventLog log = {};
  };

  explicit RolloutSimulation(const Options& options);

  /// Sends requests for this long.
  /// @param during called every 10 ms
  void RunFor(
      Duration duration,
      const std::function<void()>& during = [] {});
  /// Starts servers of "v2" and orders the rollout to them.
  void OrderRollout();
  void WriteOrder();
  void SetRate(double requests_per_second) { rate_ = requests_per_second; }
  void Restart(int entry);

  /// Returns the state that the entries recorded; empty before the first
  /// record.
  std::string State() const;
  std::optional<TimePoint> ended_at() const { return ended_at_; }
  TimePoint ordered_at() const { return ordered_at_; }
  TimePoint due() const { return ordered_at_ + options_.order_duration; }

  /// Returns by how many requests "v2" exceeded the exposure limit between the
  /// order and its time limit; not positive if the limit was kept.
  double ExcessExposure() const;
  /// Returns the number of requests that reached "v2" more than the permitted
  /// rollback time after its fiftieth bad answer.
  int LateArrivals() const;
  /// Returns the fraction of the requests that were answered with status 200.
  double Served() const;

  fakes::FleetSimulation& fleet() { return fleet_; }
  SimulatedVersions& versions() { return versions_; }

 private:
  struct SentRequest {
    int entry = 0;
    uint64_t incarnation = 0;
    ExchangeId exchange = 0;
  };

  void Send();
  /// Stops or drains servers as the platform does once the rollout has ended.
  void ApplyState();

  Options options_;
  fakes::FleetSimulation fleet_;
  SimulatedVersions versions_;
  std::mt19937_64 random_;
  std::vector<SentRequest> sent_requests_;
  double rate_;
  double due_requests_ = 0;
  TimePoint ordered_at_;
  std::optional<TimePoint> ended_at_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_ROLLOUT_ROLLOUT_SIMULATION_H_
