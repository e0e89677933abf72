#include "test/fuzz/simulation.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "lavenderkeel/wire.h"
#include "test/fakes/unreadable_json.h"

namespace lavenderkeel::fuzz {

namespace json = boost::json;

namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kWatchPoll = std::chrono::milliseconds(100);
constexpr Duration kDialTimeout = std::chrono::seconds(1);
/// Limit of pending events of all processes, which detects an unbounded number
/// of messages. Far above the load of any test.
constexpr size_t kMaxPendingEvents = 50'000;
/// From the start of a crashing prompt to the crash of its engine.
constexpr Duration kCrashDelay = std::chrono::milliseconds(60);
/// From the crash to the restart of the engine.
constexpr Duration kCrashDowntime = std::chrono::seconds(3);
constexpr char kTeamKey[] = "team-key";
constexpr char kOperatorKey[] = "operator-key";

std::string ConfigText(const std::string& marker, uint32_t team_running) {
  json::object team{{"name", "board"},
                    {"key_sha256", Sha256Hex(kTeamKey)},
                    {"work", json::array{"check", "lookup"}}};
  if (team_running > 0) {
    team["limits"] = json::object{{"running", team_running}};
  }
  return json::serialize(json::object{
      {"tiers", json::array{json::object{{"name", "collection"},
                                         {"rank", 0},
                                         {"deadline_bound", true}},
                            json::object{{"name", "lookups"}, {"rank", 1}}}},
      {"work",
       json::array{
           json::object{{"name", "check"}, {"tier", "collection"}},
           json::object{
               {"name", "lookup"}, {"tier", "lookups"}, {"repeatable", true}}}},
      {"teams", json::array{std::move(team)}},
      {"presets", json::array{json::object{{"name", "ordinary"}},
                              json::object{{"name", "peak"}}}},
      {"initial_preset", "ordinary"},
      {"models", json::array{"m", marker}}});
}

}  // namespace

struct Simulation::Process {
  InstanceInfo info;
  std::unique_ptr<VirtualClock> clock;
  Metrics metrics;
  EventLog log;
  std::unique_ptr<EntryNode> entry;
  std::unique_ptr<AgentNode> agent;
  bool alive = false;
  bool leaving = false;
  TimePoint frozen_until;
  TimePoint leaving_since;
  uint64_t version = 0;
  uint64_t bytes_sent = 0;
  uint64_t messages_sent = 0;
  std::map<RunId, EngineStream> streams;

  Outbox& outbox() { return entry ? entry->outbox() : agent->outbox(); }
};

struct Simulation::PeerLink {
  size_t ends[2] = {};
  uint64_t incarnations[2] = {};
  bool open[2] = {true, true};
  bool stalled = false;
  TimePoint last_delivery[2];
};

struct Simulation::EngineStream {
  std::string request_id;
  size_t next = 0;
  bool stalled = false;
};

Simulation::Simulation(Options options)
    : options_(std::move(options)), random_(options_.seed) {
  options_.entry.operator_key_sha256 = Sha256Hex(kOperatorKey);
  next_tick_ = clock_.Now();
  for (size_t i = 0; i < options_.entries + options_.agents; ++i) {
    auto process = std::make_unique<Process>();
    const bool is_entry = i < options_.entries;
    process->info.id.instance =
        (is_entry ? "entry-" : "agent-") + std::to_string(i);
    process->info.role = is_entry ? Role::kEntry : Role::kAgent;
    process->info.data_centre = "govan";
    processes_.push_back(std::move(process));
  }
  for (size_t i = 0; i < options_.agents; ++i) {
    engines_.emplace_back();
    engine_up_at_.push_back(clock_.Now());
    turning_away_.emplace_back();
    garbled_until_.emplace_back();
    MakeEngine(i);
  }
  for (size_t i = 0; i < processes_.size(); ++i) {
    Restart(i);
  }
  RunFor(std::chrono::seconds(2));
  Apply(0, "first");
  RunUntil(
      [this] {
        for (size_t i = 0; i < options_.entries; ++i) {
          const auto agents = entry(i)->members().Members(Role::kAgent);
          const bool linked = std::ranges::all_of(
              agents, [](const Member* m) { return m->live(); });
          if (!entry(i)->IsReady() || agents.size() < options_.agents ||
              !linked) {
            return false;
          }
        }
        return true;
      },
      std::chrono::seconds(60));
  RunFor(std::chrono::seconds(1));
}

