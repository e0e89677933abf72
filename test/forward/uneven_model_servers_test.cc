#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "test/forward/scheduler_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Six model servers at half load of streams whose lengths differ tenfold. Two
/// servers are five times as slow for seven seconds.
class ModelServers {
 public:
  ModelServers(bool server_probes, uint64_t seed)
      : harness_({.placement = {.server_probes = server_probes}}),
        random_(seed) {
    for (int i = 0; i < kServers; ++i) {
      harness_.directory.Apply(
          {.id = std::to_string(i), .service = "engines", .slots = kSlots});
    }
    start_ = next_ = harness_.clock.Now();
  }

  /// @return the number of streams that each server got in the time
  std::vector<int> Simulate(Duration duration) {
    std::vector<int> sent(kServers);
    const TimePoint end = harness_.clock.Now() + duration;
    while (harness_.clock.Now() < end) {
      Step(sent);
    }
    return sent;
  }

  static constexpr Duration kSlowFrom = seconds(12);
  static constexpr Duration kSlowUntil = seconds(19);
  static constexpr int kSlowServers = 2;

 private:
  static constexpr int kServers = 6;
  static constexpr int kSlots = 8;
  static constexpr double kEventMs = 30;

  struct Stream {
    int events = 0;
    double left_ms = 0;
    int server = 0;
    TimePoint sent;
  };

  void Step(std::vector<int>& sent) {
    const TimePoint now = harness_.clock.Now();
    constexpr double kStreamsPerSecond = 24;
    std::exponential_distribution<> gap(kStreamsPerSecond);
    while (now >= next_) {
      next_ += FromSeconds(gap(random_));
      RequestSlot();
    }
    harness_.scheduler.Tick();
    for (const auto& [attempt, server] : std::exchange(harness_.granted, {})) {
      Stream& stream = streams_.at(attempt);
      stream.server = std::stoi(server);
      stream.sent = now;
      ++sent.at(static_cast<size_t>(stream.server));
      running_.push_back(attempt);
    }
    std::vector<AttemptId> ended;
    for (const AttemptId attempt : running_) {
      Stream& stream = streams_.at(attempt);
      constexpr double kSlowness = 5;
      const bool slow = stream.server < kSlowServers &&
                        now - start_ >= kSlowFrom && now - start_ < kSlowUntil;
      stream.left_ms -= kStepMs / (slow ? kSlowness : 1);
      if (stream.left_ms <= 0) {
        ended.push_back(attempt);
      }
    }
    for (const AttemptId attempt : ended) {
      std::erase(running_, attempt);
      const Stream stream = streams_.at(attempt);
      streams_.erase(attempt);
      harness_.scheduler.ReleaseSlot(
          "entry", attempt,
          {.kind = SlotResult::Kind::kAnswered,
           .pace_ms =
               ToFractionalMilliseconds(now - stream.sent) / stream.events});
    }
    harness_.clock.Advance(milliseconds(kStepMs));
  }

  void RequestSlot() {
    std::lognormal_distribution<> length(3.3, 0.7);
    constexpr int kMinEvents = 5;
    const int events = std::max(kMinEvents, static_cast<int>(length(random_)));
    const AttemptId attempt = ++last_;
    streams_[attempt] = {.events = events, .left_ms = events * kEventMs};
    constexpr uint32_t kEstimatedEvents = 25;
    constexpr int kRanks = 2;
    harness_.scheduler.RequestSlot(
        "entry", {.attempt = attempt,
                  .service = "engines",
                  .model_server = true,
                  .priority = static_cast<int>(attempt % kRanks),
                  .in_time_until = harness_.clock.Now() + milliseconds(400),
                  .due = harness_.clock.Now() + seconds(20),
                  .size = {.prompt_tokens = 200, .events = kEstimatedEvents},
                  .event_gap_target = milliseconds(300),
                  .repeatable = true});
  }

  static constexpr int kStepMs = 5;

  SchedulerHarness harness_;
  std::mt19937_64 random_;
  std::map<AttemptId, Stream> streams_;
  std::vector<AttemptId> running_;
  TimePoint start_;
  TimePoint next_;
  AttemptId last_ = 0;
};

/// Use of the slow servers relative to an equal share.
double SlowShare(const std::vector<int>& sent) {
  double slow = 0;
  double all = 0;
  for (size_t i = 0; i < sent.size(); ++i) {
    all += sent[i];
    slow += i < ModelServers::kSlowServers ? sent[i] : 0;
  }
  return slow / all * static_cast<double>(sent.size()) /
         ModelServers::kSlowServers;
}

}  // namespace

// Streams show the pace of their server only when they end, so slowness lasts
// longer in the measurements than at the server. Without probes the servers are
// hardly used any more.
BOOST_AUTO_TEST_CASE(SlowModelServersReturnWhenTheyAreWell) {
  constexpr std::array<uint64_t, 6> kSeeds = {1, 2, 3, 4, 5, 6};
  for (const bool server_probes : {false, true}) {
    for (const uint64_t seed : kSeeds) {
      ModelServers servers(server_probes, seed);
      servers.Simulate(ModelServers::kSlowFrom + seconds(2));
      const double slow = SlowShare(servers.Simulate(seconds(5)));
      const double first = SlowShare(servers.Simulate(seconds(2)));
      const double well = SlowShare(servers.Simulate(seconds(8)));
      BOOST_TEST_MESSAGE("probes " << server_probes << ", seed " << seed
                                   << ": shares " << slow << " " << first << " "
                                   << well);
      if (server_probes) {
        BOOST_TEST(slow < 0.4);
        BOOST_TEST(well > 0.8);
      } else {
        BOOST_TEST(well < 0.5);
      }
    }
  }
}

}  // namespace lavenderkeel
