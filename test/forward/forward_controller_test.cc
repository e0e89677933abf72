#include "lavenderkeel/forward/forward_controller.h"

#include <boost/test/unit_test.hpp>

#include "test/fakes/forward_world.h"

namespace lavenderkeel {

namespace {

using fakes::ForwardWorld;
using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_CASE(AnswerIsPassedWithItsSealAndStatus) {
  ForwardWorld w;
  const ExchangeId request = w.Request("once");
  w.Answer(w.last(), 404, "none", {{"Connection", "close"}});
  BOOST_TEST(*w.client(request).status == 404);
  BOOST_TEST(w.client(request).body == "none");
  BOOST_TEST((w.client(request).fields ==
              HttpFields{{"Request-Id", "r1"}, {"Response-Seal", "seal"}}));
  BOOST_TEST(w.controller.open() == 0U);
}

BOOST_AUTO_TEST_CASE(WhatTheConfigurationDoesNotAllowIsRefused) {
  ForwardWorld w;
  BOOST_TEST(*w.client(w.Request("nowhere")).status == 404);
  BOOST_TEST(
      *w.client(w.Request("once", {{"Authorization", "Bearer x"}})).status ==
      401);
  BOOST_TEST(*w.client(w.Request("once", {{"Deadline-Ms", "soon"}})).status ==
             400);
  BOOST_TEST(w.port.sent.empty());
}

// All entries were killed while the store is away. The client's request waits
// for the first configuration; refused at once, it would come back before there
// is one and have no further try.
BOOST_AUTO_TEST_CASE(RequestWaitsForTheFirstConfiguration) {
  ForwardWorld w({.configured = false});
  const ExchangeId early = w.Request("once");
  const ExchangeId impatient = w.Request("once", {{"Deadline-Ms", "1000"}});
  w.Advance(milliseconds(400));
  BOOST_TEST(*w.client(impatient).status == 503);
  BOOST_TEST(!w.client(early).ended);
  w.controller.OnRouteTable(
      std::make_shared<const RouteTable>(ForwardWorld::Table()));
  BOOST_TEST(w.port.sent.size() == 1U);
  // What it waited is taken off the time that it has.
  BOOST_TEST(w.last().Field("Deadline-Ms") == "9600");
  const ExchangeId gone = w.Request("once");
  w.controller.OnClientGone(gone);
  BOOST_TEST(w.controller.open() == 1U);
}

BOOST_AUTO_TEST_CASE(VersionsOnlyGoUp) {
  ForwardWorld w;
  RouteTableContent newer = ForwardWorld::Table(5);
  newer.routes.pop_back();
  w.controller.OnRouteTable(std::make_shared<const RouteTable>(newer));
  w.controller.OnRouteTable(
      std::make_shared<const RouteTable>(ForwardWorld::Table(4)));
  BOOST_TEST(w.controller.table()->version() == 5U);
  BOOST_TEST(*w.client(w.Request("once")).status == 404);
}

// The server resets the connection after the request was sent. It may have
// run, so the client of work that may run once gets a 504, which promises
// nothing, and no other server gets the request.
BOOST_AUTO_TEST_CASE(BrokenWorkThatMayRunOnceIsNeitherRepeatedNorRefused) {
  for (const char* route : {"once", "once-stream"}) {
    ForwardWorld w;
    const ExchangeId request = w.Request(route);
    w.controller.OnAttemptFailed(w.last().attempt, AttemptFailure::kBroken);
    BOOST_TEST(w.port.sent.size() == 1U);
    BOOST_TEST(*w.client(request).status == 504);
    BOOST_TEST((FindField(w.client(request).fields, "Retry-After") == nullptr));
  }
}

// No connection came about, then a server says that it is full. Both times the
// request certainly did not run, so it goes to another server.
BOOST_AUTO_TEST_CASE(UnsentAndRejectedWorkGoesElsewhere) {
  ForwardWorld w({.servers = 3});
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

BOOST_AUTO_TEST_CASE(ServerOfAnotherNameAtTheAddressCountsAsNotRun) {
  ForwardWorld w;
  const ExchangeId request = w.Request("once");
  w.Answer(w.last(), 421, "");
  BOOST_TEST(w.port.sent.size() == 2U);
  w.Answer(w.last(), 200, "done");
  BOOST_TEST(w.client(request).body == "done");
}

// Everywhere the answer is "full". The client is told truly that it was not
// run, and when to come back.
BOOST_AUTO_TEST_CASE(RejectedByAllIsRefusedWithATimeToComeBack) {
  ForwardWorld w({.controller = {.retry_extra = 2}, .servers = 2});
  const ExchangeId request = w.Request("once");
  while (!w.client(request).ended) {
    w.Answer(w.last(), 503, "full", {{"Not-Executed", "1"}});
  }
  BOOST_TEST(*w.client(request).status == 503);
  BOOST_TEST((FindField(w.client(request).fields, "Retry-After") != nullptr));
}

BOOST_AUTO_TEST_CASE(FailedLookupIsSentOnceMoreAndNotAThirdTime) {
  ForwardWorld w({.servers = 3});
  const ExchangeId request = w.Request("lookup");
  w.Answer(w.last(), 500, "error");
  BOOST_TEST(w.port.sent.size() == 2U);
  w.Answer(w.last(), 500, "error");
  BOOST_TEST(w.port.sent.size() == 2U);
  BOOST_TEST(*w.client(request).status == 500);
}

// A second answer to an earlier request comes where this one's is due. The
// client must not get another's answer; it is read past.
BOOST_AUTO_TEST_CASE(AnswerToAnotherRequestIsReadPast) {
  ForwardWorld w;
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

// What comes is no answer of the server: no seal, an encoding that nobody asked
// for, no id. The client gets a 504 of ours, never a success.
BOOST_AUTO_TEST_CASE(DoubtfulAnswersAreNotPassedOn) {
  for (const HttpFields& fields :
       {HttpFields{{"Request-Id", "r1"}}, HttpFields{{"Response-Seal", "seal"}},
        HttpFields{{"Request-Id", "r1"},
                   {"Response-Seal", "seal"},
                   {"Content-Encoding", "gzip"}}}) {
    ForwardWorld w;
    const ExchangeId request = w.Request("once");
    const auto verdict = w.controller.OnAnswerHead(
        w.last().attempt, {.status = 200, .fields = fields}, /*fresh=*/false);
    BOOST_TEST((verdict == ForwardController::HeadVerdict::kDrop));
    BOOST_TEST(*w.client(request).status == 504);
  }
}

BOOST_AUTO_TEST_CASE(EventsArePassedAsTheyComeAndOnlyWhole) {
  ForwardWorld w;
  const ExchangeId request = w.Request("stream");
  w.Events(w.last(), 1, 2);
  w.controller.OnAnswerPart(w.last().attempt, "id: 3\nda");
  BOOST_TEST(w.client(request).body == ForwardWorld::EventText(1, 2));
  w.controller.OnAnswerPart(w.last().attempt, "ta: x\n\n");
  w.controller.OnAnswerEnd(w.last().attempt);
  BOOST_TEST(w.client(request).body == ForwardWorld::EventText(1, 3));
  BOOST_TEST(w.client(request).ended);
}

// The server breaks off in the middle of the third event. The client sees the
// stream go on at another server, without a gap and without a repeat.
BOOST_AUTO_TEST_CASE(BrokenStreamIsResumedBehindItsLastWholeEvent) {
  ForwardWorld w;
  const ExchangeId request = w.Request("stream");
  w.Events(w.last(), 1, 2);
  w.controller.OnAnswerPart(w.last().attempt, "id: 3\nda");
  w.controller.OnAttemptFailed(w.last().attempt, AttemptFailure::kBroken);
  BOOST_TEST(w.port.sent.size() == 2U);
  BOOST_TEST(w.last().Field("Last-Event-Id") == "2");
  w.Events(w.last(), 3, 4);
  w.controller.OnAnswerEnd(w.last().attempt);
  BOOST_TEST(w.client(request).body == ForwardWorld::EventText(1, 4));
  BOOST_TEST(w.client(request).ended);
}

// The answer ends in order but in the middle of an event; passed on as an end
// it would look whole to the client.
BOOST_AUTO_TEST_CASE(StreamThatEndsInAnEventIsCutNotEnded) {
  ForwardWorld w;
  const ExchangeId request = w.Request("once-stream");
  w.Events(w.last(), 1, 2);
  w.controller.OnAnswerPart(w.last().attempt, "id: 3\nda");
  w.controller.OnAnswerEnd(w.last().attempt);
  BOOST_TEST(w.client(request).aborted);
  BOOST_TEST(!w.client(request).ended);
}

// A server goes silent in the middle of a stream. Its connection is closed
// before another one gets the request, so that two never work on it.
BOOST_AUTO_TEST_CASE(SilentStreamIsClosedThenResumed) {
  ForwardWorld w;
  w.Request("stream");
  w.Events(w.last(), 1, 2);
  w.Advance(milliseconds(800));
  BOOST_TEST(w.port.sent.size() == 1U);
  w.Advance(milliseconds(200));
  BOOST_REQUIRE(w.port.sent.size() == 2U);
  BOOST_TEST(w.port.sent[0].cancelled);
  BOOST_TEST(w.port.sent[1].Field("Last-Event-Id") == "2");
}

// A stream's server falls silent while all slots are taken and others wait. The
// client would take a pause of over two seconds; the stream is resumed before
// the others, although a slot comes only after 1.2 s. Cut after 0.8 s, the
// client would have lost an answer of which it had a part.
BOOST_AUTO_TEST_CASE(TakenAwayStreamIsResumedBeforeOthersThatWait) {
  ForwardWorld w({.servers = 1, .slots = 1});
  const ExchangeId stream = w.Request("stream");
  const AttemptId first = w.last().attempt;
  w.Events(w.last(), 1, 2);
  const ExchangeId other = w.Request("once");
  // Its server leaves, so that no slot is left, and breaks off the stream.
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

BOOST_AUTO_TEST_CASE(ClientThatLeavesEndsTheWorkAtOnce) {
  ForwardWorld w;
  const ExchangeId request = w.Request("stream");
  w.controller.OnClientGone(request);
  BOOST_TEST(w.last().cancelled);
  BOOST_TEST(w.controller.open() == 0U);
}

// All places are taken. The urgent request that comes last is sent first; the
// others wait, in order of urgency, and are refused once waiting is of no use.
BOOST_AUTO_TEST_CASE(UrgentWorkGoesFirstAndWaitingHasAnEnd) {
  ForwardWorld w({.servers = 1, .slots = 1});
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

// All teams have the same rank. A lookup and a stream wait; the route's rank
// decides, or cheap lookups would hold the places of what callers wait for.
BOOST_AUTO_TEST_CASE(TeamsOfEqualRankAreOrderedByTheirRoutes) {
  ForwardWorld w({.servers = 1, .slots = 1});
  RouteTableContent ranked = ForwardWorld::Table(2);
  ranked.teams[0].priority = 1;
  w.controller.OnRouteTable(std::make_shared<const RouteTable>(ranked));
  w.Request("once");
  w.Request("lookup");
  const ExchangeId stream = w.Request("stream");
  w.Answer(w.last(), 200, "done");
  BOOST_TEST(w.last().Field("Request-Id") == "r" + std::to_string(stream));
}

// One server crashed, the other is full. Requests wait for the sound one; sent
// to the crashed one they would only use up their attempts.
BOOST_AUTO_TEST_CASE(RestingServerIsNotUsedWhileAnotherIsSound) {
  ForwardWorld w({.servers = 2, .slots = 1});
  w.Request("once");
  w.controller.OnAttemptFailed(w.last().attempt, AttemptFailure::kNotConnected);
  BOOST_TEST(w.port.sent.size() == 2U);
  w.Request("once");
  BOOST_TEST(w.port.sent.size() == 2U);
  w.Answer(w.last(), 200, "done");
  BOOST_TEST(w.port.sent.size() == 3U);
  BOOST_TEST(w.last().address == w.port.sent[1].address);
}

BOOST_AUTO_TEST_CASE(FinalAnswerComesAtTheRoutesTimeout) {
  ForwardWorld w;
  const ExchangeId request = w.Request("once", {{"Deadline-Ms", "60000"}});
  w.Advance(milliseconds(9'960));
  BOOST_TEST(!w.client(request).ended);
  w.Advance(milliseconds(60));
  BOOST_TEST(*w.client(request).status == 504);
  BOOST_TEST(w.last().cancelled);
}

BOOST_AUTO_TEST_CASE(ServerIsToldTheTimeThatIsLeft) {
  ForwardWorld w({.servers = 1, .slots = 1});
  w.Request("once");
  w.Request("once", {{"Deadline-Ms", "900"}});
  w.Advance(milliseconds(200));
  w.Answer(w.last(), 200, "done");
  BOOST_TEST(w.last().Field("Deadline-Ms") == "700");
  BOOST_TEST(w.last().Field("Expect-Instance") == "server-1");
}

// An idle connection may be closing while a request is written to it; for work
// that may run once a reset there would leave in doubt whether it ran.
BOOST_AUTO_TEST_CASE(OnlyFreshConnectionsCarryWorkThatMayRunOnce) {
  ForwardWorld w;
  w.Request("once");
  const Duration once = w.last().reuse_within;
  w.Request("lookup");
  BOOST_TEST((once < milliseconds(500)));
  BOOST_TEST((w.last().reuse_within > std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(AfterTheStopNewRequestsAreRefusedAndOldOnesEnd) {
  ForwardWorld w;
  const ExchangeId old_request = w.Request("once");
  w.controller.RefuseNew();
  BOOST_TEST(*w.client(w.Request("once")).status == 503);
  w.Answer(w.port.sent.front(), 200, "done");
  BOOST_TEST(w.client(old_request).body == "done");
}

// A server is full while two clients wait: one was refused before and came back
// first, the other sends its request for the first time. Only the second can
// still have its first event in time, so the next slot is for it; the one that
// came back gets the slot after that.
BOOST_AUTO_TEST_CASE(WhoComesBackLeavesTheSlotToWhoCanBeInTime) {
  ForwardWorld w({.servers = 1, .slots = 1});
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

// No slot comes free while the client would wait. It is told at once that its
// request did not run, and to come back after three tenths of the 8.3 seconds
// that it has left: come back at once, it would meet the same burst and have no
// further try.
BOOST_AUTO_TEST_CASE(WhoWaitedInVainComesBackAfterTheBurst) {
  ForwardWorld w({.servers = 1, .slots = 1});
  w.Request("once");
  const ExchangeId waiting = w.Request("once");
  w.Advance(milliseconds(1700));
  BOOST_TEST(*w.client(waiting).status == 503);
  BOOST_TEST(*FindField(w.client(waiting).fields, "Retry-After") == "2.496");
}

// All entries were killed while a team was near its rate. An entry that has
// just started lets a little through, keeps what is beyond it, and serves that
// once it may count on the rate again; the client sees a late answer, no
// refusal.
BOOST_AUTO_TEST_CASE(RequestWaitsUntilTheOthersAreHeardOf) {
  ForwardWorld w({.controller = {.rates = {.tolerance = {.slack = 160}}},
                  .servers = 2,
                  .slots = 4,
                  .configured = false});
  RouteTableContent limited = ForwardWorld::Table();
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