Simulation::~Simulation() = default;

void Simulation::MakeEngine(size_t agent) {
  engines_[agent] = std::make_unique<fakes::EngineCore>(
      fakes::EngineCore::Options{.step = std::chrono::milliseconds(40)});
  engines_[agent]->on_start = [this, agent](const std::string& prompt) {
    oracle_.OnStart(prompt);
    const Process& process = *processes_[options_.entries + agent];
    constexpr Duration kBound = std::chrono::seconds(3);
    if (process.leaving && clock_.Now() - process.leaving_since > kBound) {
      oracle_.AddViolation(process.info.id.instance +
                           " got work after leaving");
    }
    const bool has_text = !crashing_text_.empty() &&
                          prompt.find(crashing_text_) != std::string::npos;
    if (has_text ||
        crashing_words_.contains(prompt.substr(0, prompt.find(' ')))) {
      Schedule(clock_.Now() + kCrashDelay,
               [this, agent] { CrashEngine(agent, kCrashDowntime); });
    }
  };
}

void Simulation::CrashEngine(size_t agent, Duration down) {
  if (clock_.Now() < engine_up_at_[agent]) {
    return;
  }
  engine_up_at_[agent] = clock_.Now() + down;
  engine_crash_times_.push_back(clock_.Now());
  MakeEngine(agent);
  const size_t index = options_.entries + agent;
  for (const auto& [run, stream] : processes_[index]->streams) {
    ScheduleServerDisconnect(index, run, ServerDisconnect::kBroken);
  }
  processes_[index]->streams.clear();
}

void Simulation::TurnAway(size_t agent,
                          Duration duration,
                          const std::optional<std::string>& stated) {
  turning_away_[agent].until = clock_.Now() + duration;
  turning_away_[agent].stated = stated;
  turning_away_[agent].falsely = false;
}

void Simulation::TurnAwayFalsely(size_t agent, Duration duration) {
  TurnAway(agent, duration);
  turning_away_[agent].falsely = true;
}

void Simulation::GarbleStreams(size_t agent, Duration duration) {
  garbled_until_[agent] = clock_.Now() + duration;
}

void Simulation::ScheduleServerDisconnect(size_t index,
                                          RunId run,
                                          ServerDisconnect disconnect) {
  ScheduleIn(index, clock_.Now() + Delay(), [this, index, run, disconnect] {
    processes_[index]->agent->gate().server().OnServerDisconnect(run,
                                                                 disconnect);
  });
}

uint64_t Simulation::bytes_sent(size_t process) const {
  return processes_[process]->bytes_sent;
}

uint64_t Simulation::messages_sent(size_t process) const {
  return processes_[process]->messages_sent;
}

bool Simulation::alive(size_t process) const {
  return processes_[process]->alive;
}

EntryNode* Simulation::entry(size_t index) {
  return processes_[index]->entry.get();
}

AgentNode* Simulation::agent(size_t index) {
  return processes_[options_.entries + index]->agent.get();
}

fakes::EngineCore& Simulation::engine(size_t agent) {
  return *engines_[agent];
}

Duration Simulation::Delay() {
  return Duration(500 + static_cast<int64_t>(random_() % 3000));
}

void Simulation::Schedule(TimePoint when, std::function<void()> task) {
  queue_[{when, ++last_event_}] = std::move(task);
}

void Simulation::ScheduleIn(size_t index,
                            TimePoint when,
                            std::function<void()> task) {
  Schedule(when,
           [this, index, incarnation = processes_[index]->info.id.incarnation,
            task = std::move(task)]() mutable {
             Process& process = *processes_[index];
             if (!process.alive || process.info.id.incarnation != incarnation) {
               return;
             }
             if (process.frozen_until > clock_.Now()) {
               ScheduleIn(index, process.frozen_until, std::move(task));
               return;
             }
             task();
             ExecuteActions(index);
           });
}

void Simulation::RunFor(Duration duration) {
  const TimePoint end = clock_.Now() + duration;
  RunUntil([this, end] { return clock_.Now() >= end; }, duration);
}

