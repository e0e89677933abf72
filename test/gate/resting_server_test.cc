#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "lavenderkeel/gate.h"
#include "test/fuzz/virtual_clock.h"
#include "test/gate/find_sent.h"

namespace lavenderkeel {

namespace {

using std::chrono::seconds;

constexpr LinkId kEntry = 1;
constexpr uint32_t kPushback =
    static_cast<uint32_t>(ResultCode::kServerPushback);

/// An agent with free slots, and an entry.
struct Harness {
  fuzz::VirtualClock clock;
  EventLog log;
  Metrics metrics;
  AgentNode agent{
      {}, {.id = {"agent", 1}, .role = Role::kAgent}, clock, 1, log, metrics};
  std::mt19937_64 random{1};

  Harness() {
    agent.Start("a:1");
    agent.OnLinkUp(kEntry, {.id = {"entry", 1}, .address = "e:1"}, "");
    agent.outbox().Take();
  }

  RunController& server() { return agent.gate().server(); }

  Reserve MakeReserve(bool repeatable) {
    Reserve reserve;
    reserve.key = ToWire(RequestKey::Mint(clock.WallNow(), random));
    reserve.tier = 1;
    reserve.repeatable = repeatable;
    return reserve;
  }

  std::vector<Action> SendGo(const fbs::Key& key, bool service = false) {
    Go go;
    go.key = key;
    go.service = service;
    go.subscription = 1;
    agent.OnMessage(kEntry, go);
    return agent.outbox().Take();
  }

  /// Starts a run at the server.
  RunId StartRun(bool repeatable, bool service = false) {
    const Reserve reserve = MakeReserve(repeatable);
    agent.OnMessage(kEntry, reserve);
    for (const Action& action : SendGo(reserve.key, service)) {
      if (const auto* start = std::get_if<ServerStart>(&action)) {
        return start->run;
      }
    }
    BOOST_FAIL("not started");
    return 0;
  }

  /// Makes the server turn a run away, and state that it does not have it.
  void TurnAway(RunId run, const std::string& retry_after) {
    server().OnServerPushback(run, {retry_after});
    server().OnServerCancelled(run, CancelResult::kUnknown);
  }

  /// Reserves a slot.
  /// @return whether it is offered at once
  bool IsOffered(const Reserve& reserve) {
    agent.OnMessage(kEntry, reserve);
    return FindSent<SlotOffer>(agent.outbox().Take(), kEntry) != nullptr;
  }

  /// Lets time pass at the gate alone, so that the entry is not lost.
  /// @return whether a slot is offered then
  bool IsOfferedAfter(Duration time) {
    clock.Advance(time);
    agent.gate().Tick();
    return FindSent<SlotOffer>(agent.outbox().Take(), kEntry) != nullptr;
  }

