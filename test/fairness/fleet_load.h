#ifndef LAVENDERKEEL_TEST_FAIRNESS_FLEET_LOAD_H_
#define LAVENDERKEEL_TEST_FAIRNESS_FLEET_LOAD_H_

#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "test/fakes/fleet_simulation.h"

namespace lavenderkeel {

/// Load of several teams on three entries and six plain servers, which can do
/// 120 requests a second. Clients that are refused come back once, as
/// Retry-After says.
class FleetLoad {
 public:
  struct Team {
    double per_second = 20;
    /// Rate that the configuration states; zero: none.
    double rate = 0;
    int priority = 0;
  };

  /// Requests of one team in some time, with their outcome so far.
  struct Outcome {
    int sent = 0;
    /// Answered within the latency target of the first sending.
    int in_time = 0;
    int answered = 0;
    /// Refused at least once.
    int refused = 0;

    double FractionInTime() const {
      return static_cast<double>(in_time) / sent;
    }
  };

  FleetLoad(const std::vector<Team>& teams, bool fair_shares);

  void Advance(Duration by);
  void SetRate(size_t team, double per_second) {
    teams_[team].per_second = per_second;
  }
  void Kill(int entry) { fleet_.Kill(entry); }
  void set_partitioned(int a, int b, bool partitioned) {
    fleet_.set_partitioned(a, b, partitioned);
  }
  TimePoint Now() const { return fleet_.Now(); }
  /// Returns the outcome of the requests first sent from `from` to `to`, except
  /// those of entries that were killed.
  Outcome OutcomeOf(size_t team, TimePoint from, TimePoint to) const;
  /// Number of requests that servers answered from `from` to `to`.
  int AnsweredBetween(TimePoint from, TimePoint to) const;
  /// The entry that runs the slot scheduler.
  int scheduler() const;
  const std::vector<std::string>& log_lines() const { return log_lines_; }
  const Metrics& metrics(int entry) const { return fleet_.metrics(entry); }

 private:
  static constexpr int kEntries = 3;
  static constexpr int kServers = 6;
  static constexpr int kSlots = 2;
  static constexpr Duration kWorkTime = std::chrono::milliseconds(100);
  static constexpr Duration kLatencyTarget = std::chrono::milliseconds(500);
  static constexpr Duration kPatience = std::chrono::seconds(10);

  struct Request {
    size_t team = 0;
    TimePoint sent_at;
    int entry = 0;
    bool refused = false;
    bool answered = false;
    TimePoint answered_at;
  };
  struct Retry {
    TimePoint at;
    size_t request = 0;
  };
  struct Run {
    int entry = 0;
    size_t index = 0;
    AttemptId attempt = 0;
    std::string request_id;
    bool started = false;
    TimePoint ends_at;
  };

  static fakes::FleetSimulation::Options FleetOptions(
      const std::vector<Team>& teams,
      bool fair_shares,
      std::vector<std::string>& log_lines);
  void SendDueRequests();
  void Send(size_t request, Duration time_left);
  void ReceiveAttempts();
  void RunServers();
  void ReadAnswers();

  std::vector<Team> teams_;
  std::vector<std::string> log_lines_;
  fakes::FleetSimulation fleet_;
  std::mt19937_64 random_{1};
  /// Next request of each team.
  std::vector<TimePoint> next_;
  std::vector<Request> requests_;
  std::vector<Retry> retries_;
  /// Requests without a final answer, by entry and exchange.
  std::map<std::pair<int, ExchangeId>, size_t> open_;
  /// Requests at each server, by address.
  std::map<std::string, std::deque<Run>> servers_;
  std::vector<size_t> received_ = std::vector<size_t>(kEntries);
  std::vector<TimePoint> answer_times_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_FAIRNESS_FLEET_LOAD_H_
