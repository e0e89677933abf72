// Requests that come late in the stop of an entry or agent of the product's own
// interface.
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "test/process/cluster.h"

namespace lavenderkeel::test {

namespace {

constexpr int kTokens = 120;

/// Sends checks, which may run once, by turns as streams and as a whole.
class LateRequests {
 public:
  LateRequests() : cluster_({.entries = 2, .agents = 3}) {}

  void Send() {
    const bool stream = exchanges_.size() % 2 == 0;
    exchanges_.push_back(
        cluster_.SubmitRequest(0, cluster_.NewKey(), "check", kTokens, stream));
  }

  /// Sends requests until the process ends, or for three seconds, and waits for
  /// all outcomes.
  void SendUntilEnd(const std::string& process) {
    constexpr Duration kPeriod = std::chrono::milliseconds(40);
    const TimePoint end = clock_.Now() + std::chrono::seconds(3);
    while (clock_.Now() < end && cluster_.IsRunning(process)) {
      Send();
      const TimePoint next = clock_.Now() + kPeriod;
      cluster_.Wait([&] { return clock_.Now() > next; });
    }
    for (const auto& exchange : exchanges_) {
      BOOST_TEST(cluster_.Wait([&] { return exchange->done; }));
    }
  }

  /// Checks that each request has its whole answer or was refused unrun.
  /// @return the number of answers
  uint64_t CheckOutcomes() {
    uint64_t answered = 0;
    for (const auto& exchange : exchanges_) {
      const HttpResult& result = exchange->result;
      if (result.kind == HttpResult::Kind::kNotSent) {
        continue;
      }
      BOOST_TEST((result.kind == HttpResult::Kind::kAnswered));
      if (result.status == 200) {
        ++answered;
        BOOST_TEST(exchange->IsComplete());
      } else {
        BOOST_TEST(result.status == 503);
      }
    }
    BOOST_TEST(cluster_.Starts() == answered);
    return answered;
  }

  Cluster& cluster() { return cluster_; }

 private:
  SystemClock clock_;
  Cluster cluster_;
  std::vector<std::shared_ptr<Exchange>> exchanges_;
};

}  // namespace

// Guards against a request that is taken late in a stop and cut at its end, and
// against a refusal of one that ran.
BOOST_AUTO_TEST_CASE(RequestsLateInAStopAreAnsweredOrRefused) {
  for (const char* process : {"entry-0", "agent-0"}) {
    BOOST_TEST_CONTEXT(process) {
      LateRequests requests;
      constexpr int kBefore = 10;
      for (int i = 0; i < kBefore; ++i) {
        requests.Send();
      }
      requests.cluster().Wait([&] { return requests.cluster().Starts() > 0; });
      requests.cluster().Signal(process, SIGTERM);
      requests.SendUntilEnd(process);
      BOOST_TEST(requests.CheckOutcomes() >= kBefore);
    }
  }
}

}  // namespace lavenderkeel::test
