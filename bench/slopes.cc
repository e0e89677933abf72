// Measures how state, messages, bytes, processor time and memory of the
// daemons' components grow with the sizes of a fleet. Prints JSON on standard
// output, which scripts/capacity-tables turns into the tables of
// docs/CAPACITY.md.
#include <malloc.h>
#include <sys/resource.h>

#include <boost/json.hpp>
#include <functional>
#include <iostream>
#include <memory>

#include "bench/fitted_line.h"
#include "lavenderkeel/dispatch.h"
#include "lavenderkeel/fairness.h"
#include "lavenderkeel/forward.h"
#include "lavenderkeel/gate.h"
#include "lavenderkeel/overload.h"
#include "lavenderkeel/rates.h"
#include "lavenderkeel/wire.h"
#include "test/fuzz/simulation.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel::bench {

namespace {

namespace json = boost::json;
using fuzz::Simulation;
using fuzz::VirtualClock;

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

/// Returns the user time of this process in microseconds.
double UserMicroseconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec) * 1e6 +
         static_cast<double>(usage.ru_utime.tv_usec);
}

using Measure = std::function<double(size_t size)>;

FittedLine MeasureLine(const std::string& name,
                       const std::string& per,
                       const std::string& unit,
                       const std::vector<size_t>& sizes,
                       const Measure& measure) {
  FittedLine line{
      .name = name, .per = per, .unit = unit, .sizes = {}, .values = {}};
  for (const size_t size : sizes) {
    line.sizes.push_back(static_cast<double>(size));
    line.values.push_back(measure(size));
  }
  Fit(line);
  std::cerr << name << ": " << line.slope << " " << unit << " per " << per
            << ", residual " << line.residual << "\n";
  return line;
}

std::vector<RequestKey> MakeKeys(size_t count) {
  std::mt19937_64 random(1);
  std::vector<RequestKey> keys;
  keys.reserve(count);
  const VirtualClock clock;
  for (size_t i = 0; i < count; ++i) {
    keys.push_back(RequestKey::Mint(clock.WallNow(), random));
  }
  return keys;
}

Claim SampleClaim() {
  Claim claim{.owner = {.instance = "entry-govan-001", .incarnation = 1},
              .body_hash = 7,
              .agents = {}};
  for (int i = 0; i < 4; ++i) {
    claim.agents.push_back(
        {.instance = "agent-govan-00" + std::to_string(i), .incarnation = 9});
  }
  return claim;
}

double ClaimBytes(size_t count) {
  const VirtualClock clock;
  ClaimTable table({}, clock, [](const RequestKey&) { return true; });
  const std::vector<RequestKey> keys = MakeKeys(count);
  const double before = HeapBytes();
  for (const RequestKey& key : keys) {
    table.Request(key, SampleClaim(), {});
  }
  return HeapBytes() - before;
}

double ClaimTime(size_t count) {
  const VirtualClock clock;
  ClaimTable table({}, clock, [](const RequestKey&) { return true; });
  const std::vector<RequestKey> keys = MakeKeys(count);
  const double before = UserMicroseconds();
  for (const RequestKey& key : keys) {
    ClaimRequest request;
    request.key = ToWire(key);
    WriteClaim(SampleClaim(), request);
    const std::string frame = EncodeFrame(request);
    const std::vector<uint8_t> bytes(frame.begin(), frame.end());
    const auto message = Catch([&] { return DecodeFrame(bytes); });
    const auto& read = std::get<ClaimRequest>(*message.value);
    table.Request(FromWire(read.key), ReadClaim(read), {});
  }
  return UserMicroseconds() - before;
}

/// Returns the bytes sent for the claims of `count` requests, to both holders
/// and back.
double ClaimWireBytes(size_t count) {
  size_t bytes = 0;
  for (const RequestKey& key : MakeKeys(count)) {
    ClaimRequest request;
    request.key = ToWire(key);
    WriteClaim(SampleClaim(), request);
    ClaimReply reply;
    reply.key = request.key;
    reply.granted = true;
    bytes += HolderRanking::kHolders *
             (EncodeFrame(request).size() + EncodeFrame(reply).size());
  }
  return static_cast<double>(bytes);
}

