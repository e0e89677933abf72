#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "lavenderkeel/forward/upper_quantile_estimator.h"
#include "test/forward/scheduler_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Simulated plain servers that process some requests at once and queue a few
/// more.
class PlainServers {
 public:
  struct Options {
    int servers = 2;
    int slots = 6;
    Duration work_time = milliseconds(60);
    double requests_per_second = 250;
  };

  struct Result {
    int total = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
  };

  explicit PlainServers(const Options& options) : options_(options) {
    std::vector<BackendServer> servers;
    servers.reserve(static_cast<size_t>(options.servers));
    for (int i = 0; i < options.servers; ++i) {
      servers.push_back({.id = "s" + std::to_string(i),
                         .service = "plain",
                         .address = "10.0.0.1:" + std::to_string(i + 1),
                         .slots = options.slots});
    }
    harness_.directory.ApplyList(servers, harness_.clock.Now());
  }

  Result Simulate(Duration duration) {
    const TimePoint end = harness_.clock.Now() + duration;
    TimePoint next = harness_.clock.Now();
    std::exponential_distribution<> gap(options_.requests_per_second);
    while (harness_.clock.Now() < end) {
      while (harness_.clock.Now() >= next) {
        next += FromSeconds(gap(random_));
        SendRequest();
      }
      Step();
      harness_.clock.Advance(milliseconds(1));
    }
    return result_;
  }

 private:
  static constexpr Duration kTarget = milliseconds(300);
  static constexpr Duration kMaxWait = milliseconds(600);

  struct Request {
    TimePoint arrived;
    TimePoint sent;
    bool running = false;
    TimePoint ends;
  };

  void SendRequest() {
    const AttemptId id = ++last_;
    const TimePoint now = harness_.clock.Now();
    requests_[id] = {.arrived = now};
    ++result_.total;
    harness_.scheduler.RequestSlot(
        "e",
        {.attempt = id,
         .service = "plain",
         .in_time_until = now + kTarget - FromMilliseconds(answer_ms_.value()),
         .due = now + milliseconds(1500)});
  }

  void Step() {
    const TimePoint now = harness_.clock.Now();
    harness_.scheduler.Tick();
    for (const auto& [id, server] : harness_.granted) {
      requests_[id].sent = now;
      queues_[server].push_back(id);
    }
    harness_.granted.clear();
    for (auto& [server, queue] : queues_) {
      Run(queue);
    }
    std::vector<AttemptId> timed_out;
    for (const auto& [id, request] : requests_) {
      if (request.sent == TimePoint() && now - request.arrived > kMaxWait) {
        timed_out.push_back(id);
      }
    }
    for (const AttemptId id : timed_out) {
      harness_.scheduler.ReleaseSlot("e", id, {});
      requests_.erase(id);
      ++result_.refused;
    }
  }

  void Run(std::deque<AttemptId>& queue) {
    const TimePoint now = harness_.clock.Now();
    std::vector<AttemptId> ended;
    int slot = 0;
    for (const AttemptId id : queue) {
      if (slot++ == options_.slots) {
        break;
      }
      Request& request = requests_[id];
      if (!request.running) {
        request.running = true;
        request.ends = now + FromSeconds(ToSeconds(options_.work_time) *
                                         work_factor_(random_));
      }
      if (now >= request.ends) {
        ended.push_back(id);
      }
    }
    for (const AttemptId id : ended) {
      std::erase(queue, id);
      End(id);
    }
  }

  void End(AttemptId id) {
    const TimePoint now = harness_.clock.Now();
    const Request request = requests_[id];
    requests_.erase(id);
    answer_ms_.Add(ToFractionalMilliseconds(now - request.sent));
    ++(now - request.arrived <= kTarget ? result_.in_time : result_.late);
    harness_.scheduler.ReleaseSlot("e", id,
                                   {.kind = SlotResult::Kind::kAnswered});
  }

  Options options_;
  SchedulerHarness harness_;
  std::mt19937_64 random_{1};
  std::lognormal_distribution<> work_factor_{-0.12, 0.5};
  std::map<AttemptId, Request> requests_;
  std::map<std::string, std::deque<AttemptId>> queues_;
  UpperQuantileEstimator answer_ms_;
  AttemptId last_ = 0;
  Result result_;
};

}  // namespace

// A quarter more plain work than the servers can do. If the oldest request went
// first, each would wait until it is just too late.
BOOST_AUTO_TEST_CASE(MostRequestsAreInTimeUnderOverload) {
  PlainServers servers({});
  const PlainServers::Result result = servers.Simulate(seconds(20));
  BOOST_TEST_MESSAGE("requests " << result.total << " in time "
                                 << result.in_time << " late " << result.late
                                 << " refused " << result.refused);
  // The capacity is 200 a second; nine in ten of these must be in time.
  constexpr int kCapacity = 200 * 20;
  BOOST_TEST(result.in_time * 10 >= kCapacity * 9);
}

// Plain work within the capacity: requests must not wait past their target.
BOOST_AUTO_TEST_CASE(AllRequestsAreInTimeWithinCapacity) {
  PlainServers servers({.requests_per_second = 160});
  const PlainServers::Result result = servers.Simulate(seconds(20));
  BOOST_TEST_MESSAGE("requests " << result.total << " in time "
                                 << result.in_time << " late " << result.late
                                 << " refused " << result.refused);
  BOOST_TEST(result.in_time * 100 >= result.total * 99);
}

}  // namespace lavenderkeel
