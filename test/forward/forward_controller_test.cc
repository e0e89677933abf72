#include "lavenderkeel/forward/forward_controller.h"

#include <boost/test/unit_test.hpp>

#include "test/fakes/forward_simulation.h"

namespace lavenderkeel {

namespace {

using fakes::ForwardSimulation;
using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_CASE(AnswerIsForwardedWithItsSealAndStatus) {
  ForwardSimulation simulation;
  const ExchangeId request = simulation.Request("once");
  simulation.Answer(simulation.last(), 404, "none", {{"Connection", "close"}});
  BOOST_TEST(*simulation.client(request).status == 404);
  BOOST_TEST(simulation.client(request).body == "none");
  BOOST_TEST((simulation.client(request).fields ==
              HttpFields{{"Request-Id", "r1"}, {"Response-Seal", "seal"}}));
  BOOST_TEST(simulation.controller.open() == 0U);
}

BOOST_AUTO_TEST_CASE(RequestsTheConfigurationDoesNotAllowAreRefused) {
  ForwardSimulation simulation;
  BOOST_TEST(*simulation.client(simulation.Request("nowhere")).status == 404);
  BOOST_TEST(
      *simulation
           .client(simulation.Request("once", {{"Authorization", "Bearer x"}}))
           .status == 401);
  BOOST_TEST(
      *simulation.client(simulation.Request("once", {{"Deadline-Ms", "soon"}}))
           .status == 400);
  BOOST_TEST(simulation.port.sent.empty());
}

// Guards against bodies that are read although their head refuses them, and
// against reading bodies in another order than that of their routes.
BOOST_AUTO_TEST_CASE(HeadSaysWhetherTheBodyIsRead) {
  ForwardSimulation simulation;
  const auto check = [&](const std::string& route, const std::string& key) {
    return simulation.controller.CheckHead(
        {.method = "POST",
         .target = "/" + route + "/x",
         .fields = {{"Host", "h"},
                    {"Request-Id", "r"},
                    {"Authorization", "Bearer " + key}}});
  };
  BOOST_TEST((check("nowhere", "key").refusal == ResultCode::kNoRoute));
  BOOST_TEST((check("once", "other").refusal == ResultCode::kUnknownTeam));
  BOOST_TEST(!check("once", "key").refusal.has_value());
  BOOST_TEST(check("lookup", "key").priority > check("once", "key").priority);
  simulation.controller.RejectNewRequests();
  BOOST_TEST((check("once", "key").refusal == ResultCode::kLeaving));
}

// Guards against waiting requests that keep the memory from a more urgent one,
// and against a refusal of one that may have run.
BOOST_AUTO_TEST_CASE(OnlyLessUrgentRequestsThatDidNotRunYieldTheirMemory) {
  ForwardSimulation simulation({.servers = 1, .slots = 1});
  const ExchangeId running = simulation.Request("lookup");
  const ExchangeId waiting = simulation.Request("lookup");
  const ExchangeId equal = simulation.Request("once");
  simulation.controller.YieldMemory(/*priority=*/0, /*bytes=*/1);
  BOOST_TEST(!simulation.client(running).ended);
  BOOST_TEST(*simulation.client(waiting).status == 503);
  BOOST_TEST(!simulation.client(equal).ended);
  BOOST_TEST(simulation.controller.open() == 2U);
}

// All entries were killed while the store is down. Guards against refusing a
// request before the first configuration: its client would come back too early
// and have no further attempt.
BOOST_AUTO_TEST_CASE(RequestWaitsForTheFirstConfiguration) {
  ForwardSimulation simulation({.configured = false});
  const ExchangeId early = simulation.Request("once");
  const ExchangeId short_deadline =
      simulation.Request("once", {{"Deadline-Ms", "1000"}});
  simulation.Advance(milliseconds(400));
  BOOST_TEST(*simulation.client(short_deadline).status == 503);
  BOOST_TEST(!simulation.client(early).ended);
  simulation.controller.OnRouteTable(
      std::make_shared<const RouteTable>(ForwardSimulation::Table()));
  BOOST_TEST(simulation.port.sent.size() == 1U);
  // The time that it waited is subtracted from its time left.
  BOOST_TEST(simulation.last().Field("Deadline-Ms") == "9600");
  const ExchangeId gone = simulation.Request("once");
  simulation.controller.OnClientGone(gone);
  BOOST_TEST(simulation.controller.open() == 1U);
}

// Guards against running a request beyond the limits, since it was read before
// they were known, and against refusing one for good that they may allow.
BOOST_AUTO_TEST_CASE(RequestReadBeforeTheFirstConfigurationFollowsItsLimits) {
  ForwardSimulation simulation({.configured = false});
  const ExchangeId head =
      simulation.Request("once", {{"Padding", std::string(300, 'p')}});
  const ExchangeId small = simulation.Request("once");
  const ExchangeId unread = 100;
  simulation.controller.OnBadRequest(unread, {}, ResultCode::kBodyTooLarge);
  BOOST_TEST(*simulation.client(unread).status == 503);
  RouteTableContent content = ForwardSimulation::Table();
  content.limits = {.head_bytes = 200, .body_bytes = 4};
  simulation.controller.OnRouteTable(
      std::make_shared<const RouteTable>(content));
  BOOST_TEST(*simulation.client(head).status == 431);
  BOOST_REQUIRE(simulation.port.sent.size() == 1U);
  simulation.Answer(simulation.last(), 200, "done");
  BOOST_TEST(simulation.client(small).body == "done");
  simulation.controller.OnBadRequest(unread, {}, ResultCode::kBodyTooLarge);
  BOOST_TEST(*simulation.client(unread).status == 413);
}

BOOST_AUTO_TEST_CASE(BodyReadBeforeTheFirstConfigurationFollowsItsLimits) {
  ForwardSimulation simulation({.configured = false});
  const ExchangeId request = simulation.Request("once");
  RouteTableContent content = ForwardSimulation::Table();
  content.limits.body_bytes = 3;
  simulation.controller.OnRouteTable(
      std::make_shared<const RouteTable>(content));
  BOOST_TEST(*simulation.client(request).status == 413);
  BOOST_TEST(simulation.port.sent.empty());
  BOOST_TEST(simulation.controller.open() == 0U);
}

BOOST_AUTO_TEST_CASE(OlderConfigurationIsIgnored) {
  ForwardSimulation simulation;
  RouteTableContent newer = ForwardSimulation::Table(5);
  newer.routes.pop_back();
  simulation.controller.OnRouteTable(std::make_shared<const RouteTable>(newer));
  simulation.controller.OnRouteTable(
      std::make_shared<const RouteTable>(ForwardSimulation::Table(4)));
  BOOST_TEST(simulation.controller.table()->version() == 5U);
  BOOST_TEST(*simulation.client(simulation.Request("once")).status == 404);
}

// The server resets the connection after the request was sent, so it may have
// run. Guards against a second run of work that may run only once, and against
// an answer that says "not run": a 504 promises nothing.
BOOST_AUTO_TEST_CASE(FailedNonRepeatableRequestIsNeitherRepeatedNorRefused) {
  for (const char* route : {"once", "once-stream"}) {
    ForwardSimulation simulation;
    const ExchangeId request = simulation.Request(route);
    simulation.controller.OnAttemptFailed(simulation.last().attempt,
                                          AttemptFailure::kBroken);
    BOOST_TEST(simulation.port.sent.size() == 1U);
    BOOST_TEST(*simulation.client(request).status == 504);
    BOOST_TEST((FindField(simulation.client(request).fields, "Retry-After") ==
                nullptr));
  }
}

// No connection is established, then a server is full. Guards against giving up
// a request that certainly did not run instead of sending it to another server.
BOOST_AUTO_TEST_CASE(UnsentAndRejectedRequestsGoToAnotherServer) {
  ForwardSimulation simulation({.servers = 3});
  const ExchangeId request = simulation.Request("once");
  simulation.controller.OnAttemptFailed(simulation.last().attempt,
                                        AttemptFailure::kNotConnected);
  BOOST_TEST(simulation.port.sent.size() == 2U);
  simulation.Answer(simulation.last(), 503, "full", {{"Not-Executed", "1"}});
  BOOST_TEST(simulation.port.sent.size() == 3U);
  simulation.Answer(simulation.last(), 200, "done");
  BOOST_TEST(simulation.client(request).body == "done");
  BOOST_TEST(simulation.port.sent[0].address !=
             simulation.port.sent[1].address);
  BOOST_TEST(simulation.port.sent[1].address !=
             simulation.port.sent[2].address);
}

BOOST_AUTO_TEST_CASE(OtherServerAtTheAddressDidNotRunTheRequest) {
  ForwardSimulation simulation;
  const ExchangeId request = simulation.Request("once");
  simulation.Answer(simulation.last(), 421, "");
  BOOST_TEST(simulation.port.sent.size() == 2U);
  simulation.Answer(simulation.last(), 200, "done");
  BOOST_TEST(simulation.client(request).body == "done");
}

// All servers are full. Guards against an answer that does not say that the
// request did not run, or when to come back.
BOOST_AUTO_TEST_CASE(RequestRejectedByAllServersIsRefusedWithRetryAfter) {
  ForwardSimulation simulation(
      {.controller = {.retries = {.extra = 2}}, .servers = 2});
  const ExchangeId request = simulation.Request("once");
  while (!simulation.client(request).ended) {
    simulation.Answer(simulation.last(), 503, "full", {{"Not-Executed", "1"}});
  }
  BOOST_TEST(*simulation.client(request).status == 503);
  BOOST_TEST(
      (FindField(simulation.client(request).fields, "Retry-After") != nullptr));
}

BOOST_AUTO_TEST_CASE(FailedLookupIsRetriedOnce) {
  ForwardSimulation simulation({.servers = 3});
  const ExchangeId request = simulation.Request("lookup");
  simulation.Answer(simulation.last(), 500, "error");
  BOOST_TEST(simulation.port.sent.size() == 2U);
  simulation.Answer(simulation.last(), 500, "error");
  BOOST_TEST(simulation.port.sent.size() == 2U);
  BOOST_TEST(*simulation.client(request).status == 500);
}

// Guards against a request that ran and is answered with a status that tells
// its client that it did not.
BOOST_AUTO_TEST_CASE(OwnRefusalOfAServerIsNotPassedOn) {
  constexpr size_t kLarge = size_t{300} << 10;
  for (const int status : {408, 421, 429, 503}) {
    for (const size_t size : {size_t{4}, size_t{0}, kLarge}) {
      BOOST_TEST_CONTEXT(status << " with " << size << " bytes") {
        ForwardSimulation simulation({.servers = 3});
        const std::string body(size, 'x');
        const HttpFields sealed = {{"Response-Seal", "seal"}};
        const ExchangeId once = simulation.Request("once");
        const std::vector<fakes::SentAttempt> sent = simulation.port.sent;
        simulation.Answer(sent.back(), status, body, sealed);
        BOOST_TEST(simulation.port.sent.size() == 1U);
        BOOST_TEST(*simulation.client(once).status == 504);
        BOOST_TEST((FindField(simulation.client(once).fields,
                              "Response-Seal") == nullptr));
        const ExchangeId lookup = simulation.Request("lookup");
        simulation.Answer(simulation.last(), status, body, sealed);
        BOOST_TEST(simulation.port.sent.size() == 3U);
        simulation.Answer(simulation.last(), status, body, sealed);
        BOOST_TEST(*simulation.client(lookup).status == 504);
        const ExchangeId served = simulation.Request("lookup");
        simulation.Answer(simulation.last(), status, body, sealed);
        simulation.Answer(simulation.last(), 200, "answer");
        BOOST_TEST(simulation.client(served).body == "answer");
        BOOST_TEST(simulation.controller.open() == 0U);
      }
    }
  }
}

// Guards against a connection on which a second rejection without an id could
// be that of either request.
BOOST_AUTO_TEST_CASE(RejectionWithoutAnIdEndsItsConnection) {
  using Verdict = ForwardController::HeadVerdict;
  for (const bool has_id : {false, true}) {
    ForwardSimulation simulation;
    simulation.Request("once");
    const fakes::SentAttempt sent = simulation.last();
    ResponseHead head{.status = 503, .fields = {{"Not-Executed", "1"}}};
    if (has_id) {
      head.fields.push_back({"Request-Id", sent.Field("Request-Id")});
    }
    const Verdict verdict =
        simulation.controller.OnAnswerHead(sent.attempt, head, /*fresh=*/true);
    BOOST_TEST((verdict == (has_id ? Verdict::kTake : Verdict::kTakeLast)));
  }
}

// A second answer to an earlier request arrives where the answer to this one is
// expected. Guards against passing it to the client; it is skipped.
BOOST_AUTO_TEST_CASE(AnswerToAnotherRequestIsSkipped) {
  ForwardSimulation simulation;
  const ExchangeId request = simulation.Request("once");
  const auto verdict = simulation.controller.OnAnswerHead(
      simulation.last().attempt,
      {.status = 200,
       .fields = {{"Request-Id", "other"}, {"Response-Seal", "seal"}}},
      /*fresh=*/false);
  BOOST_TEST((verdict == ForwardController::HeadVerdict::kSkip));
  simulation.Answer(simulation.last(), 200, "mine");
  BOOST_TEST(simulation.client(request).body == "mine");
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
    ForwardSimulation simulation;
    const ExchangeId request = simulation.Request("once");
    const auto verdict = simulation.controller.OnAnswerHead(
        simulation.last().attempt, {.status = 200, .fields = fields},
        /*fresh=*/false);
    BOOST_TEST((verdict == ForwardController::HeadVerdict::kDrop));
    BOOST_TEST(*simulation.client(request).status == 504);
  }
}

BOOST_AUTO_TEST_CASE(OnlyCompleteEventsAreForwardedAtOnce) {
  ForwardSimulation simulation;
  const ExchangeId request = simulation.Request("stream");
  simulation.Events(simulation.last(), 1, 2);
  simulation.controller.OnAnswerChunk(simulation.last().attempt, "id: 3\nda");
  BOOST_TEST(simulation.client(request).body ==
             ForwardSimulation::EventText(1, 2));
  simulation.controller.OnAnswerChunk(simulation.last().attempt, "ta: x\n\n");
  simulation.controller.OnAnswerEnd(simulation.last().attempt);
  BOOST_TEST(simulation.client(request).body ==
             ForwardSimulation::EventText(1, 3));
  BOOST_TEST(simulation.client(request).ended);
}

// The server disconnects in the middle of the third event. Guards against a gap
// or a repetition when the stream is resumed at another server.
BOOST_AUTO_TEST_CASE(BrokenStreamIsResumedAfterItsLastCompleteEvent) {
  ForwardSimulation simulation;
  const ExchangeId request = simulation.Request("stream");
  simulation.Events(simulation.last(), 1, 2);
  simulation.controller.OnAnswerChunk(simulation.last().attempt, "id: 3\nda");
  simulation.controller.OnAttemptFailed(simulation.last().attempt,
                                        AttemptFailure::kBroken);
  BOOST_TEST(simulation.port.sent.size() == 2U);
  BOOST_TEST(simulation.last().Field("Last-Event-Id") == "2");
  simulation.Events(simulation.last(), 3, 4);
  simulation.controller.OnAnswerEnd(simulation.last().attempt);
  BOOST_TEST(simulation.client(request).body ==
             ForwardSimulation::EventText(1, 4));
  BOOST_TEST(simulation.client(request).ended);
}

// The answer ends in the middle of an event. Guards against forwarding this as
// an end, which would look complete to the client.
BOOST_AUTO_TEST_CASE(StreamThatEndsWithinAnEventIsAborted) {
  ForwardSimulation simulation;
  const ExchangeId request = simulation.Request("once-stream");
  simulation.Events(simulation.last(), 1, 2);
  simulation.controller.OnAnswerChunk(simulation.last().attempt, "id: 3\nda");
  simulation.controller.OnAnswerEnd(simulation.last().attempt);
  BOOST_TEST(simulation.client(request).aborted);
  BOOST_TEST(!simulation.client(request).ended);
}

// A server stops sending in the middle of a stream. Guards against two servers
// that work on a request: the first connection is closed before the next
// attempt.
BOOST_AUTO_TEST_CASE(SilentStreamIsClosedBeforeItIsResumed) {
  ForwardSimulation simulation;
  simulation.Request("stream");
  simulation.Events(simulation.last(), 1, 2);
  simulation.Advance(milliseconds(800));
  BOOST_TEST(simulation.port.sent.size() == 1U);
  simulation.Advance(milliseconds(200));
  BOOST_REQUIRE(simulation.port.sent.size() == 2U);
  BOOST_TEST(simulation.port.sent[0].cancelled);
  BOOST_TEST(simulation.port.sent[1].Field("Last-Event-Id") == "2");
}

// The server of a stream stops sending while all slots are taken and other
// requests wait, and a slot is free only after 1.2 s. The client tolerates a
// pause of over two seconds. Guards against cutting the stream after 0.8 s,
// with which the client loses an answer of which it has a part, and against
// serving the others first.
BOOST_AUTO_TEST_CASE(InterruptedStreamIsResumedBeforeWaitingRequests) {
  ForwardSimulation simulation({.servers = 1, .slots = 1});
  const ExchangeId stream = simulation.Request("stream");
  const AttemptId first = simulation.last().attempt;
  simulation.Events(simulation.last(), 1, 2);
  const ExchangeId other = simulation.Request("once");
  // The server leaves, so that there is no slot, and the stream fails.
  simulation.directory.Remove("server-1", simulation.clock.Now());
  simulation.controller.OnAttemptFailed(first, AttemptFailure::kSilent);
  simulation.Advance(milliseconds(1200));
  BOOST_TEST(!simulation.client(stream).aborted);
  BOOST_TEST(!simulation.client(other).ended);
  BOOST_REQUIRE(simulation.port.sent.size() == 1U);
  simulation.directory.Apply({.id = "server-2",
                              .service = "engines",
                              .address = "127.0.0.1:2",
                              .slots = 1});
  simulation.Advance(milliseconds(40));
  BOOST_REQUIRE(simulation.port.sent.size() == 2U);
  BOOST_TEST(simulation.last().Field("Last-Event-Id") == "2");
}

BOOST_AUTO_TEST_CASE(RequestIsCancelledWhenItsClientLeaves) {
  ForwardSimulation simulation;
  const ExchangeId request = simulation.Request("stream");
  simulation.controller.OnClientGone(request);
  BOOST_TEST(simulation.last().cancelled);
  BOOST_TEST(simulation.controller.open() == 0U);
}

// All slots are taken. Guards against serving requests in another order than
// that of urgency, and against requests that wait when it is too late to run
// them.
BOOST_AUTO_TEST_CASE(UrgentRequestsGoFirstAndWaitsEnd) {
  ForwardSimulation simulation({.servers = 1, .slots = 1});
  simulation.Request("once");
  const ExchangeId lookup = simulation.Request("lookup");
  const ExchangeId stream = simulation.Request("once-stream");
  BOOST_TEST(simulation.port.sent.size() == 1U);
  simulation.Answer(simulation.last(), 200, "done");
  BOOST_REQUIRE(simulation.port.sent.size() == 2U);
  BOOST_TEST(simulation.last().Field("Request-Id") ==
             "r" + std::to_string(stream));
  simulation.Advance(milliseconds(1'600));
  BOOST_TEST(!simulation.client(lookup).ended);
  simulation.Advance(milliseconds(400));
  BOOST_TEST(*simulation.client(lookup).status == 503);
}

// All teams have the same rank. Guards against ignoring the rank of the route,
// by which cheap lookups would hold the slots of interactive requests.
BOOST_AUTO_TEST_CASE(TeamsOfEqualRankAreOrderedByTheirRoutes) {
  ForwardSimulation simulation({.servers = 1, .slots = 1});
  RouteTableContent ranked = ForwardSimulation::Table(2);
  ranked.teams[0].priority = 1;
  simulation.controller.OnRouteTable(
      std::make_shared<const RouteTable>(ranked));
  simulation.Request("once");
  simulation.Request("lookup");
  const ExchangeId stream = simulation.Request("stream");
  simulation.Answer(simulation.last(), 200, "done");
  BOOST_TEST(simulation.last().Field("Request-Id") ==
             "r" + std::to_string(stream));
}

// One server crashed, the other is full. Guards against using up attempts at
// the crashed one instead of waiting for the healthy one.
BOOST_AUTO_TEST_CASE(CrashedServerIsNotUsedWhileAnotherIsHealthy) {
  ForwardSimulation simulation({.servers = 2, .slots = 1});
  simulation.Request("once");
  simulation.controller.OnAttemptFailed(simulation.last().attempt,
                                        AttemptFailure::kNotConnected);
  BOOST_TEST(simulation.port.sent.size() == 2U);
  simulation.Request("once");
  BOOST_TEST(simulation.port.sent.size() == 2U);
  simulation.Answer(simulation.last(), 200, "done");
  BOOST_TEST(simulation.port.sent.size() == 3U);
  BOOST_TEST(simulation.last().address == simulation.port.sent[1].address);
}

BOOST_AUTO_TEST_CASE(RequestEndsAtTheRouteTimeout) {
  ForwardSimulation simulation;
  const ExchangeId request =
      simulation.Request("once", {{"Deadline-Ms", "60000"}});
  simulation.Advance(milliseconds(9'960));
  BOOST_TEST(!simulation.client(request).ended);
  simulation.Advance(milliseconds(60));
  BOOST_TEST(*simulation.client(request).status == 504);
  BOOST_TEST(simulation.last().cancelled);
}

BOOST_AUTO_TEST_CASE(ServerReceivesTheTimeLeft) {
  ForwardSimulation simulation({.servers = 1, .slots = 1});
  simulation.Request("once");
  simulation.Request("once", {{"Deadline-Ms", "900"}});
  simulation.Advance(milliseconds(200));
  simulation.Answer(simulation.last(), 200, "done");
  BOOST_TEST(simulation.last().Field("Deadline-Ms") == "700");
  BOOST_TEST(simulation.last().Field("Expect-Instance") == "server-1");
}

// An idle connection may be closing. Guards against sending work on it that may
// run only once: after a reset it would be in doubt whether the work ran.
BOOST_AUTO_TEST_CASE(NonRepeatableRequestsUseOnlyFreshConnections) {
  ForwardSimulation simulation;
  simulation.Request("once");
  const Duration once = simulation.last().max_reuse_idle_time;
  simulation.Request("lookup");
  BOOST_TEST((once < milliseconds(500)));
  BOOST_TEST((simulation.last().max_reuse_idle_time > std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(LeavingEntryRefusesNewRequestsAndFinishesOthers) {
  ForwardSimulation simulation;
  const ExchangeId old_request = simulation.Request("once");
  simulation.controller.RejectNewRequests();
  BOOST_TEST(*simulation.client(simulation.Request("once")).status == 503);
  simulation.Answer(simulation.port.sent.front(), 200, "done");
  BOOST_TEST(simulation.client(old_request).body == "done");
}

// A server is full while two clients wait: one was refused before and came back
// first, the other sends its request for the first time. Only the second can
// still have its first event in time. Guards against granting the next slot to
// the first; it gets the slot after that.
BOOST_AUTO_TEST_CASE(RequestThatCanBeInTimeGoesBeforeOneThatCameBack) {
  ForwardSimulation simulation({.servers = 1, .slots = 1});
  for (int i = 0; i < 10; ++i) {
    simulation.Request("once");
    simulation.Answer(simulation.last(), 200, "done");
  }
  simulation.Request("once");
  const fakes::SentAttempt running = simulation.last();
  const ExchangeId back = simulation.Request("once", {{"Deadline-Ms", "7200"}});
  simulation.Advance(milliseconds(40));
  const ExchangeId first = simulation.Request("once");
  simulation.Answer(running, 200, "done");
  simulation.Answer(simulation.last(), 200, "done");
  BOOST_TEST(simulation.client(first).ended);
  BOOST_TEST(!simulation.client(back).ended);
  simulation.Answer(simulation.last(), 200, "done");
  BOOST_TEST(simulation.client(back).ended);
}

// No slot becomes free while the client waits. The refusal says that the
// request did not run and that the client may come back after three tenths of
// the 8.3 seconds that are left. Guards against a client that comes back at
// once, meets the same burst and has no further attempt.
BOOST_AUTO_TEST_CASE(RetryAfterOutlastsTheBurst) {
  ForwardSimulation simulation({.servers = 1, .slots = 1});
  simulation.Request("once");
  const ExchangeId waiting = simulation.Request("once");
  simulation.Advance(milliseconds(1700));
  BOOST_TEST(*simulation.client(waiting).status == 503);
  BOOST_TEST(*FindField(simulation.client(waiting).fields, "Retry-After") ==
             "2.496");
}

// All entries were killed while a team was near its rate. An entry that has
// just started admits a few requests, holds the next one back, and serves it
// once it may use the rate again. Guards against refusing the request instead
// of answering it late.
BOOST_AUTO_TEST_CASE(RequestBeyondTheRateWaitsForReportsOfOthers) {
  ForwardSimulation simulation(
      {.controller = {.rates = {.tolerance = {.slack = 160}}},
       .servers = 2,
       .slots = 4,
       .configured = false});
  RouteTableContent limited = ForwardSimulation::Table();
  limited.teams.front().rate = {.per_second = 100, .burst = 100};
  simulation.controller.OnRouteTable(
      std::make_shared<const RouteTable>(limited));
  for (int i = 0; i < 4; ++i) {
    simulation.Request("once");
  }
  const ExchangeId beyond = simulation.Request("once");
  BOOST_TEST(simulation.port.sent.size() == 4U);
  BOOST_TEST(!simulation.client(beyond).ended);
  simulation.Advance(milliseconds(520));
  BOOST_TEST(simulation.port.sent.size() == 5U);
}

}  // namespace lavenderkeel
