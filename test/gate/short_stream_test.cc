#include <boost/test/unit_test.hpp>

#include "lavenderkeel/gate.h"
#include "test/fuzz/virtual_clock.h"
#include "test/gate/find_sent.h"

namespace lavenderkeel {

namespace {

constexpr LinkId kEntry = 1;

/// An agent whose engine has started one run.
struct Harness {
  fuzz::VirtualClock clock;
  EventLog log;
  Metrics metrics;
  AgentNode agent{
      {}, {.id = {"agent", 1}, .role = Role::kAgent}, clock, 1, log, metrics};
  RunId run = 0;

  Harness() {
    agent.Start("a:1");
    agent.OnLinkUp(kEntry, {.id = {"entry", 1}, .address = "e:1"}, "");
    std::mt19937_64 random(1);
    Reserve reserve;
    reserve.key = ToWire(RequestKey::Mint(clock.WallNow(), random));
    agent.OnMessage(kEntry, reserve);
    Go go;
    go.key = reserve.key;
    go.subscription = 1;
    agent.OnMessage(kEntry, go);
    run = std::get<ServerStart>(Sent<ServerStart>().value()).run;
  }

  RunController& server() { return agent.gate().server(); }

  template <typename T>
  std::optional<Action> Sent() {
    for (Action& action : agent.outbox().Take()) {
      if (std::holds_alternative<T>(action)) {
        return std::move(action);
      }
    }
    return std::nullopt;
  }

  std::optional<uint32_t> FinishedWith() {
    const std::vector<Action> actions = agent.outbox().Take();
    const auto* finished = FindSent<Finished>(actions, kEntry);
    return finished == nullptr ? std::nullopt : std::optional(finished->code);
  }
};

constexpr std::string_view kFinishOfThree =
    R"({"finish_reason":"stop","usage":{"completion_tokens":3}})";

}  // namespace

// Guards against a partial answer that is delivered as complete: an engine
// stalls and then sends its finish without the last two texts. The stream must
// be resumed at the first missing text.
BOOST_AUTO_TEST_CASE(StreamWithMissingTextsIsResumed) {
  Harness h;
  h.server().OnServerText(h.run, 0, "a");
  h.server().OnServerFinish(h.run, kFinishOfThree);
  const std::optional<Action> resume = h.Sent<ServerResume>();
  BOOST_REQUIRE(resume.has_value());
  BOOST_TEST(std::get<ServerResume>(*resume).from == 1U);
  h.server().OnServerText(h.run, 1, "b");
  h.server().OnServerText(h.run, 2, "c");
  h.server().OnServerFinish(h.run, kFinishOfThree);
  const std::optional<uint32_t> code = h.FinishedWith();
  BOOST_REQUIRE(code.has_value());
  BOOST_TEST(*code == static_cast<uint32_t>(ResultCode::kAnswered));
}

// Guards against a partial answer that is delivered as complete when the engine
// never sends the missing texts: the request must fail once the resumes are
// used up.
BOOST_AUTO_TEST_CASE(StreamThatStaysIncompleteFails) {
  Harness h;
  h.server().OnServerText(h.run, 0, "a");
  std::optional<uint32_t> code;
  for (int i = 0; i < 100 && !code.has_value(); ++i) {
    h.server().OnServerFinish(h.run, kFinishOfThree);
    code = h.FinishedWith();
  }
  BOOST_REQUIRE(code.has_value());
  BOOST_TEST(*code == static_cast<uint32_t>(ResultCode::kServerFailed));
}

}  // namespace lavenderkeel