std::string TeamsDocument(size_t teams) {
  ConfigDocument document;
  document.base.tiers = {{.name = "collection", .rank = 0}};
  document.base.work = {{.name = "check", .tier = "collection"}};
  document.base.presets = {{.name = "ordinary"}};
  document.base.initial_preset = "ordinary";
  for (size_t i = 0; i < teams; ++i) {
    const std::string name = "team-" + std::to_string(i);
    document.teams.push_back({.name = name,
                              .key_sha256 = Sha256Hex(name),
                              .work = {"check"},
                              .limits = {.running = 40, .waiting = 400}});
  }
  return ToJson(document);
}

/// A configuration store with a document of the given number of teams in force.
struct LoadedStore {
  EventLog log;
  ConfigStore store{log};
  ShardedConfig sharded;
  ConfigHead head;

  explicit LoadedStore(size_t teams) {
    const std::string text = TeamsDocument(teams);
    const auto document = Catch([&] { return ParseConfigDocument(text); });
    sharded = SplitIntoShards(*document.value);
    head.version = 1;
    head.preset = "ordinary";
    head.base = sharded.base.name;
    for (const ConfigShard& shard : sharded.teams) {
      head.teams.push_back(shard.name);
    }
    Load();
  }
  void Load() {
    store.OfferHead(head);
    store.AddShard(sharded.base.name, sharded.base.body);
    for (const ConfigShard& shard : sharded.teams) {
      store.AddShard(shard.name, shard.body);
    }
  }
};

double TeamBytes(size_t teams) {
  const double before = HeapBytes();
  const auto loaded = std::make_unique<LoadedStore>(teams);
  loaded->sharded = {};
  malloc_trim(0);
  return HeapBytes() - before;
}

double TeamLookupTime(size_t teams) {
  const LoadedStore loaded(teams);
  constexpr size_t kLookups = 200'000;
  std::vector<std::string> hashes;
  for (size_t i = 0; i < 1000; ++i) {
    hashes.push_back(Sha256Hex("team-" + std::to_string(i % teams)));
  }
  size_t found = 0;
  const double before = UserMicroseconds();
  for (size_t i = 0; i < kLookups; ++i) {
    found +=
        loaded.store.current()->FindTeamByKeyHash(hashes[i % 1000]) != nullptr;
  }
  return found == kLookups ? (UserMicroseconds() - before) / kLookups : -1;
}

/// Returns the time of a decision by rank, with demand of every team here and
/// at 16 other entries.
double RateDecisionTime(size_t teams) {
  RankedRates rates({});
  TimePoint now = TimePoint(std::chrono::hours(1));
  const RankedRates::Bucket bucket = {.level = 5, .capacity = 20, .refill = 40};
  const auto decide = [&](size_t i) {
    rates.Decide({.team = i % teams,
                  .rank = static_cast<int>(i % 3),
                  .id_hash = i,
                  .deadline = now + std::chrono::seconds(10),
                  .max_wait = std::chrono::seconds(3)},
                 bucket, 16, now);
  };
  for (size_t i = 0; i < teams; ++i) {
    decide(i);
  }
  for (int entry = 0; entry < 16; ++entry) {
    DemandTotals totals;
    for (size_t team = 0; team < teams; ++team) {
      totals.push_back({.team = team, .rank = 0, .units = 1});
    }
    rates.OnTotals("entry-" + std::to_string(entry), totals, now);
  }
  constexpr size_t kDecisions = 400'000;
  const double before = UserMicroseconds();
  for (size_t i = 0; i < kDecisions; ++i) {
    now += std::chrono::microseconds(10);
    decide(i * 7919);
  }
  return (UserMicroseconds() - before) / kDecisions;
}

double ChangeTime(size_t teams) {
  LoadedStore loaded(teams);
  constexpr int kChanges = 50;
  const double before = UserMicroseconds();
  for (int i = 0; i < kChanges; ++i) {
    ++loaded.head.version;
    loaded.store.OfferHead(loaded.head);
  }
  return (UserMicroseconds() - before) / kChanges;
}

/// Returns the bytes that one changed team sends to one entry: the head and a
/// shard.
double ChangeBytes(size_t teams) {
  const LoadedStore loaded(teams);
  ConfigHead head = loaded.head;
  head.recent.assign(ConfigHead::kRecentChanges,
                     "entry-govan-001@1796234408507898-1234567890123456789");
  ConfigHeadNotice notice;
  notice.head = head.ToJson();
  ConfigShards shards;
  shards.names = {loaded.sharded.teams[0].name};
  shards.bodies = {loaded.sharded.teams[0].body};
  return static_cast<double>(EncodeFrame(notice).size() +
                             EncodeFrame(shards).size());
}

