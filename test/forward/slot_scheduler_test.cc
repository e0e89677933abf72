#include "lavenderkeel/forward/slot_scheduler.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "lavenderkeel/base/rendezvous.h"
#include "test/forward/scheduler_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;

/// Scheduler with `servers` servers of two slots that records its grants.
struct Harness : SchedulerHarness {
  explicit Harness(int servers) {
    for (int i = 1; i <= servers; ++i) {
      directory.Apply({.id = "s" + std::to_string(i),
                       .service = "engines",
                       .address = "127.0.0.1:1",
                       .slots = 2});
    }
  }

  void RequestSlot(const std::string& entry,
                   AttemptId attempt,
                   int priority = 0,
                   int route_priority = 0) {
    scheduler.RequestSlot(entry,
                          {.attempt = attempt,
                           .service = "engines",
                           .model_server = true,
                           .priority = priority,
                           .route_priority = route_priority,
                           .in_time_until = clock.Now() + milliseconds(500),
                           .due = clock.Now() + std::chrono::seconds(10)});
  }
};

}  // namespace

// An urgent request must not wait behind less urgent ones of another entry: the
// next free slot goes to the most urgent request of all entries.
BOOST_AUTO_TEST_CASE(SlotsGoToMostUrgentRequestOfAllEntries) {
  Harness h(1);
  h.RequestSlot("a", 1);
  h.RequestSlot("b", 2);
  h.RequestSlot("a", 3, /*priority=*/2);
  h.RequestSlot("b", 4, /*priority=*/1);
  BOOST_TEST(h.granted.size() == 2U);
  h.scheduler.ReleaseSlot("b", 2, {.kind = SlotResult::Kind::kAnswered});
  BOOST_TEST(h.ServerOf(4) == "s1");
  BOOST_TEST(h.ServerOf(3) == "none");
}

// In a burst, a request that waited past its target goes behind one that can
// still be in time, but must still get a slot.
BOOST_AUTO_TEST_CASE(RequestsStillInTimeGoBeforeLateOnes) {
  Harness h(1);
  h.RequestSlot("a", 1);
  h.RequestSlot("a", 2);
  h.RequestSlot("a", 3);
  h.clock.Advance(milliseconds(600));
  h.RequestSlot("a", 4);
  h.scheduler.ReleaseSlot("a", 1, {.kind = SlotResult::Kind::kAnswered});
  BOOST_TEST(h.ServerOf(4) == "s1");
  BOOST_TEST(h.ServerOf(3) == "none");
  h.scheduler.ReleaseSlot("a", 2, {.kind = SlotResult::Kind::kAnswered});
  BOOST_TEST(h.ServerOf(3) == "s1");
}

// A new scheduler must count the requests that entries already have at the
// servers, although it granted none of them.
BOOST_AUTO_TEST_CASE(NewSchedulerCountsReportedRequests) {
  Harness h(1);
  h.scheduler.OnReport("a", {{.server_hash = HashBytes("s1"), .in_flight = 2}});
  h.RequestSlot("b", 1);
  BOOST_TEST(h.ServerOf(1) == "none");
  h.scheduler.OnReport("a", {});
  BOOST_TEST(h.ServerOf(1) == "s1");
}

// The end of an attempt is lost with a connection. Its slot must be free again
// once the entry's reports no longer show the attempt.
BOOST_AUTO_TEST_CASE(SlotIsFreedWhenEndOfAttemptIsLost) {
  Harness h(1);
  h.RequestSlot("a", 1);
  h.RequestSlot("a", 2);
  h.RequestSlot("b", 3);
  h.clock.Advance(milliseconds(200));
  h.scheduler.OnReport("a", {});
  BOOST_TEST(h.ServerOf(3) == "none");
  h.clock.Advance(milliseconds(100));
  h.scheduler.OnReport("a", {});
  BOOST_TEST(h.ServerOf(3) == "s1");
}

// Guards against free servers that get no requests since those at the head of
// the queue, more than a pass may skip, are for servers of another version or
// may not run beside what the free ones run.
BOOST_AUTO_TEST_CASE(RequestsWithoutAServerLetOthersThrough) {
  for (const bool by_version : {true, false}) {
    Harness h(2);
    if (by_version) {
      h.directory.Apply({.id = "s1",
                         .service = "engines",
                         .address = "127.0.0.1:1",
                         .version = "v2",
                         .slots = 2});
    }
    AttemptId attempt = 0;
    const auto request = [&](const std::string& version,
                             CrashSuspicion suspicion) {
      h.scheduler.RequestSlot(
          "a", {.attempt = ++attempt,
                .service = "engines",
                .model_server = true,
                .in_time_until = h.clock.Now() + std::chrono::seconds(5),
                .due = h.clock.Now() + std::chrono::seconds(10),
                .version = version,
                .suspicion = suspicion});
    };
    // One doubtful request at each server keeps others from both.
    const CrashSuspicion suspicion =
        by_version ? CrashSuspicion::kClear : CrashSuspicion::kDoubtful;
    const std::string version = by_version ? "v2" : "";
    constexpr int kMoreThanSkipped = 400;
    for (int i = 0; i < kMoreThanSkipped; ++i) {
      request(version, suspicion);
    }
    BOOST_TEST(h.granted.size() == 2U);
    request(/*version=*/"", CrashSuspicion::kClear);
    BOOST_TEST(h.ServerOf(attempt) != "none");
  }
}

