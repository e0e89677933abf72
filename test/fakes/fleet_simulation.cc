#include "test/fakes/fleet_simulation.h"

#include <algorithm>
#include <utility>

#include "platform/crash_archive_codec.h"
#include "platform/object_decoder.h"
#include "platform/object_reducer.h"
#include "platform/registration_codec.h"
#include "platform/rollout_codec.h"

namespace lavenderkeel::fakes {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr int kStrongProcessorShare = 5;

}  // namespace

FleetSimulation::FleetSimulation(const Options& options)
    : options_(options), log_(options.log) {
  objects_[{"config", "main"}] = {.name = "main", .revision = ++revision_};
  if (options_.with_server) {
    PutServer("s", /*draining=*/false);
  }
  processes_.resize(ToIndex(options_.entries));
  for (int i = 0; i < options_.entries; ++i) {
    processes_[ToIndex(i)].address = "10.0.0." + std::to_string(i + 1) + ":1";
  }
  for (int i = 0; i < options_.started.value_or(options_.entries); ++i) {
    Start(i);
  }
}

FleetSimulation::~FleetSimulation() = default;

InstanceInfo FleetSimulation::InfoOf(size_t entry) const {
  const bool is_strong = entry < ToIndex(options_.strong_entries);
  return {.id = {.instance = "entry-" + std::to_string(entry),
                 .incarnation = processes_[entry].incarnation},
          .role = Role::kEntry,
          .data_centre = "govan",
          .region = "scot",
          .address = processes_[entry].address,
          .processor_share = is_strong ? kStrongProcessorShare : 1.0};
}

ForwardSource FleetSimulation::SourceOf(size_t entry) {
  return {
      .config_kind = "config",
      .config_object = "main",
      .server_kind = "servers",
      .decode_table =
          [this](const std::string& text) -> leaf::result<RouteTableContent> {
        if (!text.empty()) {
          return hybrid::DecodeConfig(text);
        }
        if (options_.table.has_value()) {
          return *options_.table;
        }
        RouteTableContent content = ForwardSimulation::Table();
        content.teams.front().rate = options_.rate;
        if (options_.plain_service) {
          content.services.front().batch_slots = 0;
        }
        return content;
      },
      .decode_server =
          [this](const StoredObject& item) -> leaf::result<BackendServer> {
        constexpr std::string_view kDraining = "draining ";
        const bool draining = item.content.starts_with(kDraining);
        const std::string rest =
            item.content.substr(draining ? kDraining.size() : 0);
        if (!rest.starts_with('v')) {
          return hybrid::DecodeServer(item);
        }
        const size_t blank = rest.find(' ');
        return BackendServer{.id = item.name,
                             .service = "engines",
                             .address = rest.substr(blank + 1),
                             .version = rest.substr(0, blank),
                             .slots = options_.server_slots,
                             .draining = draining};
      },
      .rollout_kind = "rollouts",
      .decode_rollout = hybrid::DecodeRollout,
      .write_rollout =
          [this, entry](const RolloutOrder& order, const RolloutRecord& record,
                        const auto& done) {
            WriteStatus(entry, order, record, done);
          },
      .registry = {.kind = "entries",
                   .decode = hybrid::DecodeRegistration,
                   .write =
                       [this, entry](const RegistryWrite& write) {
                         WriteRegistry(entry, write);
                       }},
      .crash_archive = {.kind = "crash-evidence",
                        .object = "main",
                        .decode = hybrid::DecodeCrashReports,
                        .write =
                            [this, entry](const CrashArchiveWrite& write) {
                              WriteCrashArchive(entry, write);
                            }},
      .read =
          [this, entry](const ObjectRead& read, const auto& done) {
            ++store_reads_;
            const WaitingRead waiting = {
                .entry = entry,
                .incarnation = processes_[entry].incarnation,
                .read = read,
                .done = done,
                .until = clock_.Now() + read.wait};
            if (!Answer(waiting)) {
              watches_.push_back(waiting);
            }
          }};
}

