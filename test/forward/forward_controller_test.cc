#include "lavenderkeel/forward/forward_controller.h"

#include <boost/test/unit_test.hpp>

#include "test/fakes/forward_simulation.h"

namespace lavenderkeel {

namespace {

using fakes::ForwardSimulation;
using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_CASE(AnswerIsForwardedWithItsSealAndStatus) {
  ForwardSimulation w;
  const ExchangeId request = w.Request("once");
  w.Answer(w.last(), 404, "none", {{"Connection", "close"}});
  BOOST_TEST(*w.client(request).status == 404);
  BOOST_TEST(w.client(request).body == "none");
  BOOST_TEST((w.client(request).fields ==
              HttpFields{{"Request-Id", "r1"}, {"Response-Seal", "seal"}}));
  BOOST_TEST(w.controller.open() == 0U);
}

BOOST_AUTO_TEST_CASE(RequestsTheConfigurationDoesNotAllowAreRefused) {
  ForwardSimulation w;
  BOOST_TEST(*w.client(w.Request("nowhere")).status == 404);
  BOOST_TEST(
      *w.client(w.Request("once", {{"Authorization", "Bearer x"}})).status ==
      401);
  BOOST_TEST(*w.client(w.Request("once", {{"Deadline-Ms", "soon"}})).status ==
             400);
  BOOST_TEST(w.port.sent.empty());
}

// All entries were killed while the store is down. Guards against refusing a
// request before the first configuration: its client would come back too early
// and have no further attempt.
BOOST_AUTO_TEST_CASE(RequestWaitsForTheFirstConfiguration) {
  ForwardSimulation w({.configured = false});
  const ExchangeId early = w.Request("once");
  const ExchangeId short_deadline =
      w.Request("once", {{"Deadline-Ms", "1000"}});
  w.Advance(milliseconds(400));
  BOOST_TEST(*w.client(short_deadline).status == 503);
  BOOST_TEST(!w.client(early).ended);
  w.controller.OnRouteTable(
      std::make_shared<const RouteTable>(ForwardSimulation::Table()));
  BOOST_TEST(w.port.sent.size() == 1U);
  // The time that it waited is subtracted from its time left.
  BOOST_TEST(w.last().Field("Deadline-Ms") == "9600");
  const ExchangeId gone = w.Request("once");
  w.controller.OnClientGone(gone);
  BOOST_TEST(w.controller.open() == 1U);
}

BOOST_AUTO_TEST_CASE(OlderConfigurationIsIgnored) {
  ForwardSimulation w;
  RouteTableContent newer = ForwardSimulation::Table(5);
  newer.routes.pop_back();
  w.controller.OnRouteTable(std::make_shared<const RouteTable>(newer));
  w.controller.OnRouteTable(
      std::make_shared<const RouteTable>(ForwardSimulation::Table(4)));
  BOOST_TEST(w.controller.table()->version() == 5U);
  BOOST_TEST(*w.client(w.Request("once")).status == 404);
}

// The server resets the connection after the request was sent, so it may have
// run. Guards against a second run of work that may run only once, and against
// an answer that says "not run": a 504 promises nothing.
BOOST_AUTO_TEST_CASE(FailedNonRepeatableRequestIsNeitherRepeatedNorRefused) {
  for (const char* route : {"once", "once-stream"}) {
    ForwardSimulation w;
    const ExchangeId request = w.Request(route);
    w.controller.OnAttemptFailed(w.last().attempt, AttemptFailure::kBroken);
    BOOST_TEST(w.port.sent.size() == 1U);
    BOOST_TEST(*w.client(request).status == 504);
    BOOST_TEST((FindField(w.client(request).fields, "Retry-After") == nullptr));
  }
}

// No connection is established, then a server is full. Guards against giving up
// a request that certainly did not run instead of sending it to another server.
BOOST_AUTO_TEST_CASE(UnsentAndRejectedRequestsGoToAnotherServer) {
  ForwardSimulation w({.servers = 3});
  const ExchangeId request = w.Request("once");
  w.controller.OnAttemptFailed(w.last().attempt, AttemptFailure::kNotConnected);
  BOOST_TEST(w.port.sent.size() == 2U);
  w.Answer(w.last(), 503, "full", {{"Not-Executed", "1"}});
  BOOST_TEST(w.port.sent.size() == 3U);
  w.Answer(w.last(), 200, "done");
  BOOST_TEST(w.client(request).body == "done");
  BOOST_TEST(w.port.sent[0].address != w.port.sent[1].address);
  BOOST_TEST(w.port.sent[1].address != w.port.sent[2].address);
}

BOOST_AUTO_TEST_CASE(OtherServerAtTheAddressDidNotRunTheRequest) {
  ForwardSimulation w;
  const ExchangeId request = w.Request("once");
  w.Answer(w.last(), 421, "");
  BOOST_TEST(w.port.sent.size() == 2U);
  w.Answer(w.last(), 200, "done");
  BOOST_TEST(w.client(request).body == "done");
}

// All servers are full. Guards against an answer that does not say that the
// request did not run, or when to come back.
BOOST_AUTO_TEST_CASE(RequestRejectedByAllServersIsRefusedWithRetryAfter) {
  ForwardSimulation w({.controller = {.retry_extra = 2}, .servers = 2});
  const ExchangeId request = w.Request("once");
  while (!w.client(request).ended) {
    w.Answer(w.last(), 503, "full", {{"Not-Executed", "1"}});
  }
  BOOST_TEST(*w.client(request).status == 503);
  BOOST_TEST((FindField(w.client(request).fields, "Retry-After") != nullptr));
}

BOOST_AUTO_TEST_CASE(FailedLookupIsRetriedOnce) {
  ForwardSimulation w({.servers = 3});
  const ExchangeId request = w.Request("lookup");
  w.Answer(w.last(), 500, "error");
  BOOST_TEST(w.port.sent.size() == 2U);
  w.Answer(w.last(), 500, "error");
  BOOST_TEST(w.port.sent.size() == 2U);
  BOOST_TEST(*w.client(request).status == 500);
}

// A second answer to an earlier request arrives where the answer to this one is
// expected. Guards against passing it to the client; it is skipped.
BOOST_AUTO_TEST_CASE(AnswerToAnotherRequestIsSkipped) {
  ForwardSimulation w;
  const ExchangeId request = w.Request("once");
  const auto verdict = w.controller.OnAnswerHead(
      w.last().attempt,
      {.status = 200,
       .fields = {{"Request-Id", "other"}, {"Response-Seal", "seal"}}},
      /*fresh=*/false);
  BOOST_TEST((verdict == ForwardController::HeadVerdict::kSkip));
  w.Answer(w.last(), 200, "mine");
  BOOST_TEST(w.client(request).body == "mine");
}

// Guards against forwarding an answer that is not from the server: without seal
// or id, or with an encoding that was not requested. The client gets a 504 of
// the entry.
BOOST_AUTO_TEST_CASE(InvalidAnswersAreNotForwarded) {
  for (const HttpFields& fields :
       {HttpFields{{"Request-Id", "r1"}}, HttpFields{{"Response-Seal", "seal"}},
        HttpFields{{"Request-Id", "r1"},
                   {"Response-Seal", "seal"},
                   {"Content-Encoding", "gzip"}}}) {
    ForwardSimulation w;
    const ExchangeId request = w.Request("once");
    const auto verdict = w.controller.OnAnswerHead(
        w.last().attempt, {.status = 200, .fields = fields}, /*fresh=*/false);
    BOOST_TEST((verdict == ForwardController::HeadVerdict::kDrop));
    BOOST_TEST(*w.client(request).status == 504);
  }
}

BOOST_AUTO_TEST_CASE(OnlyCompleteEventsAreForwardedAtOnce) {
  ForwardSimulation w;
  const ExchangeId request = w.Request("stream");
  w.Events(w.last(), 1, 2);
  w.controller.OnAnswerChunk(w.last().attempt, "id: 3\nda");
  BOOST_TEST(w.client(request).body == ForwardSimulation::EventText(1, 2));
  w.controller.OnAnswerChunk(w.last().attempt, "ta: x\n\n");
  w.controller.OnAnswerEnd(w.last().attempt);
  BOOST_TEST(w.client(request).body == ForwardSimulation::EventText(1, 3));
  BOOST_TEST(w.client(request).ended);
}

// The server disconnects in the middle of the third event. Guards against a gap
// or a repetition when the stream is resumed at another server.
BOOST_AUTO_TEST_CASE(BrokenStreamIsResumedAfterItsLastCompleteEvent) {
  ForwardSimulation w;
  const ExchangeId request = w.Request("stream");
  w.Events(w.last(), 1, 2);
  w.controller.OnAnswerChunk(w.last().attempt, "id: 3\nda");
  w.controller.OnAttemptFailed(w.last().attempt, AttemptFailure::kBroken);
  BOOST_TEST(w.port.sent.size() == 2U);
  BOOST_TEST(w.last().Field("Last-Event-Id") == "2");
  w.Events(w.last(), 3, 4);
  w.controller.OnAnswerEnd(w.last().attempt);
  BOOST_TEST(w.client(request).body == ForwardSimulation::EventText(1, 4));
  BOOST_TEST(w.client(request).ended);
}

// The answer ends in the middle of an event. Guards against forwarding this as
// an end, which would look complete to the client.
BOOST_AUTO_TEST_CASE(StreamThatEndsWithinAnEventIsAborted) {
  ForwardSimulation w;
  const ExchangeId request = w.Request("once-stream");
  w.Events(w.last(), 1, 2);
  w.controller.OnAnswerChunk(w.last().attempt, "id: 3\nda");
  w.controller.OnAnswerEnd(w.last().attempt);
  BOOST_TEST(w.client(request).aborted);
  BOOST_TEST(!w.client(request).ended);
}

// A server becomes silent in the middle of a stream. Guards against two servers
// that work on a request: the first connection is closed before the next
// attempt.
BOOST_AUTO_TEST_CASE(SilentStreamIsClosedBeforeItIsResumed) {
  ForwardSimulation w;
  w.Request("stream");
  w.Events(w.last(), 1, 2);
  w.Advance(milliseconds(800));
  BOOST_TEST(w.port.sent.size() == 1U);
  w.Advance(milliseconds(200));
  BOOST_REQUIRE(w.port.sent.size() == 2U);
  BOOST_TEST(w.port.sent[0].cancelled);
  BOOST_TEST(w.port.sent[1].Field("Last-Event-Id") == "2");
}

// The server of a stream becomes silent while all slots are taken and other
// requests wait, and a slot is free only after 1.2 s. The client tolerates a
// pause of over two seconds. Guards against cutting the stream after 0.8 s,
// with which the client loses an answer of which it has a part, and against
// serving the others first.
BOOST_AUTO_TEST_CASE(InterruptedStreamIsResumedBeforeWaitingRequests) {
  ForwardSimulation w({.servers = 1, .slots = 1});
  const ExchangeId stream = w.Request("stream");
  const AttemptId first = w.last().attempt;
  w.Events(w.last(), 1, 2);
  const ExchangeId other = w.Request("once");
  // The server leaves, so that there is no slot, and the stream fails.
  w.directory.Remove("server-1", w.clock.Now());
  w.controller.OnAttemptFailed(first, AttemptFailure::kSilent);
  w.Advance(milliseconds(1200));
  BOOST_TEST(!w.client(stream).aborted);
  BOOST_TEST(!w.client(other).ended);
  BOOST_REQUIRE(w.port.sent.size() == 1U);
  w.directory.Apply({.id = "server-2",
                     .service = "engines",
                     .address = "127.0.0.1:2",
                     .slots = 1});
  w.Advance(milliseconds(40));
  BOOST_REQUIRE(w.port.sent.size() == 2U);
  BOOST_TEST(w.last().Field("Last-Event-Id") == "2");
}

BOOST_AUTO_TEST_CASE(RequestIsCancelledWhenItsClientLeaves) {
  ForwardSimulation w;
  const ExchangeId request = w.Request("stream");
  w.controller.OnClientGone(request);
  BOOST_TEST(w.last().cancelled);
  BOOST_TEST(w.controller.open() == 0U);
}

// All slots are taken. Guards against serving requests in another order than
// that of urgency, and against requests that wait when it is too late to run
// them.
BOOST_AUTO_TEST_CASE(UrgentRequestsGoFirstAndWaitsEnd) {
  ForwardSimulation w({.servers = 1, .slots = 1});
  w.Request("once");
  const ExchangeId lookup = w.Request("lookup");
  const ExchangeId stream = w.Request("once-stream");
  BOOST_TEST(w.port.sent.size() == 1U);
  w.Answer(w.last(), 200, "done");
  BOOST_REQUIRE(w.port.sent.size() == 2U);
  BOOST_TEST(w.last().Field("Request-Id") == "r" + std::to_string(stream));
  w.Advance(milliseconds(1'600));
  BOOST_TEST(!w.client(lookup).ended);
  w.Advance(milliseconds(400));
  BOOST_TEST(*w.client(lookup).status == 503);
}

// All teams have the same rank. Guards against ignoring the rank of the route,
// by which cheap lookups would hold the slots of interactive requests.
BOOST_AUTO_TEST_CASE(TeamsOfEqualRankAreOrderedByTheirRoutes) {
  ForwardSimulation w({.servers = 1, .slots = 1});
  RouteTableContent ranked = ForwardSimulation::Table(2);
  ranked.teams[0].priority = 1;
  w.controller.OnRouteTable(std::make_shared<const RouteTable>(ranked));
  w.Request("once");
  w.Request("lookup");
  const ExchangeId stream = w.Request("stream");
  w.Answer(w.last(), 200, "done");
  BOOST_TEST(w.last().Field("Request-Id") == "r" + std::to_string(stream));
}

// One server crashed, the other is full. Guards against using up attempts at
// the crashed one instead of waiting for the healthy one.
BOOST_AUTO_TEST_CASE(CrashedServerIsNotUsedWhileAnotherIsHealthy) {
  ForwardSimulation w({.servers = 2, .slots = 1});
  w.Request("once");
  w.controller.OnAttemptFailed(w.last().attempt, AttemptFailure::kNotConnected);
  BOOST_TEST(w.port.sent.size() == 2U);
  w.Request("once");
  BOOST_TEST(w.port.sent.size() == 2U);
  w.Answer(w.last(), 200, "done");
  BOOST_TEST(w.port.sent.size() == 3U);
  BOOST_TEST(w.last().address == w.port.sent[1].address);
}

BOOST_AUTO_TEST_CASE(RequestEndsAtTheRouteTimeout) {
  ForwardSimulation w;
  const ExchangeId request = w.Request("once", {{"Deadline-Ms", "60000"}});
  w.Advance(milliseconds(9'960));
  BOOST_TEST(!w.client(request).ended);
  w.Advance(milliseconds(60));
  BOOST_TEST(*w.client(request).status == 504);
  BOOST_TEST(w.last().cancelled);
}

BOOST_AUTO_TEST_CASE(ServerReceivesTheTimeLeft) {
  ForwardSimulation w({.servers = 1, .slots = 1});
  w.Request("once");
  w.Request("once", {{"Deadline-Ms", "900"}});
  w.Advance(milliseconds(200));
  w.Answer(w.last(), 200, "done");
  BOOST_TEST(w.last().Field("Deadline-Ms") == "700");
  BOOST_TEST(w.last().Field("Expect-Instance") == "server-1");
}

// An idle connection may be closing. Guards against sending work on it that may
// run only once: after a reset it would be in doubt whether the work ran.
BOOST_AUTO_TEST_CASE(NonRepeatableRequestsUseOnlyFreshConnections) {
  ForwardSimulation w;
  w.Request("once");
  const Duration once = w.last().max_reuse_idle_time;
  w.Request("lookup");
  BOOST_TEST((once < milliseconds(500)));
  BOOST_TEST((w.last().max_reuse_idle_time > std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(LeavingEntryRefusesNewRequestsAndFinishesOthers) {
  ForwardSimulation w;
  const ExchangeId old_request = w.Request("once");
  w.controller.RejectNewRequests();
  BOOST_TEST(*w.client(w.Request("once")).status == 503);
  w.Answer(w.port.sent.front(), 200, "done");
  BOOST_TEST(w.client(old_request).body == "done");
}

// A server is full while two clients wait: one was refused before and came back
// first, the other sends its request for the first time. Only the second can
// still have its first event in time. Guards against granting the next slot to
// the first; it gets the slot after that.
BOOST_AUTO_TEST_CASE(RequestThatCanBeInTimeGoesBeforeOneThatCameBack) {
  ForwardSimulation w({.servers = 1, .slots = 1});
  for (int i = 0; i < 10; ++i) {
    w.Request("once");
    w.Answer(w.last(), 200, "done");
  }
  w.Request("once");
  const fakes::SentAttempt running = w.last();
  const ExchangeId back = w.Request("once", {{"Deadline-Ms", "7200"}});
  w.Advance(milliseconds(40));
  const ExchangeId first = w.Request("once");
  w.Answer(running, 200, "done");
  w.Answer(w.last(), 200, "done");
  BOOST_TEST(w.client(first).ended);
  BOOST_TEST(!w.client(back).ended);
  w.Answer(w.last(), 200, "done");
  BOOST_TEST(w.client(back).ended);
}

// No slot becomes free while the client waits. It is told that its request did
// not run and to come back after three tenths of the 8.3 seconds that it has
// left. Guards against a client that comes back at once, meets the same burst
// and has no further attempt.
BOOST_AUTO_TEST_CASE(RetryAfterOutlastsTheBurst) {
  ForwardSimulation w({.servers = 1, .slots = 1});
  w.Request("once");
  const ExchangeId waiting = w.Request("once");
  w.Advance(milliseconds(1700));
  BOOST_TEST(*w.client(waiting).status == 503);
  BOOST_TEST(*FindField(w.client(waiting).fields, "Retry-After") == "2.496");
}

// All entries were killed while a team was near its rate. An entry that has
// just started admits a few requests, holds the next one back, and serves it
// once it may count on the rate again. Guards against refusing the request
// instead of answering it late.
BOOST_AUTO_TEST_CASE(RequestBeyondTheRateWaitsForReportsOfOthers) {
  ForwardSimulation w({.controller = {.rates = {.tolerance = {.slack = 160}}},
                       .servers = 2,
                       .slots = 4,
                       .configured = false});
  RouteTableContent limited = ForwardSimulation::Table();
  limited.teams.front().rate = {.per_second = 100, .burst = 100};
  w.controller.OnRouteTable(std::make_shared<const RouteTable>(limited));
  for (int i = 0; i < 4; ++i) {
    w.Request("once");
  }
  const ExchangeId beyond = w.Request("once");
  BOOST_TEST(w.port.sent.size() == 4U);
  BOOST_TEST(!w.client(beyond).ended);
  w.Advance(milliseconds(520));
  BOOST_TEST(w.port.sent.size() == 5U);
}

}  // namespace lavenderkeel
