#ifndef LAVENDERKEEL_TEST_FORWARD_PART_SIMULATION_H_
#define LAVENDERKEEL_TEST_FORWARD_PART_SIMULATION_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "test/fakes/simulated_servers.h"

namespace lavenderkeel {

/// Clients of several entries whose prompts share parts, in front of servers
/// that crash when they begin to answer prompts with certain parts.
class PartSimulation {
 public:
  /// Parts of a prompt that crash each server that answers a request which has
  /// all of them.
  struct Culprit {
    std::set<PromptPartId> parts;
    /// One in this many requests of the route has the parts; zero: none of its
    /// own.
    int one_in = 10;
    std::string route = "stream";
    /// Whether the parts come before the one that all requests of the route
    /// have.
    bool first = false;
    /// Sound part of nearly all requests with the culprit; zero: none.
    PromptPartId companion = 0;
  };

  struct Options {
    int entries = 4;
    std::optional<int> started = std::nullopt;
    int servers = 18;
    /// Parts of its own that each prompt has after its first part.
    int own_parts = 0;
    /// Interval between requests; the routes have them in rotation.
    Duration request_every = std::chrono::milliseconds(12);
    std::vector<std::string> routes = {"stream", "stream", "stream", "once",
                                       "lookup"};
    std::vector<Culprit> culprits = {{.parts = {kCulprit}}};
    /// When requests with culprits come, from the start of the traffic.
    Duration culprits_from = std::chrono::seconds(5);
    Duration culprits_until = std::chrono::seconds(45);
    /// Whether the culprit of the route "stream" has a companion also in this
    /// part of its requests.
    double companion_alone_one_in = 50;
    Duration crash_delay = std::chrono::milliseconds(60);
    Duration restart_delay = std::chrono::seconds(3);
    /// Whether answers end with their connection.
    bool end_with_connection = false;
    uint64_t seed = 1;
    EventLog log = {};
    ForwardNode::Options node = {};
  };

  /// What the clients of sound requests got.
  struct Outcomes {
    int sent = 0;
    /// Answered within kInTime.
    int in_time = 0;
    int late = 0;
    /// Refused at the last attempt.
    int refused = 0;
    /// Broken off, or answered with a failure.
    int cut = 0;

    int answered() const { return in_time + late; }
    friend bool operator==(const Outcomes&, const Outcomes&) = default;
  };

  explicit PartSimulation(const Options& options);

  /// Sends requests for the duration.
  /// @param during called every 10 ms with the time since the start
  void SendTraffic(
      Duration duration,
      const std::function<void(Duration)>& during = [](Duration) {});
  /// Sends one request with the parts of the culprit.
  void SendCulprit(int entry, const Culprit& culprit);
  /// Sends one sound request that has the part.
  void SendWithPart(int entry, const std::string& route, PromptPartId part);
  void Advance(Duration duration);
  /// Makes most requests arrive at this entry; nothing: all entries get as
  /// many.
  void SetPreferred(std::optional<int> entry) { preferred_ = entry; }

  void Kill(int entry);
  void Start(int entry);
  void RestartAll();
  /// Separates the entries below `first` from the others.
  void SetPartition(int first, bool partitioned);

  /// Servers that requests with the culprit crashed.
  int Crashes(size_t culprit = 0) const;
  /// The number of times that requests with the culprit reached a server, sent
  /// by entries in contact, later than kContactTime after its fifth crash.
  int LateArrivals(size_t culprit = 0) const;
  /// The fraction of sound requests of the culprit's route that reached a
  /// server at their first attempt, before the culprit came.
  double BegunBefore(size_t culprit = 0) const;
  /// The same from two contact times after the fifth crash, or the last one,
  /// while the culprit still came; nothing if there are too few.
  std::optional<double> BegunAfter(size_t culprit = 0) const;
  /// The fraction of sound requests sent in the time from the start of the
  /// traffic that were answered at their first attempt.
  double ServedAtFirst(Duration from, Duration until) const;
  /// Outcomes of sound requests sent in the time from the start of the traffic.
  Outcomes OutcomesOf(Duration from, Duration until) const;
  Outcomes AllOutcomes() const { return OutcomesOf({}, std::chrono::hours(1)); }
  /// The number of sound requests that an entry refused as crashing servers.
  int SoundRefusedAsCrashing() const;
  /// Whether a sound request with each part in use, the culprits' own parts
  /// excepted, is answered at its first attempt at each entry.
  bool AreSoundPartsServed();
  std::string Summary() const;

  const std::vector<Culprit>& culprits() const { return options_.culprits; }
  fakes::FleetSimulation& fleet() { return fleet_; }
  fakes::SimulatedServers& servers() { return servers_; }
  Duration now() const { return fleet_.Now() - start_; }

  static constexpr PromptPartId kCulprit = 0xbad1;
  static constexpr PromptPartId kSecondCulprit = 0xbad2;
  static constexpr PromptPartId kCompanion = 0xc0;
  static constexpr Duration kContactTime = std::chrono::seconds(3);
  static constexpr Duration kInTime = std::chrono::milliseconds(900);

 private:
  struct Request {
    std::string route;
    std::vector<PromptPartId> parts;
    /// Index of the culprit; nothing for a sound request.
    std::optional<size_t> culprit;
    int entry = 0;
    uint64_t incarnation = 0;
    ExchangeId exchange = 0;
    TimePoint first_sent;
    TimePoint sent;
    Duration time_left{};
    int attempts = 0;
    bool reached_at_first = false;
    bool ended = false;
    bool refused_as_crashing = false;
    int status = 0;
    TimePoint ended_at;
    /// When its client sends it again.
    std::optional<TimePoint> retry_at;
  };
  struct Arrival {
    TimePoint at;
    bool in_contact = false;
  };
  struct History {
    std::vector<Arrival> arrivals;
    std::vector<TimePoint> crashes;
  };

  void SendNext();
  size_t Add(Request request);
  void SendAttempt(size_t index);
  void UpdateClients();
  void OnAnswered(Request& request);
  void OnArrival(const std::string& request_id);
  void OnCrash(const std::string& request_id);
  std::optional<size_t> CulpritOf(const std::vector<PromptPartId>& parts) const;
  int RunningEntry(int preferred) const;
  PromptPartId SharedPart(const std::string& route) const;
  int Random(int below);
  double BegunFraction(size_t culprit, TimePoint from, TimePoint until) const;
  bool IsInContact(int entry) const;

  Options options_;
  std::mt19937_64 random_;
  std::vector<Request> requests_;
  /// Indices of the requests without a final result.
  std::vector<size_t> open_;
  /// By request id.
  std::map<std::string, size_t> by_id_;
  std::vector<History> history_;
  std::vector<TimePoint> started_at_;
  fakes::FleetSimulation fleet_;
  fakes::SimulatedServers servers_;
  TimePoint start_;
  Duration next_due_{};
  int next_ = 0;
  std::optional<int> preferred_;
  PromptPartId last_own_part_ = 0x100000;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_FORWARD_PART_SIMULATION_H_