void FleetSimulation::WriteRegistry(size_t entry, const RegistryWrite& write) {
  if (store_down_ || store_cuts_.contains(entry)) {
    return;
  }
  const auto found = objects_.find({"entries", write.entry.name});
  const bool exists = found != objects_.end() && !found->second.removed;
  if (write.kind == RegistryWrite::Kind::kCreate) {
    if (!exists) {
      PutObject("entries", write.entry.name, "{}");
    }
    return;
  }
  if (!exists || found->second.revision != write.entry.revision) {
    return;
  }
  if (write.kind == RegistryWrite::Kind::kRemove) {
    RemoveObject("entries", write.entry.name);
    return;
  }
  found->second.status = hybrid::EncodeRegistrationState(write.entry.state);
  found->second.revision = ++revision_;
  AnswerWatches();
}

void FleetSimulation::WriteCrashArchive(size_t entry,
                                        const CrashArchiveWrite& write) {
  if (store_down_ || store_cuts_.contains(entry)) {
    return;
  }
  const auto found = objects_.find({"crash-evidence", "main"});
  if (write.revision == 0) {
    if (found == objects_.end()) {
      PutObject("crash-evidence", "main", "{}");
    }
    return;
  }
  if (found != objects_.end() && found->second.revision == write.revision) {
    found->second.status = hybrid::EncodeCrashReports(write.reports, clock_);
    found->second.revision = ++revision_;
    AnswerWatches();
  }
}

void FleetSimulation::WriteStatus(
    size_t entry,
    const RolloutOrder& order,
    const RolloutRecord& record,
    const std::function<void(const RecordWrite&)>& done) {
  RecordWrite write;
  StoredObject& object = objects_[{"rollouts", order.name}];
  if (!store_down_ && !store_cuts_.contains(entry)) {
    const bool same = object.revision == order.revision && !object.removed;
    write.outcome =
        same ? RecordWrite::Outcome::kDone : RecordWrite::Outcome::kConflict;
    if (same) {
      object.status = hybrid::EncodeRecord(record);
      object.revision = ++revision_;
      write.revision = object.revision;
      AnswerWatches();
    }
  }
  Schedule(
      [this, entry, incarnation = processes_[entry].incarnation, write, done] {
        const Process& process = processes_[entry];
        if (process.incarnation == incarnation && process.node != nullptr) {
          done(write);
          ExecuteActions(entry);
        }
      });
}

bool FleetSimulation::Answer(const WaitingRead& waiting) {
  ObjectReadResult result;
  if (!store_down_ && !store_cuts_.contains(waiting.entry)) {
    result = {.outcome = ObjectReadResult::Outcome::kOk, .revision = revision_};
    const bool is_watch = waiting.read.kind == ObjectRead::Kind::kWatch;
    for (const auto& [id, object] : objects_) {
      const bool is_reported =
          is_watch ? object.revision > waiting.read.revision : !object.removed;
      if (id.first == waiting.read.object_kind && is_reported) {
        result.objects.push_back(object);
        hybrid::ReduceObject(id.first, result.objects.back());
      }
    }
    if (is_watch && result.objects.empty() && clock_.Now() < waiting.until) {
      return false;
    }
  }
  Schedule([this, waiting, result] {
    RunUnlessFrozen(waiting.entry, [this, waiting, result] {
      const Process& process = processes_[waiting.entry];
      if (process.incarnation == waiting.incarnation &&
          process.node != nullptr) {
        waiting.done(result);
        ExecuteActions(waiting.entry);
      }
    });
  });
  return true;
}

void FleetSimulation::AnswerWatches() {
  std::erase_if(watches_,
                [this](const WaitingRead& waiting) { return Answer(waiting); });
}

void FleetSimulation::PutServer(const std::string& name,
                                bool draining,
                                const std::string& address,
                                const std::string& version) {
  PutObject("servers", name,
            (draining ? "draining " : "") + version + " " + address);
}

void FleetSimulation::RemoveServer(const std::string& name) {
  RemoveObject("servers", name);
}

void FleetSimulation::PutObject(const std::string& kind,
                                const std::string& name,
                                const std::string& content) {
  StoredObject& object = objects_[{kind, name}];
  object.revision = ++revision_;
  if (object.name.empty() || object.removed) {
    object = {.name = name, .revision = revision_, .created = revision_};
  }
  object.content = content;
  AnswerWatches();
}

void FleetSimulation::PutStatus(const std::string& kind,
                                const std::string& name,
                                const std::string& status) {
  StoredObject& object = objects_[{kind, name}];
  object.name = name;
  object.revision = ++revision_;
  object.status = status;
  AnswerWatches();
}

void FleetSimulation::RemoveObject(const std::string& kind,
                                   const std::string& name) {
  objects_[{kind, name}] = {
      .name = name, .revision = ++revision_, .removed = true};
  AnswerWatches();
}