bool Simulation::RunUntil(const std::function<bool()>& condition,
                          Duration timeout) {
  const TimePoint end = clock_.Now() + timeout;
  while (!condition()) {
    if (clock_.Now() >= end) {
      return false;
    }
    if (queue_.size() > kMaxPendingEvents) {
      oracle_.AddViolation("unbounded number of messages");
      return false;
    }
    const bool event_first =
        !queue_.empty() && queue_.begin()->first.first <= next_tick_;
    if (event_first) {
      auto node = queue_.extract(queue_.begin());
      clock_.Set(std::max(clock_.Now(), node.key().first));
      node.mapped()();
      continue;
    }
    clock_.Set(next_tick_);
    next_tick_ += kTick;
    TickAll();
  }
  return true;
}

void Simulation::TickAll() {
  for (const auto& engine : engines_) {
    engine->Advance(clock_.Now());
  }
  for (size_t i = 0; i < processes_.size(); ++i) {
    Process& process = *processes_[i];
    if (!process.alive || process.frozen_until > clock_.Now()) {
      continue;
    }
    if (process.entry) {
      process.entry->Tick();
      CheckVersions(i);
    } else {
      DeliverStreamEvents(i);
      process.agent->Tick();
    }
    ExecuteActions(i);
    const bool done =
        process.leaving &&
        (process.entry ? process.entry->CanExit() : process.agent->CanExit());
    if (done) {
      Kill(i, /*silently=*/false);
    }
  }
}

void Simulation::CheckVersions(size_t index) {
  Process& process = *processes_[index];
  const uint64_t version = process.entry->config().version();
  if (version < process.version) {
    oracle_.AddViolation(process.info.id.instance + " went back from version " +
                         std::to_string(process.version));
  }
  process.version = version;
}

EventLog Simulation::LogOf(size_t index) {
  if (!options_.log) {
    return {};
  }
  return EventLog([this, index](LogLevel, const std::string& line) {
    const Duration now = clock_.Now().time_since_epoch();
    options_.log(std::to_string(ToMilliseconds(now)) + " " +
                 processes_[index]->info.id.ToString() + " " + line);
  });
}

void Simulation::Restart(size_t index) {
  Process& process = *processes_[index];
  process.info.id.incarnation = ++last_incarnation_;
  process.info.address =
      process.info.id.instance + ":" + std::to_string(last_incarnation_);
  constexpr int64_t kMaxSkewMs = 300;
  const Duration skew = std::chrono::milliseconds(
      static_cast<int64_t>(random_() % (2 * kMaxSkewMs)) - kMaxSkewMs);
  process.clock = std::make_unique<VirtualClock>(&clock_, skew);
  process.log = LogOf(index);
  process.entry.reset();
  process.agent.reset();
  process.streams.clear();
  process.version = 0;
  process.leaving = false;
  process.frozen_until = {};
  process.alive = true;
  if (process.info.role == Role::kEntry) {
    process.entry = std::make_unique<EntryNode>(options_.entry, process.info,
                                                *process.clock, random_(),
                                                process.log, process.metrics);
    process.entry->Start(process.info.address);
  } else {
    process.agent = std::make_unique<AgentNode>(options_.agent, process.info,
                                                *process.clock, random_(),
                                                process.log, process.metrics);
    process.agent->Start(process.info.address);
  }
  ExecuteActions(index);
}

void Simulation::Kill(size_t index, bool silently) {
  Process& process = *processes_[index];
  if (!process.alive) {
    return;
  }
  process.alive = false;
  for (auto& [id, link] : links_) {
    for (const int end : {0, 1}) {
      if (link->ends[end] == index && link->open[end]) {
        link->stalled |= silently;
        CloseLinkFrom(index, id);
      }
    }
  }
  std::vector<CallerId> disconnected;
  for (const auto& [caller, at] : process_by_caller_) {
    if (at == index) {
      disconnected.push_back(caller);
    }
  }
  for (const CallerId caller : disconnected) {
    process_by_caller_.erase(caller);
    oracle_.OnDisconnect(caller);
  }
}

void Simulation::Freeze(size_t index, Duration duration) {
  Process& process = *processes_[index];
  process.frozen_until =
      std::max(process.frozen_until, clock_.Now() + duration);
}

void Simulation::Leave(size_t index) {
  Process& process = *processes_[index];
  if (!process.alive || process.leaving) {
    return;
  }
  ScheduleIn(index, clock_.Now(), [this, index] {
    Process& leaving_process = *processes_[index];
    leaving_process.leaving = true;
    leaving_process.leaving_since = clock_.Now();
    if (leaving_process.entry) {
      leaving_process.entry->Leave();
    } else {
      leaving_process.agent->Leave();
    }
  });
}

