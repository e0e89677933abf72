#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "test/forward/scheduler_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Scheduler with measured speeds of two servers of two slots: "fast" makes an
/// event in 10 ms and reads 100 prompt tokens in a millisecond, "slow" is eight
/// times slower.
struct Harness : SchedulerHarness {
  explicit Harness(bool server_probes)
      : SchedulerHarness({.placement = {.server_probes = server_probes}}) {
    for (const char* id : {"fast", "slow"}) {
      directory.Apply({.id = id, .service = "engines", .slots = 2});
    }
    // The four requests take all slots of both servers.
    for (AttemptId attempt = 1; attempt <= 4; ++attempt) {
      RequestSlot(attempt, {});
    }
    for (AttemptId attempt = 1; attempt <= 4; ++attempt) {
      const double slowness = granted.at(attempt) == "slow" ? 8 : 1;
      Done(attempt, {.kind = SlotResult::Kind::kAnswered,
                     .pace_ms = 10 * slowness,
                     .read = PromptRead{.tokens = 1000, .ms = 10 * slowness}});
    }
  }

  void RequestSlot(AttemptId attempt, const WorkSize& size) {
    scheduler.RequestSlot("entry",
                          {.attempt = attempt,
                           .service = "engines",
                           .model_server = true,
                           .in_time_until = clock.Now() + milliseconds(300),
                           .due = clock.Now() + seconds(10),
                           .size = size,
                           .event_gap_target = milliseconds(250)});
  }
  void Done(AttemptId attempt, const SlotResult& result = {}) {
    scheduler.ReleaseSlot("entry", attempt, result);
  }
  /// Takes both slots of the fast server.
  void FillFast() {
    RequestSlot(11, {.events = 10});
    RequestSlot(12, {.events = 10});
    BOOST_REQUIRE(ServerOf(11) == "fast");
    BOOST_REQUIRE(ServerOf(12) == "fast");
  }
};

constexpr std::array<bool, 2> kServerProbes = {false, true};

}  // namespace

// Only the slow server has a free slot, where the answer's 200 events take 16
// s, but the client leaves after 10 s. The request must wait for the fast
// server, and the short answer behind it takes the slot meanwhile.
BOOST_AUTO_TEST_CASE(LongAnswerWaitsForServerThatCanFinishInTime) {
  for (const bool server_probes : kServerProbes) {
    Harness h(server_probes);
    h.FillFast();
    h.RequestSlot(21, {.events = 200});
    h.RequestSlot(22, {.events = 20});
    BOOST_TEST(h.ServerOf(21) == "none");
    BOOST_TEST(h.ServerOf(22) == "slow");
    h.Done(11);
    BOOST_TEST(h.ServerOf(21) == "fast");
  }
}

// A stream runs at the slow server. Reading a prompt of 5,000 tokens there
// takes 400 ms, which would stall the stream. The long prompt must wait for the
// fast server as long as it can be in time itself.
BOOST_AUTO_TEST_CASE(LongPromptDoesNotStallStreams) {
  for (const bool server_probes : kServerProbes) {
    Harness h(server_probes);
    h.FillFast();
    h.RequestSlot(21, {.events = 20});
    BOOST_REQUIRE(h.ServerOf(21) == "slow");
    h.RequestSlot(22, {.prompt_tokens = 5000, .events = 20});
    BOOST_TEST(h.ServerOf(22) == "none");
    h.clock.Advance(milliseconds(310));
    h.scheduler.GrantFreeSlots();
    BOOST_TEST(h.ServerOf(22) == "slow");
  }
}

// By estimate, no server can finish the answer in time. Estimates err, so the
// request must be sent all the same, to the fastest server.
BOOST_AUTO_TEST_CASE(RequestThatFitsNoServerGoesToTheFastest) {
  for (const bool server_probes : kServerProbes) {
    Harness h(server_probes);
    h.RequestSlot(21, {.prompt_tokens = 100'000, .events = 2000});
    BOOST_TEST(h.ServerOf(21) == "fast");
  }
}

// The only server that fits is unreachable and in backoff. The request must go
// to the other server rather than wait.
BOOST_AUTO_TEST_CASE(RequestsDoNotWaitForServersInBackoff) {
  for (const bool server_probes : kServerProbes) {
    Harness h(server_probes);
    h.RequestSlot(21, {.events = 10});
    h.Done(21, {.kind = SlotResult::Kind::kUnreachable});
    h.RequestSlot(22, {.events = 200});
    BOOST_TEST(h.ServerOf(22) == "slow");
  }
}

// Short streams come one after the other to equal servers. The first server in
// a fixed order would get them all, and be the slowest.
BOOST_AUTO_TEST_CASE(EqualModelServersTakeTurns) {
  for (const bool server_probes : kServerProbes) {
    SchedulerHarness h({.placement = {.server_probes = server_probes}});
    constexpr int kServers = 6;
    for (int i = 0; i < kServers; ++i) {
      h.directory.Apply(
          {.id = std::to_string(i), .service = "engines", .slots = 4});
    }
    std::map<std::string, int> streams;
    constexpr AttemptId kStreams = 300;
    for (AttemptId attempt = 1; attempt <= kStreams; ++attempt) {
      h.scheduler.RequestSlot(
          "entry", {.attempt = attempt,
                    .service = "engines",
                    .model_server = true,
                    .in_time_until = h.clock.Now() + milliseconds(300),
                    .due = h.clock.Now() + seconds(10),
                    .size = {.events = 10},
                    .event_gap_target = milliseconds(250)});
      ++streams[h.ServerOf(attempt)];
      h.clock.Advance(milliseconds(100));
      h.scheduler.ReleaseSlot(
          "entry", attempt,
          {.kind = SlotResult::Kind::kAnswered, .pace_ms = 10});
    }
    const auto [least, most] = std::ranges::minmax_element(
        streams, {}, [](const auto& item) { return item.second; });
    const bool equal =
        streams.size() == kServers && most->second <= 1.3 * least->second;
    BOOST_TEST(equal == server_probes);
  }
}

}  // namespace lavenderkeel
