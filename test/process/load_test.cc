// Many concurrent callers against real processes, on loopback.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "test/process/cluster.h"

namespace lavenderkeel::test {

namespace {

using Exchanges = std::vector<std::shared_ptr<Exchange>>;

size_t CountDone(const Exchanges& exchanges) {
  return static_cast<size_t>(
      std::ranges::count_if(exchanges, [](const auto& e) { return e->done; }));
}

/// Counts callers whose connection closed without an answer or a refusal.
size_t CountWithoutReply(const Exchanges& exchanges) {
  return static_cast<size_t>(
      std::ranges::count_if(exchanges, [](const auto& e) {
        return e->result.kind != HttpResult::Kind::kAnswered;
      }));
}

}  // namespace

// Guards against an entry that crashes when a burst of deadline-bound checks
// preempts streaming lookups: their streams are aborted while the last chunk is
// still being sent to the caller. Every caller must be answered, refused, or
// have its own stream aborted, and a refused check must not have run.
BOOST_AUTO_TEST_CASE(ChecksOverManyStreamingLookups) {
  constexpr size_t kLookups = 300;
  constexpr int kTokens = 100;
  constexpr size_t kChecks = 30;
  Cluster cluster({.entries = 2, .agents = 3, .step_ms = 4});
  cluster.Call(cluster.EngineAddress(2), "POST", "/fault/speed?factor=0.5");
  Exchanges lookups;
  for (size_t i = 0; i < kLookups; ++i) {
    lookups.push_back(
        cluster.SubmitRequest(i % 2, "", "lookup", kTokens, /*stream=*/true));
  }
  BOOST_REQUIRE(cluster.Wait([&] {
    return std::ranges::count_if(lookups, [](const auto& lookup) {
             return !lookup->stream.empty();
           }) >= 20;
  }));
  Exchanges checks;
  for (size_t i = 0; i < kChecks; ++i) {
    checks.push_back(cluster.SubmitRequest(i % 2, cluster.NewKey(), "check", 5,
                                           /*stream=*/false, "Letter one",
                                           std::chrono::seconds(4)));
  }
  BOOST_TEST(cluster.Wait([&] { return CountDone(checks) == kChecks; }));
  BOOST_TEST(cluster.Wait([&] { return CountDone(lookups) == kLookups; }));
  BOOST_TEST(cluster.IsRunning("entry-0"));
  BOOST_TEST(cluster.IsRunning("entry-1"));
  BOOST_TEST(CountWithoutReply(checks) == 0U);
  for (const auto& check : checks) {
    BOOST_TEST(check->result.status != 504);
  }
  // A lookup whose stream had begun may be aborted; all others get a reply.
  for (const auto& lookup : lookups) {
    const bool begun = !lookup->stream.empty();
    BOOST_TEST((begun || lookup->result.kind == HttpResult::Kind::kAnswered));
  }
}

// Guards against a repeatedly submitted lookup that crashes one engine after
// the other, and with each engine the lookups that it runs concurrently.
BOOST_AUTO_TEST_CASE(CrashingLookupsLeaveEnginesForOthers) {
  constexpr size_t kEngines = 8;
  constexpr size_t kRounds = 60;
  constexpr int kTokens = 5;
  Cluster cluster({.entries = 2, .agents = kEngines, .step_ms = 4});
  Exchanges crashing;
  Exchanges harmless;
  for (size_t round = 0; round < kRounds; ++round) {
    crashing.push_back(cluster.SubmitRequest(round % 2, "", "lookup", kTokens,
                                             /*stream=*/false,
                                             "deadly letter"));
    for (const size_t entry : {0U, 1U}) {
      harmless.push_back(cluster.SubmitRequest(
          entry, "", "lookup", kTokens,
          /*stream=*/false, "Letter " + std::to_string(round)));
    }
    BOOST_TEST(cluster.Wait(
        [&] { return harmless.back()->done && crashing.back()->done; }));
  }
  BOOST_TEST(cluster.Wait([&] { return CountDone(harmless) == 2 * kRounds; }));
  size_t running = 0;
  for (size_t i = 0; i < kEngines; ++i) {
    running += cluster.IsRunning("engine-" + std::to_string(i)) ? 1 : 0;
  }
  // The lookup may crash up to three engines, and its retries three more.
  BOOST_TEST(running >= kEngines - 6);
  const auto answered = std::ranges::count_if(harmless, [](const auto& lookup) {
    return lookup->result.status == 200;
  });
  BOOST_TEST(static_cast<size_t>(answered) == 2 * kRounds);
}

}  // namespace lavenderkeel::test