void Simulation::StallLinks(size_t a, size_t b) {
  for (auto& [id, link] : links_) {
    const bool joins = (link->ends[0] == a && link->ends[1] == b) ||
                       (link->ends[0] == b && link->ends[1] == a);
    link->stalled |= joins;
  }
}

void Simulation::Partition(size_t a, size_t b) {
  partitions_.insert(std::minmax(a, b));
  StallLinks(a, b);
}

void Simulation::ListUnreadable(size_t index) {
  const std::vector<std::string> values = fakes::UnreadableValues();
  // Names before and after those of the processes.
  const std::string name = (index % 2 == 0 ? "0" : "~") + std::to_string(index);
  platform_.Put("instances/" + name, values[index % values.size()]);
}

void Simulation::Heal() {
  partitions_.clear();
  platform_.set_mode(fakes::PlatformCore::Mode::kUp);
  platform_delay_ = std::chrono::milliseconds(5);
}

void Simulation::ExecuteActions(size_t index) {
  Process& process = *processes_[index];
  for (auto actions = process.outbox().Take(); !actions.empty();
       actions = process.outbox().Take()) {
    for (Action& action : actions) {
      if (auto* send = std::get_if<SendMessage>(&action)) {
        Execute(index, *send);
      } else if (const auto* close = std::get_if<CloseLink>(&action)) {
        CloseLinkFrom(index, close->link);
      } else if (const auto* dial = std::get_if<Dial>(&action)) {
        Execute(index, *dial);
      } else if (const auto* call = std::get_if<PlatformCall>(&action)) {
        ++platform_calls_;
        Execute(index, *call,
                clock_.Now() +
                    std::chrono::milliseconds(call->wait_ms.value_or(0)));
      } else if (const auto* complete = std::get_if<ReplyComplete>(&action)) {
        process_by_caller_.erase(complete->caller);
        if (operator_replies_.contains(complete->caller)) {
          operator_replies_[complete->caller] = complete->status;
        } else {
          oracle_.OnReply(*complete);
        }
      } else if (const auto* head = std::get_if<ReplyHead>(&action)) {
        oracle_.OnReply(*head);
      } else if (const auto* chunk = std::get_if<ReplyChunk>(&action)) {
        oracle_.OnReply(*chunk);
        ScheduleIn(index, clock_.Now() + Delay(),
                   [this, index, id = chunk->caller] {
                     processes_[index]->entry->OnCallerDrained(id);
                   });
      } else if (const auto* end = std::get_if<ReplyEnd>(&action)) {
        process_by_caller_.erase(end->caller);
        oracle_.OnReply(*end);
      } else if (const auto* abort = std::get_if<ReplyAbort>(&action)) {
        process_by_caller_.erase(abort->caller);
        oracle_.OnReply(*abort);
      } else {
        ExecuteServerAction(index, action);
      }
    }
  }
}

void Simulation::Execute(size_t index, SendMessage& send) {
  const auto found = links_.find(send.link);
  if (found == links_.end()) {
    return;
  }
  PeerLink& link = *found->second;
  const int from = link.ends[0] == index ? 0 : 1;
  const int to = 1 - from;
  if (!link.open[from] || link.stalled) {
    return;
  }
  // Encodes and decodes the message, as between real processes.
  const std::string frame = EncodeFrame(send.message);
  const std::vector<uint8_t> bytes(frame.begin(), frame.end());
  processes_[index]->bytes_sent += frame.size();
  ++processes_[index]->messages_sent;
  auto message = Catch([&] { return DecodeFrame(bytes); });
  const TimePoint when =
      std::max(link.last_delivery[to], clock_.Now() + Delay());
  link.last_delivery[to] = when;
  const size_t target = link.ends[to];
  ScheduleIn(target, when,
             [this, target, id = send.link, to,
              shared = std::make_shared<Message>(*std::move(message.value))] {
               const auto position = links_.find(id);
               if (position == links_.end() || !position->second->open[to] ||
                   position->second->stalled) {
                 return;
               }
               Process& process = *processes_[target];
               if (process.entry) {
                 process.entry->OnMessage(id, *shared);
               } else {
                 process.agent->OnMessage(id, *shared);
               }
             });
}