  Heartbeat Load() {
    Heartbeat heartbeat;
    agent.gate().FillLoad(heartbeat);
    return heartbeat;
  }
};

}  // namespace

// Guards against a refused request that is reported as possibly run, so that it
// fails or uses up the retry budget, although it may run elsewhere; and against
// one that is reported as not run although the engine doesn't confirm it.
BOOST_AUTO_TEST_CASE(RequestTurnedAwayDidNotRunIfTheEngineConfirmsIt) {
  for (const bool repeatable : {true, false}) {
    for (const CancelResult result :
         {CancelResult::kUnknown, CancelResult::kKnown,
          CancelResult::kNoAnswer}) {
      Harness h;
      const RunId run = h.StartRun(repeatable);
      h.server().OnServerPushback(run, {"60"});
      const std::vector<Action> asked = h.agent.outbox().Take();
      BOOST_TEST(FindSent<Finished>(asked, kEntry) == nullptr);
      BOOST_TEST(std::ranges::any_of(asked, [run](const Action& action) {
        const auto* cancel = std::get_if<ServerCancel>(&action);
        return cancel != nullptr && cancel->run == run;
      }));
      h.server().OnServerCancelled(run, result);
      const std::vector<Action> actions = h.agent.outbox().Take();
      const auto* finished = FindSent<Finished>(actions, kEntry);
      BOOST_REQUIRE(finished != nullptr);
      BOOST_TEST(finished->code ==
                 (result == CancelResult::kUnknown
                      ? kPushback
                      : static_cast<uint32_t>(ResultCode::kServerFailed)));
      BOOST_TEST(h.metrics.counter("server_pushbacks_total") == 1U);
    }
  }
  BOOST_TEST(
      (Describe(ResultCode::kServerPushback).outcome == Outcome::kNotRun));
  BOOST_TEST(
      (Describe(ResultCode::kServerFailed).outcome == Outcome::kUnknown));
}

// Guards against requests that wait for a resting server while others are free,
// since the agent offers a slot ahead of the next free one.
BOOST_AUTO_TEST_CASE(RestingServerIsOfferedToNobody) {
  Harness h;
  h.TurnAway(h.StartRun(true), "60");
  h.agent.outbox().Take();
  BOOST_TEST(!h.IsOffered(h.MakeReserve(true)));
  BOOST_TEST(!h.IsOfferedAfter(seconds(59)));
  BOOST_TEST(h.Load().slots == 0U);
  BOOST_TEST(h.IsOfferedAfter(seconds(1)));
}

// Guards against a full server that gets a request for each of its slots as
// soon as its rest is over.
BOOST_AUTO_TEST_CASE(OneRequestIsOfferedAfterTheRest) {
  Harness h;
  h.TurnAway(h.StartRun(true), "60");
  h.agent.outbox().Take();
  const Reserve probe = h.MakeReserve(true);
  const Reserve other = h.MakeReserve(true);
  BOOST_TEST(!h.IsOffered(probe));
  BOOST_TEST(!h.IsOffered(other));
  h.clock.Advance(seconds(60));
  h.agent.gate().Tick();
  size_t offers = 0;
  RunId run = 0;
  for (const Action& action : h.agent.outbox().Take()) {
    const auto* send = std::get_if<SendMessage>(&action);
    offers +=
        send != nullptr && std::holds_alternative<SlotOffer>(send->message);
  }
  BOOST_TEST(offers == 1U);
  for (const Action& action : h.SendGo(probe.key)) {
    const auto* start = std::get_if<ServerStart>(&action);
    run = start == nullptr ? run : start->run;
  }
  BOOST_REQUIRE(run != 0U);
  BOOST_TEST(!h.IsOfferedAfter(seconds(1)));
  h.server().OnServerText(run, 0, "a");
  BOOST_TEST(h.IsOfferedAfter(Duration::zero()));
}

// Guards against a request that is accepted for a slot offered before the rest
// and then waits for its end.
BOOST_AUTO_TEST_CASE(GoForASlotOfferedBeforeTheRestIsRejected) {
  Harness h;
  const RunId run = h.StartRun(true);
  const Reserve reserve = h.MakeReserve(true);
  BOOST_TEST(h.IsOffered(reserve));
  h.TurnAway(run, "60");
  h.agent.outbox().Take();
  const std::vector<Action> actions = h.SendGo(reserve.key);
  const auto* rejected = FindSent<Rejected>(actions, kEntry);
  BOOST_REQUIRE(rejected != nullptr);
  BOOST_TEST(rejected->code == kPushback);
  BOOST_TEST(FindSent<Started>(actions, kEntry) == nullptr);
}

// Guards against requests that are kept waiting at a server that begins a rest,
// or are placed there again because their entry has not been told.
BOOST_AUTO_TEST_CASE(WaitingRequestsAreReturnedAtTheStartOfTheRest) {
  Harness h;
  std::vector<RunId> runs;
  for (uint32_t i = 0; i < 8; ++i) {
    runs.push_back(h.StartRun(true));
  }
  // The first is offered the slot that is the next to be free.
  BOOST_TEST(h.IsOffered(h.MakeReserve(true)));
  BOOST_TEST(!h.IsOffered(h.MakeReserve(true)));
  h.TurnAway(runs.front(), "60");
  const std::vector<Action> actions = h.agent.outbox().Take();
  const auto* heartbeat = FindSent<Heartbeat>(actions, kEntry);
  const auto* rejected = FindSent<Rejected>(actions, kEntry);
  BOOST_REQUIRE(heartbeat != nullptr);
  BOOST_REQUIRE(rejected != nullptr);
  BOOST_TEST(heartbeat->slots == 0U);
  BOOST_TEST(rejected->code == kPushback);
  const auto index_of = [&actions](const auto* message) {
    return std::ranges::find_if(
               actions,
               [message](const Action& action) {
                 const auto* send = std::get_if<SendMessage>(&action);
                 return send != nullptr &&
                        std::get_if<std::remove_cvref_t<decltype(*message)>>(
                            &send->message) == message;
               }) -
           actions.begin();
  };
  BOOST_TEST(index_of(heartbeat) < index_of(rejected));
}

// Guards against reservations that go back and forth between an entry and an
// agent whose server turns each probe away after a short rest.
BOOST_AUTO_TEST_CASE(ReservationsStayWhenTheProbeIsTurnedAway) {
  Harness h;
  h.TurnAway(h.StartRun(true), "0.1");
  const Reserve probe = h.MakeReserve(true);
  BOOST_TEST(!h.IsOffered(probe));
  BOOST_TEST(!h.IsOffered(h.MakeReserve(true)));
  BOOST_TEST(h.IsOfferedAfter(std::chrono::milliseconds(100)));
  RunId run = 0;
  for (const Action& action : h.SendGo(probe.key)) {
    const auto* start = std::get_if<ServerStart>(&action);
    run = start == nullptr ? run : start->run;
  }
  h.TurnAway(run, "0.1");
  const std::vector<Action> actions = h.agent.outbox().Take();
  BOOST_TEST(FindSent<Finished>(actions, kEntry) != nullptr);
  BOOST_TEST(FindSent<Rejected>(actions, kEntry) == nullptr);
  BOOST_TEST(h.Load().waiting.size() == 2U);
}

// Guards against lookups that are cancelled for a check that a resting server
// may not get.
BOOST_AUTO_TEST_CASE(NothingIsPreemptedDuringTheRest) {
  Harness h;
  h.StartRun(true);
  h.TurnAway(h.StartRun(true), "60");
  Reserve check = h.MakeReserve(false);
  check.tier = 0;
  check.deadline_bound = true;
  BOOST_TEST(!h.IsOffered(check));
  BOOST_TEST(!h.IsOfferedAfter(seconds(1)));
  BOOST_TEST(h.server().running().size() == 1U);
}

// Guards against the loss of a running answer, or a false report of a crash,
// when an engine turns away the resume of its stream.
BOOST_AUTO_TEST_CASE(StreamIsResumedAfterAShortRest) {
  Harness h;
  const RunId run = h.StartRun(false);
  h.server().OnServerText(run, 0, "a");
  h.server().OnServerDisconnect(run, ServerDisconnect::kBroken);
  h.clock.Advance(seconds(1));
  h.agent.gate().Tick();
  h.agent.outbox().Take();
  h.server().OnServerPushback(run, {"2"});
  BOOST_TEST(FindSent<Finished>(h.agent.outbox().Take(), kEntry) == nullptr);
  const auto resumed = [&h] {
    return std::ranges::any_of(
        h.agent.outbox().Take(), [](const Action& action) {
          return std::holds_alternative<ServerResume>(action);
        });
  };
  h.clock.Advance(seconds(1));
  h.agent.gate().Tick();
  BOOST_TEST(!resumed());
  h.clock.Advance(std::chrono::milliseconds(1001));
  h.agent.gate().Tick();
  BOOST_TEST(resumed());
  h.server().OnServerPushback(run, {"60"});
  const std::vector<Action> actions = h.agent.outbox().Take();
  const auto* finished = FindSent<Finished>(actions, kEntry);
  BOOST_REQUIRE(finished != nullptr);
  BOOST_TEST(finished->code ==
             static_cast<uint32_t>(ResultCode::kServerFailed));
}

// Guards against a service's answer that is kept from its caller, and against
// further requests to the service during its rest.
BOOST_AUTO_TEST_CASE(ServiceRestsAndItsAnswerIsPassedOn) {
  Harness h;
  const RunId run = h.StartRun(false, /*service=*/true);
  h.server().OnServicePushback(run, {"60"});
  h.server().OnServiceReply(run, 503, "application/json", "{}");
  const std::vector<Action> actions = h.agent.outbox().Take();
  const auto* finished = FindSent<Finished>(actions, kEntry);
  BOOST_REQUIRE(finished != nullptr);
  BOOST_TEST(finished->code == static_cast<uint32_t>(ResultCode::kAnswered));
  BOOST_TEST(!h.IsOffered(h.MakeReserve(true)));
}

}  // namespace lavenderkeel
