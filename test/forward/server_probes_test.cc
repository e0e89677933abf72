#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/forward/scheduler_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kUrgent = 0;
constexpr int kLeastUrgent = 2;

/// Scheduler with plain servers of two slots, four requests each.
struct Harness : SchedulerHarness {
  explicit Harness(int servers, bool server_probes = true)
      : SchedulerHarness({.placement = {.server_probes = server_probes},
                          .paces = {.on_event = [this](const PaceEvent& event) {
                            events.push_back(event);
                          }}}) {
    for (int i = 0; i < servers; ++i) {
      directory.Apply({.id = std::string(1, static_cast<char>('a' + i)),
                       .service = "plain",
                       .slots = 2});
    }
  }

  /// @return the server that the request is granted
  std::string Request(int priority, bool repeatable = true) {
    scheduler.RequestSlot("entry",
                          {.attempt = ++last,
                           .service = "plain",
                           .priority = priority,
                           .in_time_until = clock.Now() + milliseconds(300),
                           .due = clock.Now() + seconds(10),
                           .repeatable = repeatable});
    return ServerOf(last);
  }
  void End(AttemptId attempt, SlotResult::Kind kind) {
    scheduler.ReleaseSlot("entry", attempt, {.kind = kind, .pace_ms = 60});
  }
  /// Puts a server out of use. Other servers answer.
  void Fail(const std::string& server) {
    // The first request may go elsewhere, and so may those after a failure.
    for (int i = 0; i < 64; ++i) {
      const bool failed = Request(kLeastUrgent) == server;
      End(last, failed ? SlotResult::Kind::kUnreachable
                       : SlotResult::Kind::kAnswered);
      clock.Advance(milliseconds(1));
    }
  }
  /// Lets time pass while urgent requests keep the other servers in use, so
  /// that only the failed one is due for a probe.
  void Run(Duration duration) {
    constexpr Duration kStep = milliseconds(20);
    for (Duration ran{}; ran < duration; ran += kStep) {
      Request(kUrgent);
      End(last, SlotResult::Kind::kAnswered);
      clock.Advance(kStep);
    }
  }
  int Count(PaceEvent::Kind kind) const {
    int count = 0;
    for (const PaceEvent& event : events) {
      count += event.kind == kind ? 1 : 0;
    }
    return count;
  }
  /// Sends requests until all slots are taken.
  /// @return the number at the server
  int Fill(const std::string& server) {
    int count = 0;
    for (std::string choice = Request(kLeastUrgent); choice != "none";
         choice = Request(kLeastUrgent)) {
      count += choice == server ? 1 : 0;
    }
    // Withdraws the request that waits.
    End(last, SlotResult::Kind::kUnused);
    return count;
  }

  std::vector<PaceEvent> events;
  AttemptId last = 0;
};

}  // namespace

// At the end of its backoff a crashed server would get as many requests as it
// has slots, and lose them all. Only one may go there until it has answered.
BOOST_AUTO_TEST_CASE(FailedServerGetsOneProbeAtATime) {
  Harness h(3);
  h.Fail("a");
  BOOST_TEST(h.Count(PaceEvent::Kind::kFailed) == 1);
  BOOST_TEST(h.Request(kLeastUrgent) != "a");
  h.clock.Advance(seconds(5));
  BOOST_TEST(h.Fill("a") == 1);
}

// A probe may be lost or late, so that it must not be a request that matters
// more than others which come as often.
BOOST_AUTO_TEST_CASE(UrgentRequestsAreNoProbes) {
  Harness h(3);
  h.Fail("a");
  h.Run(milliseconds(600));
  BOOST_TEST(h.Request(kUrgent) != "a");
  BOOST_TEST(h.Request(kLeastUrgent) == "a");
}

// While its backoff lasts, a server that failed likely loses its requests; one
// that may not run again must not go there.
BOOST_AUTO_TEST_CASE(OnlyRepeatableRequestsGoToServerInBackoff) {
  Harness h(3);
  h.Fail("a");
  h.Run(milliseconds(520));
  // The backoff of the last of several failures lasts for longer.
  for (int failure = 0; failure < 4; ++failure) {
    BOOST_REQUIRE(h.Request(kLeastUrgent) == "a");
    h.End(h.last, SlotResult::Kind::kUnreachable);
    h.Run(milliseconds(520));
  }
  BOOST_TEST(h.Request(kLeastUrgent, /*repeatable=*/false) != "a");
  BOOST_TEST(h.Request(kLeastUrgent) == "a");
}

// Probes reach a failed server every half second, so that it is found to be
// well soon, and its capacity then grows with its answers.
BOOST_AUTO_TEST_CASE(FailedServerReturnsGradually) {
  Harness h(3);
  h.Fail("a");
  h.Run(milliseconds(500));
  int probes = 0;
  while (h.Count(PaceEvent::Kind::kReturned) == 0 && probes < 10) {
    BOOST_REQUIRE(h.Request(kLeastUrgent) == "a");
    ++probes;
    const AttemptId probe = h.last;
    h.Run(milliseconds(60));
    h.End(probe, SlotResult::Kind::kAnswered);
  }
  BOOST_TEST(probes <= 5);
  constexpr int kFirstCapacity = 2;
  constexpr int kFullCapacity = 4;
  BOOST_TEST(h.Fill("a") == kFirstCapacity);
  const auto running = h.granted;
  for (const auto& [attempt, server] : running) {
    h.End(attempt, SlotResult::Kind::kAnswered);
  }
  h.granted.clear();
  h.Run(milliseconds(60));
  BOOST_TEST(h.Fill("a") == kFullCapacity);
}

// The entry that holds the probe is killed. Its probe never ends, and the
// server must be probed again.
BOOST_AUTO_TEST_CASE(ProbeOfLostEntryIsReplaced) {
  Harness h(3);
  h.Fail("a");
  h.Run(milliseconds(600));
  BOOST_REQUIRE(h.Request(kLeastUrgent) == "a");
  h.scheduler.ForgetEntry("entry");
  h.Run(milliseconds(600));
  BOOST_TEST(h.Request(kLeastUrgent) == "a");
}

// A fault that all servers share must not send the load of all to the few that
// have not failed yet.
BOOST_AUTO_TEST_CASE(MostServersAreNeverOutOfUse) {
  Harness h(3);
  h.Fail("a");
  h.Fail("b");
  h.clock.Advance(seconds(5));
  BOOST_TEST(h.Fill("a") == 4);
}

// Without the option nothing is tracked, and decisions are as they were.
BOOST_AUTO_TEST_CASE(WithoutProbesServerGetsFullLoadAfterBackoff) {
  Harness h(3, /*server_probes=*/false);
  h.Fail("a");
  h.clock.Advance(seconds(5));
  BOOST_TEST(h.Fill("a") == 4);
  BOOST_TEST(h.events.empty());
}

}  // namespace lavenderkeel