void Simulation::CloseLinkFrom(size_t index, LinkId id) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return;
  }
  PeerLink& link = *found->second;
  const int from = link.ends[0] == index ? 0 : 1;
  const int to = 1 - from;
  link.open[from] = false;
  if (!link.open[to] || link.stalled) {
    return;
  }
  const size_t target = link.ends[to];
  const TimePoint when =
      std::max(link.last_delivery[to], clock_.Now() + Delay());
  ScheduleIn(target, when, [this, target, id, to] {
    PeerLink& closed = *links_.at(id);
    if (!closed.open[to] || closed.stalled) {
      return;
    }
    closed.open[to] = false;
    Process& process = *processes_[target];
    if (process.entry) {
      process.entry->OnLinkDown(id);
    } else {
      process.agent->OnLinkDown(id);
    }
  });
}

void Simulation::Execute(size_t index, const Dial& dial) {
  size_t target = processes_.size();
  for (size_t i = 0; i < processes_.size(); ++i) {
    if (processes_[i]->alive && processes_[i]->info.address == dial.address) {
      target = i;
    }
  }
  const bool reachable = target < processes_.size() &&
                         !partitions_.contains(std::minmax(index, target)) &&
                         processes_[target]->frozen_until <= clock_.Now();
  if (!reachable) {
    ScheduleIn(index, clock_.Now() + kDialTimeout,
               [this, index, to = dial.address] {
                 Process& process = *processes_[index];
                 if (process.entry) {
                   process.entry->OnDialFailed(to);
                 } else {
                   process.agent->OnDialFailed(to);
                 }
               });
    return;
  }
  LinkUp(index, target, dial.address);
}

InstanceInfo Simulation::HandshakeInfo(size_t index) const {
  const Process& process = *processes_[index];
  InstanceInfo info = process.info;
  info.no_claims = process.entry && process.entry->members().self().no_claims;
  return info;
}

void Simulation::LinkUp(size_t from, size_t to, const std::string& address) {
  const LinkId id = ++last_link_;
  auto link = std::make_unique<PeerLink>();
  link->ends[0] = from;
  link->ends[1] = to;
  const TimePoint when = clock_.Now() + Delay();
  link->last_delivery[0] = when;
  link->last_delivery[1] = when;
  links_[id] = std::move(link);
  const auto up = [this, id](size_t at, const InstanceInfo& peer,
                             const std::string& dialed) {
    Process& process = *processes_[at];
    if (process.entry) {
      if (!process.entry->OnLinkUp(id, peer, dialed) && !dialed.empty()) {
        process.entry->OnDialFailed(dialed);
      }
    } else {
      process.agent->OnLinkUp(id, peer, dialed);
    }
  };
  ScheduleIn(to, when,
             [up, to, peer = HandshakeInfo(from)] { up(to, peer, ""); });
  ScheduleIn(from, when, [up, from, peer = HandshakeInfo(to), address] {
    up(from, peer, address);
  });
}

void Simulation::Execute(size_t index,
                         const PlatformCall& call,
                         TimePoint watch_until) {
  const Duration delay = platform_delay_ + Delay();
  const uint64_t incarnation = processes_[index]->info.id.incarnation;
  Schedule(clock_.Now() + delay, [this, index, call, watch_until, delay,
                                  incarnation] {
    // The call takes effect even if the calling process has ended meanwhile.
    const PlatformReply reply = platform_.Handle(call);
    if (processes_[index]->info.id.incarnation != incarnation) {
      return;
    }
    const bool keep_waiting = reply.status == 304 && clock_.Now() < watch_until;
    if (keep_waiting) {
      ScheduleIn(index, clock_.Now() + kWatchPoll,
                 [this, index, call, watch_until] {
                   Execute(index, call, watch_until);
                 });
      return;
    }
    // A slow platform executes the call, but its answer arrives after the
    // caller's timeout.
    const bool late = 2 * delay > kCallTimeout && !call.wait_ms.has_value();
    ScheduleIn(index, clock_.Now() + delay, [this, index, call, reply, late] {
      ReplyToPlatformCall(index, call.call, late ? PlatformReply() : reply);
    });
  });
}

