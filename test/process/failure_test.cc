// Failures of whole processes, on loopback.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>

#include "test/process/cluster.h"

namespace lavenderkeel::test {

namespace {

const std::string kWhole =
    "Letter0 Letter1 Letter2 Letter3 Letter4 Letter5 Letter6 Letter7 Letter8 "
    "Letter9 ";

bool HasText(const Exchange& exchange, const std::string& text) {
  return exchange.result.body.find(text) != std::string::npos;
}

}  // namespace

// A caller's entry is killed while its request runs. The caller sees a broken
// connection and sends the same key to another entry. That one finds the claim,
// the owner dead, asks the claim's agents and reads the one answer from the
// start: whole, with a single start at the engines.
BOOST_AUTO_TEST_CASE(EntryKilledWhileRequestRuns) {
  Cluster cluster({.step_ms = 40});
  const std::string key = cluster.NewKey();
  const auto first = cluster.Ask(0, key, "check", 60, /*stream=*/true);
  BOOST_REQUIRE(cluster.Wait([&] { return !first->stream.empty(); }));
  cluster.Signal("entry-0", SIGKILL);
  BOOST_REQUIRE(cluster.Wait([&] { return first->done; }));
  BOOST_TEST(!first->whole());
  const auto again = cluster.Ask(1, key, "check", 60, /*stream=*/true);
  BOOST_REQUIRE(cluster.Wait([&] { return again->done; }));
  BOOST_TEST(again->whole());
  BOOST_TEST(cluster.Starts() == 1U);
}

// Both agents are busy, so the request waits at its entry, which is killed.
// The retry elsewhere hears from every agent that it never came, so it runs
// now, once.
BOOST_AUTO_TEST_CASE(EntryKilledWhileRequestWaits) {
  Cluster cluster(
      {.agents = 1,
       .step_ms = 20,
       .agent_tuning = R"("first_in_flight": 1, "most_in_flight": 1)"});
  const auto busy = cluster.Ask(1, "", "check", 100, true);
  const auto ahead = cluster.Ask(1, "", "check", 10, true);
  BOOST_REQUIRE(cluster.Wait([&] { return !busy->stream.empty(); }));
  const std::string key = cluster.NewKey();
  const auto waiting = cluster.Ask(0, key, "check", 10);
  BOOST_REQUIRE(cluster.Wait([&] {
    return cluster.Log("entry-0").find("event=route") != std::string::npos;
  }));
  cluster.Signal("entry-0", SIGKILL);
  const auto again = cluster.Ask(1, key, "check", 10);
  BOOST_REQUIRE(cluster.Wait([&] { return again->done && ahead->done; }));
  BOOST_TEST(again->result.status == 200);
  BOOST_TEST(HasText(*again, kWhole));
  BOOST_TEST(cluster.Starts() == 3U);
}

// An agent is killed under a check and a lookup. The check may have run, so
// its caller hears "unknown" and it is not sent again; the lookup may be
// repeated and comes back whole from the other agent.
BOOST_AUTO_TEST_CASE(AgentKilledWhileRequestsRun) {
  Cluster cluster({.entries = 1,
                   .agents = 1,
                   .step_ms = 20,
                   .entry_tuning = R"("server_patience_ms": 1000)"});
  const auto check = cluster.Ask(0, cluster.NewKey(), "check", 400);
  const auto lookup = cluster.Ask(0, cluster.NewKey(), "lookup", 10);
  BOOST_REQUIRE(cluster.Wait([&] { return cluster.Starts() == 2; }));
  cluster.Signal("agent-0", SIGKILL);
  cluster.StartAgent(0);
  BOOST_REQUIRE(cluster.Wait([&] { return check->done && lookup->done; }));
  BOOST_TEST(check->result.status == 504);
  BOOST_TEST(HasText(*check, "\"outcome\":\"unknown\""));
  BOOST_TEST(lookup->result.status == 200);
  BOOST_TEST(cluster.Starts() == 3U);
}

// An agent is frozen past the heartbeat timeout while it streams, then wakes.
// Its links were dropped as silent; the entry attaches at its offset on a new
// one and the caller gets the rest: nothing cut, nothing twice, one start.
BOOST_AUTO_TEST_CASE(AgentFrozenAndWoken) {
  Cluster cluster({.entries = 1,
                   .agents = 1,
                   .step_ms = 20,
                   .entry_tuning = R"("server_patience_ms": 60000)"});
  const auto check = cluster.Ask(0, cluster.NewKey(), "check", 50, true);
  BOOST_REQUIRE(cluster.Wait([&] { return !check->stream.empty(); }));
  cluster.Signal("agent-0", SIGSTOP);
  BOOST_REQUIRE(cluster.Wait([&] {
    return cluster.Log("entry-0").find("event=peer_lost") != std::string::npos;
  }));
  cluster.Signal("agent-0", SIGCONT);
  BOOST_REQUIRE(cluster.Wait([&] { return check->done; }));
  BOOST_TEST(check->whole());
  for (const char* text : {"Letter0 ", "Letter31 ", "Letter49 "}) {
    const size_t first = check->stream.find(text);
    BOOST_TEST(first != std::string::npos);
    BOOST_TEST(check->stream.find(text, first + 1) == std::string::npos);
  }
  BOOST_TEST(cluster.Starts() == 1U);
}

// An entry is frozen while its request waits; the retry elsewhere seals the
// agents and runs it. The first entry wakes and still wants to send it: the
// agents refuse, and there is one start.
BOOST_AUTO_TEST_CASE(EntryFrozenWhileRequestWaits) {
  Cluster cluster(
      {.agents = 1,
       .step_ms = 20,
       .agent_tuning = R"("first_in_flight": 1, "most_in_flight": 1)"});
  const auto busy = cluster.Ask(1, "", "check", 250, true);
  const auto ahead = cluster.Ask(1, "", "check", 10, true);
  BOOST_REQUIRE(cluster.Wait([&] { return !busy->stream.empty(); }));
  const std::string key = cluster.NewKey();
  const auto frozen = cluster.Ask(0, key, "check", 10);
  BOOST_REQUIRE(cluster.Wait([&] {
    return cluster.Log("entry-0").find("event=route") != std::string::npos;
  }));
  cluster.Signal("entry-0", SIGSTOP);
  const auto again = cluster.Ask(1, key, "check", 10);
  BOOST_REQUIRE(cluster.Wait([&] { return again->done; }));
  cluster.Signal("entry-0", SIGCONT);
  BOOST_REQUIRE(cluster.Wait([&] { return frozen->done && ahead->done; }));
  BOOST_TEST(HasText(*again, kWhole));
  BOOST_TEST(!HasText(*frozen, "not-run"));
  BOOST_TEST(cluster.Starts() == 3U);
}

// Every open connection to the agent is forgotten by something in between: no
// error, no bytes, while new ones work. Heartbeats stop, both ends drop it,
// and the answer goes on at its offset over a new connection.
BOOST_AUTO_TEST_CASE(ConnectionSilentForGood) {
  Cluster cluster({.entries = 1,
                   .agents = 1,
                   .step_ms = 20,
                   .relayed = true,
                   .entry_tuning = R"("server_patience_ms": 60000)"});
  const auto check = cluster.Ask(0, cluster.NewKey(), "check", 300, true);
  BOOST_REQUIRE(cluster.Wait([&] { return !check->stream.empty(); }));
  cluster.relay(0).ForgetOpen();
  BOOST_REQUIRE(cluster.Wait([&] { return check->done; }));
  BOOST_TEST(check->whole());
  BOOST_TEST(cluster.Starts() == 1U);
}

// The engine goes on but its streams bring nothing more. The agent reads them
// anew from the next event; the prompt is not computed a second time.
BOOST_AUTO_TEST_CASE(EngineStreamSilent) {
  Cluster cluster({.entries = 1,
                   .agents = 1,
                   .agent_tuning = R"("stream_silence_ms": 300)"});
  const auto check = cluster.Ask(0, cluster.NewKey(), "check", 200, true);
  BOOST_REQUIRE(cluster.Wait([&] { return !check->stream.empty(); }));
  cluster.Call(cluster.Engine(0), "POST", "/fault/silence");
  BOOST_REQUIRE(cluster.Wait([&] {
    const std::string log = cluster.Log("agent-0");
    return log.find("event=stream_resumed") != std::string::npos;
  }));
  cluster.Call(cluster.Engine(0), "POST", "/fault/up");
  BOOST_REQUIRE(cluster.Wait([&] { return check->done; }));
  BOOST_TEST(check->whole());
  BOOST_TEST(cluster.Starts() == 1U);
}

// One of two engines is slowed tenfold. Checks still come back whole, and
// most go to the other engine once the slow one has its slots full.
BOOST_AUTO_TEST_CASE(EngineSlowedTenfold) {
  Cluster cluster({.entries = 1, .agents = 2});
  cluster.Call(cluster.Engine(0), "POST", "/fault/speed?factor=0.1");
  std::vector<std::shared_ptr<Exchange>> checks;
  checks.reserve(60);
  for (int i = 0; i < 60; ++i) {
    checks.push_back(cluster.Ask(0, cluster.NewKey(), "check", 10));
  }
  for (const auto& check : checks) {
    BOOST_REQUIRE(cluster.Wait([&] { return check->done; }));
    BOOST_TEST(check->result.status == 200);
  }
  BOOST_TEST(cluster.Starts() == 60U);
}

// A whole data centre is stopped in order while it is under load. Its entry
// and agent tell the others at once, take nothing new, finish what runs and
// give back what waits: every caller, also of the stopped entry, gets its
// whole answer. A request that reaches the entry only after the stop is refused
// as not run, and sent to the other with the same key.
BOOST_AUTO_TEST_CASE(DataCentreStoppedUnderLoad) {
  Cluster cluster({.entries = 2, .agents = 2, .step_ms = 10});
  std::vector<std::string> keys;
  std::vector<std::shared_ptr<Exchange>> checks;
  for (int i = 0; i < 40; ++i) {
    keys.push_back(cluster.NewKey());
    checks.push_back(cluster.Ask(i % 2, keys[i], "check", 40, i % 3 == 0));
  }
  BOOST_REQUIRE(cluster.Wait([&] { return cluster.Starts() > 8; }));
  cluster.Signal("entry-1", SIGTERM);
  cluster.Signal("agent-1", SIGTERM);
  for (int i = 0; i < 40; ++i) {
    BOOST_REQUIRE(cluster.Wait([&] { return checks[i]->done; }));
    const HttpResult& result = checks[i]->result;
    const bool came_late =
        result.kind == HttpResult::Kind::kNotSent ||
        (result.status == 503 &&
         result.body.find("\"name\":\"leaving\"") != std::string::npos);
    if (came_late) {
      checks[i] = cluster.Ask(0, keys[i], "check", 40, i % 3 == 0);
      BOOST_REQUIRE(cluster.Wait([&] { return checks[i]->done; }));
    }
    BOOST_TEST(checks[i]->whole(),
               i << " kind " << static_cast<int>(checks[i]->result.kind)
                 << " status " << checks[i]->result.status << " "
                 << checks[i]->result.body << checks[i]->stream);
  }
  BOOST_TEST(cluster.Join("entry-1") == 0);
  BOOST_TEST(cluster.Join("agent-1") == 0);
  BOOST_TEST(cluster.Starts() == 40U);
  BOOST_TEST(cluster.Call(cluster.Entry(0), "GET", "/readyz").status == 200);
}

// Ten times what the servers hold arrives at once, checks and lookups mixed.
// Every check is answered; lookups are answered or refused with a number, and
// nobody is left without an outcome.
BOOST_AUTO_TEST_CASE(BurstOfTenTimesTheLoad) {
  Cluster cluster(
      {.entries = 2, .agents = 2, .entry_tuning = R"("max_waiting": 60)"});
  std::vector<std::shared_ptr<Exchange>> checks;
  std::vector<std::shared_ptr<Exchange>> lookups;
  for (int i = 0; i < 200; ++i) {
    auto& list = i % 4 == 0 ? checks : lookups;
    list.push_back(cluster.Ask(i % 2, cluster.NewKey(),
                               i % 4 == 0 ? "check" : "lookup", 10));
  }
  for (const auto& check : checks) {
    BOOST_REQUIRE(cluster.Wait([&] { return check->done; }));
    BOOST_TEST(check->result.status == 200);
  }
  size_t refused = 0;
  for (const auto& lookup : lookups) {
    BOOST_REQUIRE(cluster.Wait([&] { return lookup->done; }));
    const int status = lookup->result.status;
    BOOST_TEST((status == 200 || status == 503));
    refused += status == 503;
  }
  BOOST_TEST(refused > 0U);
}

// Two at once: the platform is down when an entry is killed. The retry needs
// neither of them.
BOOST_AUTO_TEST_CASE(EntryKilledWhilePlatformIsDown) {
  Cluster cluster({.step_ms = 20});
  cluster.Call(cluster.Platform(), "POST", "/fault/outage");
  const std::string key = cluster.NewKey();
  const auto first = cluster.Ask(0, key, "check", 60, true);
  BOOST_REQUIRE(cluster.Wait([&] { return !first->stream.empty(); }));
  cluster.Signal("entry-0", SIGKILL);
  const auto again = cluster.Ask(1, key, "check", 60, true);
  BOOST_REQUIRE(cluster.Wait([&] { return again->done; }));
  BOOST_TEST(again->whole());
  BOOST_TEST(cluster.Starts() == 1U);
}

// One of three entries is killed and not replaced. Callers bring new keys to
// the other two, right away and once the loss is judged. Two keys in three have
// the dead entry among their holders; the platform decides those, so that each
// is answered, and each once.
BOOST_AUTO_TEST_CASE(NewKeysAfterAnEntryIsKilledForGood) {
  constexpr size_t kKeys = 80;
  Cluster cluster({.entries = 3, .agents = 2});
  cluster.Signal("entry-1", SIGKILL);
  std::vector<std::shared_ptr<Exchange>> asked;
  const auto ask_all = [&] {
    for (size_t i = 0; i < kKeys; ++i) {
      asked.push_back(
          cluster.Ask(i % 2 == 0 ? 0 : 2, cluster.NewKey(), "check", 3));
    }
    BOOST_REQUIRE(cluster.Wait([&] {
      return std::ranges::all_of(asked, [](const auto& e) { return e->done; });
    }));
  };
  ask_all();
  BOOST_REQUIRE(cluster.Wait([&] {
    return cluster.Log("entry-0").find("event=peer_lost") != std::string::npos;
  }));
  ask_all();
  for (const auto& exchange : asked) {
    BOOST_TEST(exchange->result.status == 200);
  }
  BOOST_TEST(cluster.Starts() == 2 * kKeys);
}

}  // namespace lavenderkeel::test