Reserve SampleReserve(const RequestKey& key) {
  Reserve reserve;
  reserve.key = ToWire(key);
  reserve.team = "health-board-1";
  reserve.prompt_tokens = 800;
  reserve.max_tokens = 200;
  reserve.deadline_ms = 1000;
  return reserve;
}

/// An agent with a link to one entry.
struct SingleAgent {
  VirtualClock clock;
  EventLog log;
  Metrics metrics;
  AgentNode node{
      {}, {.id = {"agent-1", 1}, .role = Role::kAgent}, clock, 1, log, metrics};

  SingleAgent() {
    node.Start("a:1");
    node.OnLinkUp(1, {.id = {"entry-1", 1}, .address = "e:1"}, "");
    node.outbox().Take();
  }
};

double ReservationBytes(size_t count) {
  SingleAgent agent;
  const std::vector<RequestKey> keys = MakeKeys(count);
  const double before = HeapBytes();
  for (const RequestKey& key : keys) {
    agent.node.OnMessage(1, SampleReserve(key));
    agent.node.outbox().Take();
  }
  return HeapBytes() - before;
}

double ReservationTime(size_t count) {
  SingleAgent agent;
  const std::vector<RequestKey> keys = MakeKeys(count);
  const double before = UserMicroseconds();
  for (const RequestKey& key : keys) {
    agent.node.OnMessage(1, SampleReserve(key));
  }
  for (const RequestKey& key : keys) {
    Withdraw withdraw;
    withdraw.key = ToWire(key);
    agent.node.OnMessage(1, withdraw);
    agent.node.outbox().Take();
  }
  return UserMicroseconds() - before;
}

double RememberedKeyBytes(size_t count) {
  RunTable table({});
  const std::vector<RequestKey> keys = MakeKeys(count);
  const double before = HeapBytes();
  for (const RequestKey& key : keys) {
    Run& run = table.Add(key, TimePoint());
    run.state = Run::State::kAnswerDropped;
    run.allowed = {.instance = "entry-govan-001", .incarnation = 1};
    run.reservation.team = "health-board-1";
    run.request_id = key.ToString() + ".1";
  }
  return HeapBytes() - before;
}

enum class FleetQuantity { kBytes, kMessages, kTime, kCalls };

/// Returns a quantity of an idle fleet, per second over a minute of virtual
/// time: the bytes or messages sent by the first entry, the platform calls of
/// all processes, or the mean processor time of a process.
double MeasureIdleFleet(size_t entries, size_t agents, FleetQuantity quantity) {
  Simulation simulation({.entries = entries, .agents = agents});
  constexpr double kSeconds = 60;
  const uint64_t bytes = simulation.bytes_sent(0);
  const uint64_t messages = simulation.messages_sent(0);
  const uint64_t calls = simulation.platform_calls();
  const double before = UserMicroseconds();
  simulation.RunFor(std::chrono::seconds(static_cast<int>(kSeconds)));
  switch (quantity) {
    case FleetQuantity::kBytes:
      return static_cast<double>(simulation.bytes_sent(0) - bytes) / kSeconds;
    case FleetQuantity::kMessages:
      return static_cast<double>(simulation.messages_sent(0) - messages) /
             kSeconds;
    case FleetQuantity::kCalls:
      return static_cast<double>(simulation.platform_calls() - calls) /
             kSeconds;
    case FleetQuantity::kTime:
      return (UserMicroseconds() - before) / kSeconds /
             static_cast<double>(entries + agents);
  }
  return 0;
}

/// Queue in which requests of a number of teams wait, some of each.
struct FilledQueue {
  SlotQueue queue{{.fair_shares = true}};
  std::vector<QueuePosition> positions;