void Simulation::ReplyToPlatformCall(size_t index,
                                     PlatformCallId call,
                                     const PlatformReply& reply) {
  Process& process = *processes_[index];
  if (process.entry) {
    process.entry->OnPlatformReply(call, reply);
  } else {
    process.agent->OnPlatformReply(call, reply);
  }
}

std::string Simulation::StartAtEngine(fakes::EngineCore& engine,
                                      const ServerStart& start) {
  const json::value body = json::parse(start.body);
  std::string id(body.at("request_id").as_string());
  engine.Start(id, std::string(body.at("prompt").as_string()),
               body.at("max_tokens").to_number<uint32_t>());
  return id;
}

void Simulation::ExecuteServerAction(size_t index, const Action& action) {
  Process& process = *processes_[index];
  fakes::EngineCore& engine = *engines_[index - options_.entries];
  const bool down = clock_.Now() < engine_up_at_[index - options_.entries];
  const auto* started = std::get_if<ServerStart>(&action);
  const auto* resumed = std::get_if<ServerResume>(&action);
  if (down && (started != nullptr || resumed != nullptr)) {
    ScheduleServerDisconnect(index,
                             started != nullptr ? started->run : resumed->run,
                             ServerDisconnect::kUnreachable);
    return;
  }
  TurningAway& turning_away = turning_away_[index - options_.entries];
  if (started != nullptr && clock_.Now() < turning_away.until) {
    ++turning_away.count;
    if (turning_away.falsely) {
      StartAtEngine(engine, *started);
    }
    const std::string retry_after = turning_away.stated.value_or(
        std::to_string(ToSeconds(turning_away.until - clock_.Now())));
    ScheduleIn(index, clock_.Now() + Delay(),
               [this, index, run = started->run, retry_after] {
                 processes_[index]->agent->gate().server().OnServerPushback(
                     run, {retry_after});
               });
    return;
  }
  if (resumed != nullptr && engine.Find(resumed->request_id) == nullptr) {
    ScheduleServerDisconnect(index, resumed->run, ServerDisconnect::kRefused);
    return;
  }
  if (const auto* start = std::get_if<ServerStart>(&action)) {
    process.streams[start->run] = {.request_id = StartAtEngine(engine, *start)};
  } else if (const auto* resume = std::get_if<ServerResume>(&action)) {
    process.streams[resume->run] = {.request_id = resume->request_id,
                                    .next = resume->from};
  } else if (const auto* cancel = std::get_if<ServerCancel>(&action)) {
    process.streams.erase(cancel->run);
    const bool known = engine.Cancel(cancel->request_id) != "unknown";
    const CancelResult result = down    ? CancelResult::kNoAnswer
                                : known ? CancelResult::kKnown
                                        : CancelResult::kUnknown;
    ScheduleIn(index, clock_.Now() + Delay(),
               [this, index, run = cancel->run, result] {
                 processes_[index]->agent->gate().server().OnServerCancelled(
                     run, result);
               });
  }
}

void Simulation::DeliverStreamEvents(size_t index) {
  Process& process = *processes_[index];
  const fakes::EngineCore& engine = *engines_[index - options_.entries];
  std::vector<RunId> ended;
  for (auto& [run, stream] : process.streams) {
    const fakes::EngineCore::Stream* source = engine.Find(stream.request_id);
    if (stream.stalled || source == nullptr) {
      continue;
    }
    for (; stream.next < source->events.size(); ++stream.next) {
      if (clock_.Now() < garbled_until_[index - options_.entries]) {
        stream.stalled = true;
        process.agent->gate().server().OnServerDisconnect(
            run, ServerDisconnect::kUnreadable);
        break;
      }
      const std::string& event = source->events[stream.next];
      const json::value value = json::parse(event);
      if (value.as_object().contains("finish_reason")) {
        process.agent->gate().server().OnServerFinish(run, event);
        ended.push_back(run);
      } else {
        process.agent->gate().server().OnServerText(
            run, stream.next, std::string(value.at("text").as_string()));
      }
    }
  }
  for (const RunId run : ended) {
    process.streams.erase(run);
  }
}

void Simulation::BreakServerStreams(size_t agent, bool silently) {
  const size_t index = options_.entries + agent;
  Process& process = *processes_[index];
  if (!process.alive) {
    return;
  }
  for (auto& [run, stream] : process.streams) {
    stream.stalled = true;
    if (!silently) {
      ScheduleIn(index, clock_.Now(), [this, index, id = run] {
        processes_[index]->agent->gate().server().OnServerDisconnect(
            id, ServerDisconnect::kBroken);
      });
    }
  }
}