std::string FleetSimulation::StatusOf(const std::string& kind,
                                      const std::string& name) const {
  const auto found = objects_.find({kind, name});
  return found == objects_.end() ? "" : found->second.status;
}

void FleetSimulation::set_partitioned(int a, int b, bool partitioned) {
  const std::pair<size_t, size_t> pair = std::minmax(ToIndex(a), ToIndex(b));
  if (partitioned) {
    partitions_.insert(pair);
  } else {
    partitions_.erase(pair);
  }
}

void FleetSimulation::set_store_cut(int entry, bool cut) {
  if (cut) {
    store_cuts_.insert(ToIndex(entry));
  } else {
    store_cuts_.erase(ToIndex(entry));
  }
}

void FleetSimulation::set_frozen(int entry, bool frozen) {
  Process& process = processes_[ToIndex(entry)];
  process.frozen = frozen;
  if (!frozen) {
    for (const auto& task : std::exchange(process.postponed, {})) {
      task();
    }
  }
}

void FleetSimulation::RunUnlessFrozen(size_t entry,
                                      std::function<void()> task) {
  if (processes_[entry].frozen) {
    processes_[entry].postponed.push_back(std::move(task));
  } else {
    task();
  }
}

void FleetSimulation::RunIn(int entry,
                            const std::function<void(ForwardNode&)>& task) {
  RunUnlessFrozen(ToIndex(entry), [this, entry, task] {
    task(node(entry));
    ExecuteActions(ToIndex(entry));
  });
}

void FleetSimulation::Start(int entry) {
  Process& process = processes_[ToIndex(entry)];
  // Calendar time of the start in microseconds, as for real processes.
  process.incarnation = static_cast<uint64_t>(
      clock_.WallNow().time_since_epoch().count() + entry);
  process.port = std::make_unique<FakeForwardPort>();
  process.metrics = std::make_unique<Metrics>();
  ForwardNode::Options node = options_.node;
  if (options_.adjust_node) {
    options_.adjust_node(entry, node);
  }
  for (int seed = 0; seed < options_.seeds; ++seed) {
    if (seed != entry) {
      node.seeds.push_back(processes_[ToIndex(seed)].address);
    }
  }
  process.node = std::make_unique<ForwardNode>(
      node, InfoOf(ToIndex(entry)), SourceOf(ToIndex(entry)),
      hybrid::MakeHeaderCodec(), *process.port, clock_, process.incarnation,
      log_, *process.metrics);
  process.node->Start();
  ExecuteActions(ToIndex(entry));
}

void FleetSimulation::Kill(int entry) {
  processes_[ToIndex(entry)].node.reset();
  processes_[ToIndex(entry)].frozen = false;
  processes_[ToIndex(entry)].postponed.clear();
  std::vector<LinkId> dropped;
  for (const auto& [link, state] : links_) {
    if (state.from == ToIndex(entry)) {
      dropped.push_back(link);
    }
  }
  for (const LinkId link : dropped) {
    CloseLinkOf(link);
  }
}

void FleetSimulation::Advance(Duration by) {
  const TimePoint end = clock_.Now() + by;
  TimePoint tick = clock_.Now();
  while (clock_.Now() < end) {
    while (!deliveries_.empty() && deliveries_.front().at <= clock_.Now()) {
      const Delivery next = std::move(deliveries_.front());
      deliveries_.pop_front();
      next.task();
    }
    if (clock_.Now() >= tick) {
      tick += kTick;
      AnswerWatches();
      for (size_t entry = 0; entry < processes_.size(); ++entry) {
        if (processes_[entry].node != nullptr && !processes_[entry].frozen) {
          processes_[entry].node->Tick();
          ExecuteActions(entry);
        }
      }
    }
    clock_.Advance(kStep);
  }
}

void FleetSimulation::Schedule(std::function<void()> task) {
  deliveries_.push_back(
      {.at = clock_.Now() + options_.network_delay, .task = std::move(task)});
}