  FilledQueue(size_t requests, size_t teams) {
    positions.reserve(requests);
    for (size_t i = 0; i < requests; ++i) {
      positions.push_back({.sort_time = TimePoint(Duration(i * 7919 % 10'007)),
                           .attempt = {"entry-govan-001", i}});
      queue.Insert(positions[i], WorkOf(i, teams));
    }
  }
  static TeamWork WorkOf(size_t request, size_t teams) {
    return {.team = 1 + request % teams,
            .weight = 1 + static_cast<double>(request % 5),
            .units = 100 + static_cast<double>(request % 900)};
  }
};

/// Returns the time of two inserts, an erase, and a grant and its end while
/// `requests` requests of `teams` teams wait.
double QueueTime(size_t requests, size_t teams) {
  FilledQueue filled(requests, teams);
  constexpr size_t kRounds = 20'000;
  const double before = UserMicroseconds();
  for (size_t i = 0; i < kRounds; ++i) {
    const size_t erased = i * 31 % requests;
    const TeamWork work = FilledQueue::WorkOf(erased, teams);
    filled.queue.Erase(filled.positions[erased], work);
    filled.queue.Insert(filled.positions[erased], work);
    QueuePosition granted;
    {
      SlotQueue::Pass pass(filled.queue);
      granted = pass.Next().value();
      const SlotCharge charge = filled.queue.Grant(
          granted, FilledQueue::WorkOf(granted.attempt.second, teams));
      filled.queue.End(charge, /*ran=*/true);
    }
    filled.queue.Insert(granted,
                        FilledQueue::WorkOf(granted.attempt.second, teams));
  }
  return (UserMicroseconds() - before) / kRounds;
}

/// Returns the memory of a queue in which one request of each team waits.
double QueueBytes(size_t teams) {
  const double before = HeapBytes();
  FilledQueue filled(teams, teams);
  filled.positions = {};
  return HeapBytes() - before;
}

enum class RequestQuantity {
  kEntryBytes,
  kAgentBytes,
  kMessages,
  kTime,
  kMemory
};

/// Returns a quantity of `count` checks of ten tokens through one entry and two
/// agents.
double MeasureRequests(size_t count, RequestQuantity quantity) {
  Simulation simulation({.entries = 1, .agents = 2});
  simulation.RunFor(std::chrono::seconds(1));
  const uint64_t entry_bytes = simulation.bytes_sent(0);
  const uint64_t agent_bytes =
      simulation.bytes_sent(1) + simulation.bytes_sent(2);
  const uint64_t messages = simulation.messages_sent(0) +
                            simulation.messages_sent(1) +
                            simulation.messages_sent(2);
  const double before = UserMicroseconds();
  const double heap = HeapBytes();
  for (size_t i = 0; i < count; ++i) {
    simulation.Submit(0, simulation.NewKey(), "r" + std::to_string(i) + "x",
                      false, 10);
  }
  if (quantity == RequestQuantity::kMemory) {
    simulation.RunFor(std::chrono::milliseconds(20));
    return HeapBytes() - heap;
  }
  simulation.RunUntil([&] { return simulation.oracle().open_callers() == 0; },
                      std::chrono::hours(1));
  switch (quantity) {
    case RequestQuantity::kEntryBytes:
      return static_cast<double>(simulation.bytes_sent(0) - entry_bytes);
    case RequestQuantity::kAgentBytes:
      return static_cast<double>(simulation.bytes_sent(1) +
                                 simulation.bytes_sent(2) - agent_bytes);
    case RequestQuantity::kMessages:
      return static_cast<double>(simulation.messages_sent(0) +
                                 simulation.messages_sent(1) +
                                 simulation.messages_sent(2) - messages);
    default:
      return UserMicroseconds() - before;
  }
}

/// Returns the platform calls that `starts` restarts of an entry or an agent
/// add.
double RestartCalls(size_t starts, bool entry) {
  Simulation simulation({.entries = 3, .agents = 2});
  const size_t process = entry ? 2 : 3;
  const auto calls_of = [&](size_t count) {
    const uint64_t before = simulation.platform_calls();
    for (size_t i = 0; i < 8; ++i) {
      if (i < count) {
        simulation.Kill(process, false);
        simulation.Restart(process);
      }
      simulation.RunFor(std::chrono::seconds(3));
    }
    return static_cast<double>(simulation.platform_calls() - before);
  };
  const double calls_without_starts = calls_of(0);
  return calls_of(starts) - calls_without_starts;
}

/// Returns the time of a thousand decisions on early refusal, with a number of
/// waiting requests at a service whose servers are in a number of groups.
double EarlyDecisionTime(size_t waiting, size_t groups) {
  VirtualClock clock;
  const EventLog log;
  Metrics metrics;
  EarlyRefusal decisions({}, clock, log, metrics);
  const auto group_count = static_cast<uint32_t>(groups);
  for (int round = 0; round <= 10; ++round) {
    std::vector<SlotGroupReport> reports;
    for (uint32_t i = 0; i < group_count; ++i) {
      SlotGroupReport report = {.service_hash = HashBytes("service"),
                                .group = {.index = i, .count = group_count},
                                .waiting = static_cast<int>(waiting)};
      for (int rank = 0; rank < 3; ++rank) {
        report.ranks.push_back({.route_priority = rank,
                                .waiting = static_cast<int>(waiting / 3),
                                .granted = static_cast<uint64_t>(round) * 10});
      }
      reports.push_back(report);
    }
    decisions.OnReports("scheduler", reports);
    clock.Advance(std::chrono::milliseconds(round < 10 ? 100 : 0));
  }
  constexpr int kDecisions = 1000;
  const double before = UserMicroseconds();
  for (int i = 0; i < kDecisions; ++i) {
    decisions.Decide({.id = std::to_string(i),
                      .service = "service",
                      .rank = {.route_priority = i % 3},
                      .max_wait = std::chrono::seconds(1),
                      .time_left = std::chrono::seconds(9)});
  }
  return (UserMicroseconds() - before) / kDecisions;
}

/// Returns the time of a slot request, its grant and its end at a scheduler of
/// plain servers that are half full.
double GrantTime(size_t servers, bool server_probes) {
  VirtualClock clock;
  const EventLog log;
  ServerDirectory directory;
  ServerNotices notices({.self = "self"}, clock, log);
  for (size_t i = 0; i < servers; ++i) {
    directory.Apply(
        {.id = "server-" + std::to_string(i), .service = "plain", .slots = 4});
  }
  SlotScheduler scheduler({.placement = {.server_probes = server_probes}},
                          directory, notices, clock,
                          [](const std::string&, const SlotGrant&) {});
  const auto request = [&](AttemptId attempt) {
    scheduler.RequestSlot(
        "entry", {.attempt = attempt,
                  .service = "plain",
                  .in_time_until = clock.Now() + std::chrono::milliseconds(300),
                  .due = clock.Now() + std::chrono::seconds(10),
                  .repeatable = true});
  };
  // Half of the eight requests that a server of four slots may have.
  constexpr size_t kRequestsPerServer = 4;
  const AttemptId running = kRequestsPerServer * servers;
  AttemptId last = 0;
  while (last < running) {
    request(++last);
  }
  constexpr AttemptId kGrants = 4000;
  const double before = UserMicroseconds();
  for (AttemptId i = 0; i < kGrants; ++i) {
    clock.Advance(std::chrono::milliseconds(1));
    scheduler.ReleaseSlot("entry", last - running + 1,
                          {.kind = SlotResult::Kind::kAnswered, .pace_ms = 60});
    request(++last);
  }
  return (UserMicroseconds() - before) / kGrants;
}

json::object ToJson(const FittedLine& line) {
  return {{"name", line.name},
          {"per", line.per},
          {"unit", line.unit},
          {"sizes", json::value_from(line.sizes)},
          {"values", json::value_from(line.values)},
          {"slope", line.slope},
          {"intercept", line.intercept},
          {"residual", line.residual}};
}

std::vector<FittedLine> MeasureAll() {
  const std::vector<size_t> counts = {5'000, 10'000, 20'000, 40'000};
  const std::vector<size_t> teams = {1'250, 2'500, 5'000, 10'000};
  const std::vector<size_t> fleet_sizes = {2, 4, 8, 16};
  const std::vector<size_t> requests = {50, 100, 200, 400};
  const std::vector<size_t> starts = {1, 2, 4, 8};
  std::vector<FittedLine> lines;
  const auto add = [&lines](FittedLine line) {
    lines.push_back(std::move(line));
  };
  add(MeasureLine("claim_memory", "claim", "B", counts, ClaimBytes));
  add(MeasureLine("claim_time", "claim", "us", counts, ClaimTime));
  add(MeasureLine("claim_wire_bytes", "claim", "B", {50, 100, 200, 400},
                  ClaimWireBytes));
  add(MeasureLine("team_memory", "team", "B", teams, TeamBytes));
  add(MeasureLine("team_lookup_time", "team", "us", teams, TeamLookupTime));
  add(MeasureLine("rate_decision_time", "team", "us", teams, RateDecisionTime));
  add(MeasureLine("config_change_time", "team", "us", teams, ChangeTime));
  add(MeasureLine("config_change_bytes", "team", "B", teams, ChangeBytes));
  add(MeasureLine("reservation_memory", "reservation", "B", counts,
                  ReservationBytes));
  add(MeasureLine("reservation_time", "reservation", "us", counts,
                  ReservationTime));
  add(MeasureLine("remembered_key_memory", "key", "B", counts,
                  RememberedKeyBytes));
  add(MeasureLine(
      "entry_link_bytes", "entry", "B/s", fleet_sizes,
      [](size_t n) { return MeasureIdleFleet(n, 1, FleetQuantity::kBytes); }));
  add(MeasureLine(
      "agent_link_bytes", "agent", "B/s", fleet_sizes,
      [](size_t n) { return MeasureIdleFleet(1, n, FleetQuantity::kBytes); }));
  add(MeasureLine("agent_link_messages", "agent", "1/s", fleet_sizes,
                  [](size_t n) {
                    return MeasureIdleFleet(1, n, FleetQuantity::kMessages);
                  }));
  add(MeasureLine(
      "platform_calls_at_rest", "entry", "1/s", fleet_sizes,
      [](size_t n) { return MeasureIdleFleet(n, 1, FleetQuantity::kCalls); }));
  add(MeasureLine(
      "entry_rest_time", "entry", "us/s", fleet_sizes,
      [](size_t n) { return MeasureIdleFleet(n, 2, FleetQuantity::kTime); }));
  add(MeasureLine("request_entry_bytes", "request", "B", requests,
                  [](size_t n) {
                    return MeasureRequests(n, RequestQuantity::kEntryBytes);
                  }));
  add(MeasureLine("request_agent_bytes", "request", "B", requests,
                  [](size_t n) {
                    return MeasureRequests(n, RequestQuantity::kAgentBytes);
                  }));
  add(MeasureLine("request_messages", "request", "1", requests, [](size_t n) {
    return MeasureRequests(n, RequestQuantity::kMessages);
  }));
  add(MeasureLine("request_time", "request", "us", requests, [](size_t n) {
    return MeasureRequests(n, RequestQuantity::kTime);
  }));
  add(MeasureLine("waiting_memory", "request", "B", requests, [](size_t n) {
    return MeasureRequests(n, RequestQuantity::kMemory);
  }));
  add(MeasureLine("slot_queue_time_by_request", "request", "us", counts,
                  [](size_t n) { return QueueTime(n, 1'000); }));
  add(MeasureLine("slot_queue_time_by_team", "team", "us", teams,
                  [](size_t n) { return QueueTime(20'000, n); }));
  add(MeasureLine("slot_queue_memory", "team", "B", teams, QueueBytes));
  add(MeasureLine("early_decision_time", "waiting request", "us", counts,
                  [](size_t n) { return EarlyDecisionTime(n, 1); }));
  add(MeasureLine("early_decision_time_by_servers", "group of 16 servers", "us",
                  {2, 8, 32, 128},
                  [](size_t n) { return EarlyDecisionTime(1000, n); }));
  const std::vector<size_t> servers = {10, 20, 40, 80};
  add(MeasureLine("grant_time", "server", "us", servers,
                  [](size_t n) { return GrantTime(n, false); }));
  add(MeasureLine("grant_time_with_probes", "server", "us", servers,
                  [](size_t n) { return GrantTime(n, true); }));
  add(MeasureLine("entry_start_calls", "start", "1", starts,
                  [](size_t n) { return RestartCalls(n, true); }));
  add(MeasureLine("agent_start_calls", "start", "1", starts,
                  [](size_t n) { return RestartCalls(n, false); }));
  return lines;
}

}  // namespace

}  // namespace lavenderkeel::bench

int main() {
  boost::json::array array;
  for (const auto& line : lavenderkeel::bench::MeasureAll()) {
    array.push_back(lavenderkeel::bench::ToJson(line));
  }
  std::cout << boost::json::serialize(array) << "\n";
  return 0;
}
