#include <boost/test/unit_test.hpp>
#include <string>

#include "test/fakes/forward_simulation.h"

namespace lavenderkeel {

namespace {

using fakes::ForwardSimulation;
using fakes::SentAttempt;
using std::chrono::milliseconds;

/// Longer than a server may be silent before another one is looked for, shorter
/// than the time limit.
constexpr Duration kPause = milliseconds(3000);

ForwardSimulation::Options NoRetries() {
  return {.controller = {.retries = {.extra = 0}}};
}

struct FullServers {
  /// A stream of which its client has two events.
  ExchangeId stream = 0;
  SentAttempt first;
  /// A request at the other server.
  SentAttempt other;
};

/// Fills two servers with one slot each.
FullServers FillServers(ForwardSimulation& simulation) {
  FullServers full;
  full.stream = simulation.Request("stream");
  full.first = simulation.last();
  simulation.Events(full.first, 1, 2);
  simulation.Request("once");
  full.other = simulation.last();
  return full;
}

/// Delivers the head of a plain answer and a part that is passed on at once.
std::string SendFirstPart(ForwardSimulation& simulation,
                          const SentAttempt& attempt) {
  const SentAttempt answered = attempt;
  simulation.Head(answered, 200, {{"Response-Seal", "seal"}});
  std::string part(ForwardController::Options().max_buffered_answer_bytes + 1,
                   'x');
  simulation.controller.OnAnswerChunk(answered.attempt, part);
  return part;
}

}  // namespace

// Guards against cutting the stream of a sound server that pauses, when the
// bound on retries allows no other server.
BOOST_AUTO_TEST_CASE(PausedStreamIsKeptWithoutARetry) {
  ForwardSimulation simulation(NoRetries());
  const ExchangeId request = simulation.Request("stream");
  simulation.Events(simulation.last(), 1, 2);
  simulation.Advance(kPause);
  BOOST_TEST(!simulation.client(request).aborted);
  BOOST_TEST(!simulation.last().cancelled);
  simulation.controller.OnAnswerChunk(simulation.last().attempt,
                                      ForwardSimulation::EventText(3, 4));
  simulation.controller.OnAnswerEnd(simulation.last().attempt);
  BOOST_TEST(simulation.client(request).ended);
  BOOST_TEST(simulation.client(request).body ==
             ForwardSimulation::EventText(1, 4));
  BOOST_TEST(simulation.port.sent.size() == 1U);
}

// Guards against cutting the stream of a paused server before another one has a
// slot.
BOOST_AUTO_TEST_CASE(PausedStreamIsKeptUntilAnotherServerHasASlot) {
  ForwardSimulation simulation({.servers = 2, .slots = 1});
  const auto [request, first, other] = FillServers(simulation);
  simulation.Advance(kPause);
  BOOST_TEST(!simulation.port.sent[0].cancelled);
  BOOST_TEST(!simulation.client(request).aborted);
  simulation.Answer(other, 200, "done");
  BOOST_TEST(simulation.port.sent[0].cancelled);
  BOOST_REQUIRE(simulation.port.sent.size() == 3U);
  BOOST_TEST(simulation.last().address == other.address);
  BOOST_TEST(simulation.last().Field("Last-Event-Id") == "2");
}

// Guards against sending a request again whose server went on before another
// one had a slot, and against keeping that slot.
BOOST_AUTO_TEST_CASE(SlotIsNoLongerWantedOnceThePausedServerGoesOn) {
  ForwardSimulation simulation({.servers = 2, .slots = 1});
  const auto [request, first, other] = FillServers(simulation);
  simulation.Advance(kPause);
  simulation.controller.OnAnswerChunk(first.attempt,
                                      ForwardSimulation::EventText(3, 3));
  simulation.Answer(other, 200, "done");
  BOOST_TEST(simulation.port.sent.size() == 2U);
  const ExchangeId next = simulation.Request("once");
  BOOST_REQUIRE(simulation.port.sent.size() == 3U);
  simulation.Answer(simulation.last(), 200, "next");
  BOOST_TEST(simulation.client(next).body == "next");
  simulation.controller.OnAnswerEnd(first.attempt);
  BOOST_TEST(simulation.client(request).body ==
             ForwardSimulation::EventText(1, 3));
  BOOST_TEST(simulation.controller.open() == 0U);
}

// Guards against a request that is lost, or sent twice, when its paused server
// fails while it waits for another one.
BOOST_AUTO_TEST_CASE(PausedServerFailsWhileAnotherIsAwaited) {
  ForwardSimulation simulation({.servers = 2, .slots = 1});
  const auto [request, first, other] = FillServers(simulation);
  simulation.Advance(milliseconds(1200));
  simulation.directory.Remove("server-1", simulation.clock.Now());
  simulation.controller.OnAttemptFailed(first.attempt,
                                        AttemptFailure::kDisconnected);
  BOOST_TEST(!simulation.client(request).aborted);
  simulation.Answer(other, 200, "done");
  BOOST_REQUIRE(simulation.port.sent.size() == 3U);
  simulation.Events(simulation.last(), 3, 4);
  simulation.controller.OnAnswerEnd(simulation.last().attempt);
  BOOST_TEST(simulation.client(request).body ==
             ForwardSimulation::EventText(1, 4));
  BOOST_TEST(simulation.port.sent.size() == 3U);
  BOOST_TEST(simulation.controller.open() == 0U);
}

// Guards against a slot, or a retry, that stays reserved when the client leaves
// while a replacement is awaited.
BOOST_AUTO_TEST_CASE(ClientLeavesWhileAReplacementIsAwaited) {
  ForwardSimulation simulation(
      {.controller = {.retries = {.extra = 1}}, .servers = 2, .slots = 1});
  for (int round = 0; round < 2; ++round) {
    const auto [request, first, other] = FillServers(simulation);
    simulation.Advance(milliseconds(1200));
    if (round == 0) {
      simulation.controller.OnClientGone(request);
      simulation.Answer(other, 200, "done");
      BOOST_TEST(simulation.controller.open() == 0U);
      continue;
    }
    simulation.Answer(other, 200, "done");
    BOOST_TEST(simulation.last().Field("Last-Event-Id") == "2");
  }
}

// Guards against cutting a plain answer of which the client has a part, which
// no other server can continue.
BOOST_AUTO_TEST_CASE(PausedPlainAnswerIsKeptOnceAPartWasSent) {
  ForwardSimulation simulation;
  const ExchangeId request = simulation.Request("lookup");
  const SentAttempt attempt = simulation.last();
  const std::string part = SendFirstPart(simulation, attempt);
  simulation.Advance(kPause);
  BOOST_TEST(!simulation.client(request).aborted);
  simulation.controller.OnAnswerChunk(attempt.attempt, "rest");
  simulation.controller.OnAnswerEnd(attempt.attempt);
  BOOST_TEST(simulation.client(request).ended);
  BOOST_TEST((simulation.client(request).body == part + "rest"));
  BOOST_TEST(simulation.port.sent.size() == 1U);
}

// Guards against an error in place of the answer of a slow server, when the
// bound on retries allows no other server.
BOOST_AUTO_TEST_CASE(SlowAnswerIsAwaitedWithoutARetry) {
  ForwardSimulation simulation(NoRetries());
  const ExchangeId request = simulation.Request("lookup");
  simulation.Advance(kPause);
  BOOST_TEST(!simulation.client(request).ended);
  simulation.Answer(simulation.last(), 200, "late");
  BOOST_TEST(simulation.client(request).body == "late");
}

// Guards against waiting beyond the time limit for a server that is silent for
// good.
BOOST_AUTO_TEST_CASE(SilentServerIsGivenUpAtTheTimeLimit) {
  for (const char* route : {"stream", "lookup", "once"}) {
    ForwardSimulation simulation(NoRetries());
    const ExchangeId request = simulation.Request(route);
    simulation.Advance(milliseconds(9960));
    BOOST_TEST(!simulation.client(request).ended);
    simulation.Advance(milliseconds(60));
    BOOST_TEST(*simulation.client(request).status == 504);
    BOOST_TEST(simulation.last().cancelled);
    BOOST_TEST(simulation.controller.open() == 0U);
  }
}

// Guards against moving a request to its own silent server, with which the
// work so far is lost.
BOOST_AUTO_TEST_CASE(SilentServerIsNotReplacedByItself) {
  ForwardSimulation simulation({.servers = 1, .slots = 2});
  const ExchangeId request = simulation.Request("stream");
  simulation.Events(simulation.last(), 1, 2);
  simulation.Advance(kPause);
  BOOST_TEST(simulation.port.sent.size() == 1U);
  BOOST_TEST(!simulation.client(request).aborted);
  simulation.directory.Apply({.id = "server-2",
                              .service = "engines",
                              .address = "127.0.0.1:2",
                              .slots = 1});
  simulation.Advance(milliseconds(300));
  BOOST_REQUIRE(simulation.port.sent.size() == 2U);
  BOOST_TEST(simulation.last().address == "127.0.0.1:2");
}

}  // namespace lavenderkeel