void FleetSimulation::ExecuteActions(size_t entry) {
  Process& process = processes_[entry];
  for (Action& action : process.node->outbox().Take()) {
    if (const auto* dial = std::get_if<Dial>(&action)) {
      Schedule(
          [this, entry, address = dial->address] { Connect(entry, address); });
    } else if (const auto* close = std::get_if<CloseLink>(&action)) {
      CloseLinkOf(close->link);
    } else if (auto* send = std::get_if<SendMessage>(&action)) {
      ++process.sent;
      if (const auto* known = std::get_if<KnownEntries>(&send->message)) {
        list_entries_sent_ += known->entries.size();
      }
      if (const auto* feed = std::get_if<ServerFeed>(&send->message)) {
        server_updates_sent_ += feed->objects.size();
      }
      auto message = std::make_shared<Message>(std::move(send->message));
      Schedule([this, link = send->link, message] {
        const auto sent_over = links_.find(link);
        if (sent_over != links_.end()) {
          RunUnlessFrozen(sent_over->second.to,
                          [this, link, message] { Deliver(link, *message); });
        }
      });
    }
  }
}

void FleetSimulation::Deliver(LinkId link, Message& message) {
  const auto found = links_.find(link);
  if (found == links_.end()) {
    return;
  }
  const auto [from, to, other_end] = found->second;
  const bool arrives = !options_.on_delivery ||
                       options_.on_delivery(static_cast<int>(from),
                                            static_cast<int>(to), message);
  if (arrives && processes_[to].node != nullptr && !ArePartitioned(from, to)) {
    ++processes_[to].received;
    processes_[to].node->OnMessage(other_end, std::move(message));
    ExecuteActions(to);
  }
}

void FleetSimulation::Connect(size_t from, const std::string& address) {
  const auto found = std::ranges::find(processes_, address, &Process::address);
  if (processes_[from].node == nullptr) {
    return;
  }
  const auto to = static_cast<size_t>(found - processes_.begin());
  if (found == processes_.end() || found->node == nullptr ||
      ArePartitioned(from, to)) {
    processes_[from].node->OnDialFailed(address);
    return;
  }
  if (processes_[to].frozen) {
    processes_[from].node->OnDialFailed(address);
    return;
  }
  const LinkId here = ++last_link_;
  const LinkId there = ++last_link_;
  links_[here] = {.from = from, .to = to, .other_end = there};
  links_[there] = {.from = to, .to = from, .other_end = here};
  processes_[to].node->OnLinkUp(there, InfoOf(from), "");
  processes_[from].node->OnLinkUp(here, InfoOf(to), address);
  ExecuteActions(to);
  ExecuteActions(from);
}

void FleetSimulation::CloseLinkOf(LinkId link) {
  const auto found = links_.find(link);
  if (found == links_.end()) {
    return;
  }
  const Link closed = found->second;
  links_.erase(link);
  links_.erase(closed.other_end);
  Schedule([this, closed] {
    RunUnlessFrozen(closed.to, [this, closed] {
      if (processes_[closed.to].node != nullptr) {
        processes_[closed.to].node->OnLinkDown(closed.other_end);
        ExecuteActions(closed.to);
      }
    });
  });
}

ExchangeId FleetSimulation::Request(int entry,
                                    const std::string& route,
                                    const std::string& body,
                                    const std::string& key,
                                    Duration time_left,
                                    const HttpFields& extra) {
  const ExchangeId exchange = ++last_exchange_;
  const std::string id = "r" + std::to_string(exchange);
  requested_at_[id] = clock_.Now();
  RequestHead head = {
      .method = "POST",
      .target = "/" + route + "/x",
      .fields = {{"Host", "h"},
                 {"Request-Id", id},
                 {"Authorization", "Bearer " + key},
                 {"Deadline-Ms", std::to_string(ToMilliseconds(time_left))}}};
  head.fields.insert(head.fields.end(), extra.begin(), extra.end());
  RunIn(entry, [exchange, head, body](ForwardNode& node) {
    node.controller().OnRequest(exchange, head, body);
  });
  return exchange;
}

int FleetSimulation::Refused(int entry) const {
  static constexpr int kTooManyRequests = 429;
  const Process& process = processes_[ToIndex(entry)];
  const auto refused = std::ranges::count_if(
      process.port->clients,
      [](const auto& item) { return item.second.status == kTooManyRequests; });
  return static_cast<int>(refused);
}

void FleetSimulation::ResetCounts() {
  store_reads_ = 0;
  list_entries_sent_ = 0;
  server_updates_sent_ = 0;
  for (Process& process : processes_) {
    process.sent = 0;
    process.received = 0;
  }
}

}  // namespace lavenderkeel::fakes