BOOST_AUTO_TEST_CASE(SlotsOfLostEntryAreFreed) {
  Harness h(1);
  h.RequestSlot("a", 1);
  h.RequestSlot("a", 2);
  h.RequestSlot("b", 3);
  h.scheduler.ForgetEntry("a");
  BOOST_TEST(h.ServerOf(3) == "s1");
}

// One server crashed, the other is full. The request must wait for the healthy
// one: the crashed one, which always has free capacity, would fail the attempt.
BOOST_AUTO_TEST_CASE(FailedServerBacksOffWhileAnotherIsHealthy) {
  Harness h(2);
  h.RequestSlot("a", 1);
  const std::string crashed = h.ServerOf(1);
  h.scheduler.ReleaseSlot("a", 1, {.kind = SlotResult::Kind::kFailed});
  for (AttemptId attempt = 2; attempt <= 4; ++attempt) {
    h.RequestSlot("a", attempt);
  }
  BOOST_TEST(h.ServerOf(2) != crashed);
  BOOST_TEST(h.ServerOf(3) != crashed);
  BOOST_TEST(h.ServerOf(4) == "none");
  h.clock.Advance(milliseconds(260));
  h.scheduler.GrantFreeSlots();
  BOOST_TEST(h.ServerOf(4) == crashed);
}

// A server crashed with two streams and restarted under its id. All its slots
// must be free, although the ends of the streams are not reported yet, and
// failures of the former incarnation must not count against the new one.
BOOST_AUTO_TEST_CASE(RestartedServerHasAllItsSlots) {
  Harness h(1);
  h.RequestSlot("a", 1);
  h.RequestSlot("a", 2);
  h.RequestSlot("a", 3);
  h.directory.Apply(
      {.id = "s1", .start_time_ms = 5, .service = "engines", .slots = 2});
  h.scheduler.GrantFreeSlots();
  BOOST_TEST(h.ServerOf(3) == "s1#5");
  h.scheduler.ReleaseSlot("a", 1, {.kind = SlotResult::Kind::kUnreachable});
  h.scheduler.ReleaseSlot("a", 2, {.kind = SlotResult::Kind::kUnreachable});
  h.RequestSlot("a", 4);
  BOOST_TEST(h.ServerOf(4) == "s1#5");
}

// A server that loses one answer in twenty must keep serving: a backoff after
// each loss would refuse requests that it could serve. Two failures in a row
// are a crash, and the server is avoided while another is healthy.
BOOST_AUTO_TEST_CASE(SingleFailureAmongAnswersCausesNoBackoff) {
  Harness h(2);
  AttemptId last = 0;
  for (int i = 0; i < 40; ++i) {
    h.RequestSlot("a", ++last);
    h.scheduler.ReleaseSlot("a", last, {.kind = SlotResult::Kind::kAnswered});
  }
  h.RequestSlot("a", ++last);
  const std::string failing = h.ServerOf(last);
  h.scheduler.ReleaseSlot("a", last, {.kind = SlotResult::Kind::kFailed});
  h.RequestSlot("a", ++last);
  BOOST_TEST(h.ServerOf(last) == failing);
  h.scheduler.ReleaseSlot("a", last, {.kind = SlotResult::Kind::kFailed});
  h.RequestSlot("a", ++last);
  BOOST_TEST(h.ServerOf(last) != failing);
}

BOOST_AUTO_TEST_CASE(GroupsPartitionTheServers) {
  Harness h(8);
  int free = 0;
  for (uint32_t index = 0; index < 3; ++index) {
    free += h.scheduler.FreeCapacity("engines", {.index = index, .count = 3});
  }
  BOOST_TEST(free == 16);
}

// For any sequence of requests and ends of attempts: no server has more grants
// at a time than slots, and every request is granted once slots are free.
BOOST_AUTO_TEST_CASE(ServersNeverGetMoreGrantsThanSlots) {
  BOOST_TEST(rc::check([] {
    constexpr size_t kServers = 3;
    Harness h(static_cast<int>(kServers));
    std::map<AttemptId, std::string> open_attempts;
    AttemptId last = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      const std::string entry = *rc::gen::element<std::string>("a", "b", "c");
      const int action = *rc::gen::inRange(0, 10);
      if (action < 6) {
        h.RequestSlot(entry, ++last, *rc::gen::inRange(0, 3));
        open_attempts[last] = entry;
      } else if (!open_attempts.empty()) {
        const auto ended = std::next(
            open_attempts.begin(),
            *rc::gen::inRange<int>(0, static_cast<int>(open_attempts.size())));
        h.scheduler.ReleaseSlot(ended->second, ended->first,
                                {.kind = SlotResult::Kind::kAnswered});
        h.granted.erase(ended->first);
        open_attempts.erase(ended);
      }
      std::map<std::string, int> at;
      for (const auto& [attempt, server] : h.granted) {
        RC_ASSERT(++at[server] <= 2);
      }
      RC_ASSERT(h.granted.size() ==
                std::min<size_t>(open_attempts.size(), 2 * kServers));
    }
  }));
}

}  // namespace lavenderkeel
