#include <boost/test/unit_test.hpp>

#include "test/forward/gate_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;

struct Harness : GateHarness {
  explicit Harness(int servers) {
    for (int i = 1; i <= servers; ++i) {
      directory.Apply({.id = "s" + std::to_string(i),
                       .service = "engines",
                       .address = "127.0.0.1:1",
                       .slots = 4});
    }
  }

  void Ask(AttemptId attempt, CrashStanding standing) {
    gate.Ask("a", {.attempt = attempt,
                   .service = "engines",
                   .model_server = true,
                   .in_time_until = clock.Now() + milliseconds(500),
                   .due = clock.Now() + std::chrono::seconds(10),
                   .standing = standing});
  }
};

}  // namespace

// Guards against: a harmless request that is lost with the server of another
// twice, and blamed like that one.
BOOST_AUTO_TEST_CASE(DoubtfulRequestsRunApartFromOtherSuspects) {
  Harness h(2);
  h.Ask(1, CrashStanding::kDoubtful);
  h.Ask(2, CrashStanding::kDoubtful);
  h.Ask(3, CrashStanding::kSuspect);
  BOOST_TEST(h.ServerOf(1) != h.ServerOf(2));
  BOOST_TEST(h.ServerOf(2) != "none");
  BOOST_TEST(h.ServerOf(3) == "none");
  h.Ask(4, CrashStanding::kDoubtful);
  BOOST_TEST(h.ServerOf(4) == "none");
  h.gate.Done("a", 1, {.kind = SlotResult::Kind::kAnswered});
  BOOST_TEST(h.ServerOf(3) == h.ServerOf(1));
}

BOOST_AUTO_TEST_CASE(OtherRequestsAvoidTheServerOfADoubtfulOne) {
  Harness h(2);
  h.Ask(1, CrashStanding::kDoubtful);
  for (const AttemptId attempt : {2U, 3U, 4U, 5U}) {
    h.Ask(attempt, CrashStanding::kClear);
    BOOST_TEST(h.ServerOf(attempt) != h.ServerOf(1));
  }
  // Rather there than not at all.
  h.Ask(6, CrashStanding::kClear);
  BOOST_TEST(h.ServerOf(6) == h.ServerOf(1));
}

BOOST_AUTO_TEST_CASE(DoubtfulRequestRunsWhereFewestOthersDo) {
  Harness h(2);
  h.Ask(1, CrashStanding::kClear);
  h.Ask(2, CrashStanding::kDoubtful);
  BOOST_TEST(h.ServerOf(2) != h.ServerOf(1));
}

// Guards against: a lost entry whose suspects keep servers to themselves.
BOOST_AUTO_TEST_CASE(SuspectsOfALostEntryAreGone) {
  Harness h(1);
  h.Ask(1, CrashStanding::kDoubtful);
  h.gate.ForgetAsker("a");
  h.Ask(2, CrashStanding::kDoubtful);
  BOOST_TEST(h.ServerOf(2) == "s1");
}

}  // namespace lavenderkeel
