#ifndef LAVENDERKEEL_TEST_FAKES_SERVER_FARM_H_
#define LAVENDERKEEL_TEST_FAKES_SERVER_FARM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "test/fakes/fleet_world.h"

namespace lavenderkeel::fakes {

/// Backend servers of a FleetWorld, which crash under requests with certain
/// bodies and start again under another id at the same address.
class ServerFarm {
 public:
  struct Options {
    int servers = 8;
    Duration answers_after = std::chrono::milliseconds(100);
    /// From the start of a run to the end of its server.
    Duration crashes_after = std::chrono::milliseconds(40);
    Duration back_after = std::chrono::seconds(3);
    /// The store lists a crashed server for this long.
    Duration lapses_after = std::chrono::milliseconds(3600);
  };

  ServerFarm(FleetWorld& fleet, const Options& options);

  /// Lets time pass, for the fleet too.
  void Advance(Duration by);
  void set_back_after(Duration back_after) { options_.back_after = back_after; }
  /// Requests with this body crash the server that runs them.
  void SetDeadly(const std::string& body) { deadly_.insert(body); }
  /// A server ends for a reason of its own.
  void Crash(int server);
  /// All connections to it are reset; it runs on.
  void ResetConnections(int server);

  /// Where a request with that body runs, if it does.
  std::optional<int> ServerOf(const std::string& body) const;

  int crashes() const { return crashes_; }
  bool up(int server) const { return servers_[At(server)].up; }
  /// When requests with that body reached a server.
  const std::vector<TimePoint>& reached(const std::string& body) {
    return reached_[body];
  }
  /// When servers ended under requests with that body.
  const std::vector<TimePoint>& ended(const std::string& body) {
    return ended_[body];
  }

 private:
  struct Server {
    std::string id;
    std::string address;
    int start = 0;
    bool up = false;
    TimePoint back_at;
  };
  struct Run {
    int entry = 0;
    uint64_t incarnation = 0;
    SentAttempt attempt;
    std::string body;
    size_t server = 0;
    TimePoint since;
  };

  static size_t At(int server) { return static_cast<size_t>(server); }
  static std::string BodyOf(const SentAttempt& attempt);
  void Step();
  void TakeSent(int entry);
  void Take(int entry, const SentAttempt& attempt);
  void Advance(const Run& run);
  void Start(size_t server);
  void End(size_t server);
  /// Takes away and returns what runs at the server.
  std::vector<Run> TakeRuns(size_t server);
  void Fail(const Run& run, AttemptFailure failure);
  void Answer(const Run& run, int status);
  bool Wanted(const Run& run) const;

  FleetWorld& fleet_;
  Options options_;
  std::vector<Server> servers_;
  std::vector<Run> runs_;
  /// Listed ids of ended servers, and when they lapse.
  std::map<std::string, TimePoint> lapsing_;
  /// What each entry had sent when it was looked at last.
  std::map<std::pair<int, uint64_t>, size_t> taken_;
  std::set<std::string> deadly_;
  std::map<std::string, std::vector<TimePoint>> reached_;
  std::map<std::string, std::vector<TimePoint>> ended_;
  int crashes_ = 0;
};

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_SERVER_FARM_H_