std::string Simulation::NewKey() {
  return RequestKey::Mint(clock_.WallNow(), random_).ToString();
}

CallerRequest Simulation::MakeRequest(const std::string& key) const {
  CallerRequest request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.bearer = kTeamKey;
  request.idempotency_key = key;
  return request;
}

CallerId Simulation::Submit(size_t index,
                            const std::string& key,
                            const std::string& word,
                            bool repeatable,
                            uint32_t tokens,
                            std::optional<int64_t> deadline_ms) {
  const CallerId caller = ++last_caller_;
  if (!alive(index)) {
    return caller;
  }
  CallerRequest request = MakeRequest(key);
  request.caller = caller;
  request.work = repeatable ? "lookup" : "check";
  if (deadline_ms.has_value()) {
    request.deadline_ms = std::to_string(*deadline_ms);
  }
  request.body =
      json::serialize(json::object{{"model", "m"},
                                   {"prompt", word + " letter" + prompt_text_},
                                   {"max_tokens", tokens},
                                   {"stream", HashBytes(word) % 2 == 0}});
  oracle_.OnSubmit(caller, word, repeatable, tokens);
  process_by_caller_[caller] = index;
  ScheduleIn(index, clock_.Now() + Delay(), [this, index, request] {
    processes_[index]->entry->OnCallerRequest(request);
  });
  return caller;
}

CallerId Simulation::RefuseUnread(size_t index,
                                  const std::string& key,
                                  const std::string& word,
                                  bool repeatable,
                                  uint32_t tokens) {
  const CallerId caller = ++last_caller_;
  if (!alive(index)) {
    return caller;
  }
  CallerRequest request = MakeRequest(key);
  request.caller = caller;
  request.work = repeatable ? "lookup" : "check";
  oracle_.OnSubmit(caller, word, repeatable, tokens);
  process_by_caller_[caller] = index;
  ScheduleIn(index, clock_.Now() + Delay(), [this, index, request] {
    EntryNode& entry = *processes_[index]->entry;
    const CallerHeadDecision decision = entry.CheckHead(request);
    entry.RefuseUnread(request,
                       decision.refusal.value_or(ResultCode::kMemoryLimit));
  });
  return caller;
}

CallerId Simulation::Read(size_t index,
                          const std::string& key,
                          const std::string& word) {
  const CallerId caller = ++last_caller_;
  if (!alive(index)) {
    return caller;
  }
  CallerRequest request = MakeRequest(key);
  request.caller = caller;
  request.method = "GET";
  request.path = "/v1/requests/" + key;
  oracle_.OnRead(caller, word);
  process_by_caller_[caller] = index;
  ScheduleIn(index, clock_.Now() + Delay(), [this, index, request] {
    processes_[index]->entry->OnCallerRequest(request);
  });
  return caller;
}

void Simulation::Delete(size_t index, const std::string& key) {
  if (!alive(index)) {
    return;
  }
  CallerRequest request = MakeRequest(key);
  request.method = "DELETE";
  request.path = "/v1/requests/" + key;
  SendOperatorRequest(index, request);
}

CallerId Simulation::SendOperatorRequest(size_t index, CallerRequest request) {
  const CallerId caller = ++last_caller_;
  request.caller = caller;
  if (!alive(index)) {
    return caller;
  }
  operator_replies_[caller] = 0;
  ScheduleIn(index, clock_.Now() + Delay(), [this, index, request] {
    processes_[index]->entry->OnCallerRequest(request);
  });
  return caller;
}

CallerId Simulation::Apply(size_t index, const std::string& marker) {
  CallerRequest request;
  request.method = "POST";
  request.path = "/admin/v1/config";
  request.bearer = kOperatorKey;
  request.body = ConfigText(marker, options_.team_running);
  return SendOperatorRequest(index, request);
}

CallerId Simulation::UsePreset(size_t index, const std::string& preset) {
  CallerRequest request;
  request.method = "POST";
  request.path = "/admin/v1/preset";
  request.bearer = kOperatorKey;
  request.body = json::serialize(json::object{{"name", preset}});
  return SendOperatorRequest(index, request);
}

}  // namespace lavenderkeel::fuzz
