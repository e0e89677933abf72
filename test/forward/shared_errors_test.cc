// Servers of which all, or one, answer with errors.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "test/forward/scheduler_harness.h"

namespace lavenderkeel {

namespace {

constexpr int kServers = 4;
constexpr int kSlots = 2;

struct Harness : SchedulerHarness {
  explicit Harness(double max_error_backoff_fraction)
      : SchedulerHarness({.placement = {.max_error_backoff_fraction =
                                            max_error_backoff_fraction}}) {
    for (int i = 0; i < kServers; ++i) {
      directory.Apply({.id = "s" + std::to_string(i),
                       .service = "engine",
                       .slots = kSlots});
    }
  }

  /// Runs requests of which every second one that reaches a server of the list
  /// gets an error.
  /// @return the server of the last request
  std::string Run(int requests, const std::string& failing) {
    std::string server;
    for (int i = 0; i < requests; ++i) {
      clock.Advance(std::chrono::milliseconds(5));
      const AttemptId attempt = ++last_;
      scheduler.RequestSlot("entry",
                            {.attempt = attempt,
                             .service = "engine",
                             .model_server = true,
                             .in_time_until = clock.Now(),
                             .due = clock.Now() + std::chrono::seconds(9)});
      server = ServerOf(attempt);
      const bool fails =
          failing.find(server) != std::string::npos && ++runs_[server] % 2 == 0;
      scheduler.ReleaseSlot("entry", attempt,
                            {.kind = fails ? SlotResult::Kind::kServerError
                                           : SlotResult::Kind::kAnswered});
    }
    return server;
  }
  int free() const { return scheduler.FreeCapacity("engine", {}); }

 private:
  AttemptId last_ = 0;
  std::map<std::string, int> runs_;
};

}  // namespace

// Guards against slots that stay unused because all servers fail equally often
// and most of them are in backoff at any time.
BOOST_AUTO_TEST_CASE(ServersThatAllAnswerErrorsStayInUse) {
  Harness h(/*max_error_backoff_fraction=*/0.3);
  int least = kServers * kSlots;
  for (int i = 0; i < 50; ++i) {
    h.Run(10, "s0 s1 s2 s3");
    least = std::min(least, h.free());
  }
  BOOST_TEST(least >= kServers * kSlots * 2 / 3);
}

// Guards against a single failing server that attracts requests.
BOOST_AUTO_TEST_CASE(SingleServerThatAnswersErrorsIsInBackoff) {
  Harness h(/*max_error_backoff_fraction=*/0.3);
  const std::string favourite = h.Run(1, "");
  int least = kServers * kSlots;
  for (int i = 0; i < 100; ++i) {
    h.Run(1, favourite);
    least = std::min(least, h.free());
  }
  BOOST_TEST(least == (kServers - 1) * kSlots);
}

// Guards against a change of the default, with which all failing servers are in
// backoff while another is healthy.
BOOST_AUTO_TEST_CASE(WithoutTheFractionServersWithErrorsAreInBackoff) {
  Harness h(/*max_error_backoff_fraction=*/1);
  int least = kServers * kSlots;
  for (int i = 0; i < 50; ++i) {
    h.Run(10, "s0 s1 s2 s3");
    least = std::min(least, h.free());
  }
  BOOST_TEST(least <= kSlots);
}

}  // namespace lavenderkeel
