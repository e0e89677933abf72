#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "lavenderkeel/gate.h"
#include "test/fakes/unreadable_json.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

constexpr char kObject[] = "/objects/lavenderkeel/servers/agent";

/// An agent that reads its object on the platform when it starts.
struct Harness {
  fuzz::VirtualClock clock;
  EventLog log;
  Metrics metrics;
  AgentNode agent{
      {}, {.id = {"agent", 7}, .role = Role::kAgent}, clock, 1, log, metrics};

  /// Answers the read of the object.
  /// @return the fence that the agent writes; nothing if it writes none
  std::optional<uint64_t> FenceAfter(const PlatformReply& stored) {
    agent.Start("a:1");
    Answer("GET", stored);
    for (const Action& action : agent.outbox().Take()) {
      const auto* call = std::get_if<PlatformCall>(&action);
      if (call != nullptr && call->method == "PUT" && call->path == kObject) {
        return boost::json::parse(call->body).at("fence").to_number<uint64_t>();
      }
    }
    return std::nullopt;
  }

 private:
  void Answer(const std::string& method, const PlatformReply& reply) {
    for (const Action& action : agent.outbox().Take()) {
      const auto* call = std::get_if<PlatformCall>(&action);
      if (call != nullptr && call->method == method && call->path == kObject) {
        agent.OnPlatformReply(call->call, reply);
      }
    }
  }
};

PlatformReply Stored(const std::string& body) {
  return {.status = 200, .etag = "\"4\"", .body = body};
}

}  // namespace

BOOST_AUTO_TEST_CASE(EachProcessCountsTheFenceOn) {
  BOOST_TEST(Harness().FenceAfter({.status = 404}).value_or(0) == 1U);
  BOOST_TEST(
      Harness().FenceAfter(Stored(R"({"fence":5,"incarnation":6})")).value() ==
      6U);
  // Written by this process, though the reply was lost.
  BOOST_TEST(!Harness()
                  .FenceAfter(Stored(R"({"fence":5,"incarnation":7})"))
                  .has_value());
}

// Guards against a fence that starts again at 1, so that engines refuse the
// orders of the agent as outdated.
BOOST_AUTO_TEST_CASE(UnreadableFenceIsNotCountedFromTheStart) {
  constexpr uint64_t kMoreThanAnyCount = uint64_t{1} << 32;
  std::vector<std::string> bodies = {
      "",
      "{",
      "[]",
      "{}",
      R"({"incarnation":6})",
      R"({"fence":"5","incarnation":6})",
      R"({"fence":1,"fence":5,"incarnation":6})"};
  for (const std::string& value : fakes::UnreadableValues()) {
    bodies.push_back(R"({"incarnation":6,"fence":)" + value + "}");
    bodies.push_back(R"({"fence":5,"incarnation":6,"by":)" + value + "}");
  }
  for (const std::string& body : bodies) {
    const std::optional<uint64_t> fence = Harness().FenceAfter(Stored(body));
    BOOST_REQUIRE_MESSAGE(fence.has_value(), body.substr(0, 40));
    BOOST_TEST((*fence > kMoreThanAnyCount || *fence == 6), body.substr(0, 40));
  }
}

}  // namespace lavenderkeel
