#include <boost/test/unit_test.hpp>
#include <string>

#include "test/forward/gate_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A gate that knows the speeds of two servers of two slots: "fast" makes an
/// event in 10 ms and reads 100 prompt tokens in a millisecond, "slow" is eight
/// times slower.
struct Harness : GateHarness {
  Harness() {
    for (const char* id : {"fast", "slow"}) {
      directory.Apply({.id = id, .service = "engines", .slots = 2});
    }
    // Each of four requests ends at another server's slot.
    for (AttemptId attempt = 1; attempt <= 4; ++attempt) {
      Ask(attempt, {});
    }
    for (AttemptId attempt = 1; attempt <= 4; ++attempt) {
      const double slowness = granted.at(attempt) == "slow" ? 8 : 1;
      Done(attempt, {.kind = SlotResult::Kind::kAnswered,
                     .pace_ms = 10 * slowness,
                     .read = PromptRead{.tokens = 1000, .ms = 10 * slowness}});
    }
  }

  void Ask(AttemptId attempt, const WorkSize& size) {
    gate.Ask("entry", {.attempt = attempt,
                       .service = "engines",
                       .model_server = true,
                       .in_time_until = clock.Now() + milliseconds(300),
                       .due = clock.Now() + seconds(10),
                       .size = size,
                       .event_gap_target = milliseconds(250)});
  }
  void Done(AttemptId attempt, const SlotResult& result = {}) {
    gate.Done("entry", attempt, result);
  }
  /// Takes both slots of the fast server.
  void FillFast() {
    Ask(11, {.events = 10});
    Ask(12, {.events = 10});
    BOOST_REQUIRE(ServerOf(11) == "fast");
    BOOST_REQUIRE(ServerOf(12) == "fast");
  }
};

}  // namespace

// Only the slow server has a slot. There the answer's 200 events take 16 s, and
// its client leaves after 10 s with nothing. It waits for the fast server; the
// short answer behind it takes the slot meanwhile.
BOOST_AUTO_TEST_CASE(LongAnswerWaitsForAServerThatCanFinishIt) {
  Harness h;
  h.FillFast();
  h.Ask(21, {.events = 200});
  h.Ask(22, {.events = 20});
  BOOST_TEST(h.ServerOf(21) == "none");
  BOOST_TEST(h.ServerOf(22) == "slow");
  h.Done(11);
  BOOST_TEST(h.ServerOf(21) == "fast");
}

// A stream runs at the slow server. Reading a prompt of 5,000 tokens takes that
// server 400 ms, in which the stream pauses and is late. The long prompt waits
// for the fast server as long as it can be in time itself.
BOOST_AUTO_TEST_CASE(LongPromptDoesNotStallStreams) {
  Harness h;
  h.FillFast();
  h.Ask(21, {.events = 20});
  BOOST_REQUIRE(h.ServerOf(21) == "slow");
  h.Ask(22, {.prompt_tokens = 5000, .events = 20});
  BOOST_TEST(h.ServerOf(22) == "none");
  h.clock.Advance(milliseconds(310));
  h.gate.Dispatch();
  BOOST_TEST(h.ServerOf(22) == "slow");
}

// No server can finish the answer in time, by estimate. Estimates err, so it is
// sent to the best of them all the same.
BOOST_AUTO_TEST_CASE(WhatSuitsNoServerGoesToTheFastest) {
  Harness h;
  h.Ask(21, {.prompt_tokens = 100'000, .events = 2000});
  BOOST_TEST(h.ServerOf(21) == "fast");
}

// The only server that suits can't be reached and rests. The answer that would
// wait for it goes to the other one rather than nowhere.
BOOST_AUTO_TEST_CASE(RestingServersAreNotWaitedFor) {
  Harness h;
  h.Ask(21, {.events = 10});
  h.Done(21, {.kind = SlotResult::Kind::kUnreachable});
  h.Ask(22, {.events = 200});
  BOOST_TEST(h.ServerOf(22) == "slow");
}

}  // namespace lavenderkeel
