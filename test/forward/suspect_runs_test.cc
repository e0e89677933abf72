#include <boost/test/unit_test.hpp>

#include "test/forward/scheduler_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;

struct Harness : SchedulerHarness {
  explicit Harness(int servers) {
    for (int i = 1; i <= servers; ++i) {
      directory.Apply({.id = "s" + std::to_string(i),
                       .service = "engines",
                       .address = "127.0.0.1:1",
                       .slots = 4});
    }
  }

  void RequestSlot(AttemptId attempt, CrashSuspicion suspicion) {
    scheduler.RequestSlot("a",
                          {.attempt = attempt,
                           .service = "engines",
                           .model_server = true,
                           .in_time_until = clock.Now() + milliseconds(500),
                           .due = clock.Now() + std::chrono::seconds(10),
                           .suspicion = suspicion});
  }
};

}  // namespace

// A harmless request must not be lost twice with the server of another request
// and then be blocked like it.
BOOST_AUTO_TEST_CASE(DoubtfulRequestsShareNoServerWithOtherSuspects) {
  Harness h(2);
  h.RequestSlot(1, CrashSuspicion::kDoubtful);
  h.RequestSlot(2, CrashSuspicion::kDoubtful);
  h.RequestSlot(3, CrashSuspicion::kSuspect);
  BOOST_TEST(h.ServerOf(1) != h.ServerOf(2));
  BOOST_TEST(h.ServerOf(2) != "none");
  BOOST_TEST(h.ServerOf(3) == "none");
  h.RequestSlot(4, CrashSuspicion::kDoubtful);
  BOOST_TEST(h.ServerOf(4) == "none");
  h.scheduler.ReleaseSlot("a", 1, {.kind = SlotResult::Kind::kAnswered});
  BOOST_TEST(h.ServerOf(3) == h.ServerOf(1));
}

BOOST_AUTO_TEST_CASE(OtherRequestsAvoidServerOfDoubtfulOne) {
  Harness h(2);
  h.RequestSlot(1, CrashSuspicion::kDoubtful);
  for (const AttemptId attempt : {2U, 3U, 4U, 5U}) {
    h.RequestSlot(attempt, CrashSuspicion::kClear);
    BOOST_TEST(h.ServerOf(attempt) != h.ServerOf(1));
  }
  // A shared server is better than none.
  h.RequestSlot(6, CrashSuspicion::kClear);
  BOOST_TEST(h.ServerOf(6) == h.ServerOf(1));
}

BOOST_AUTO_TEST_CASE(DoubtfulRequestRunsOnLeastLoadedServer) {
  Harness h(2);
  h.RequestSlot(1, CrashSuspicion::kClear);
  h.RequestSlot(2, CrashSuspicion::kDoubtful);
  BOOST_TEST(h.ServerOf(2) != h.ServerOf(1));
}

// The suspects of a lost entry must not keep servers reserved.
BOOST_AUTO_TEST_CASE(SuspectsOfLostEntryAreRemoved) {
  Harness h(1);
  h.RequestSlot(1, CrashSuspicion::kDoubtful);
  h.scheduler.ForgetEntry("a");
  h.RequestSlot(2, CrashSuspicion::kDoubtful);
  BOOST_TEST(h.ServerOf(2) == "s1");
}

}  // namespace lavenderkeel
