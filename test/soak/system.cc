#include "test/soak/system.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <memory>
#include <sstream>
#include <utility>
#include <vector>

#include "test/fakes/odd_objects.h"
#include "test/process/crowd.h"

namespace lavenderkeel::soak {

namespace {

/// One in so many receipts of bytes ends early while answers are cut.
constexpr int kCutPeriod = 9;

std::string Program(const std::string& name) {
  return std::string(LAVENDERKEEL_BINARY_DIR) + "/" + name;
}

}  // namespace

System::System(const Plan& plan, EventLoop& loop)
    : plan_(plan), loop_(loop), http_(loop) {}

bool System::Wait(const std::function<bool()>& condition) {
  const TimePoint end = clock_.Now() + std::chrono::seconds(30);
  while (!condition()) {
    if (clock_.Now() > end) {
      return false;
    }
    loop_.Run();
  }
  return true;
}

bool System::Start() {
  processes_.Spawn("store", {Program("fake_store"), "127.0.0.1:0",
                             processes_.ReadyFile("store")});
  if (!Wait([this] { return processes_.HasReadyFile("store"); })) {
    return false;
  }
  const std::string store = processes_.Address("store", "http");
  for (int i = 0; i < plan_.servers; ++i) {
    servers_.push_back({.name = "server-" + std::to_string(i),
                        .relay = std::make_unique<test::Relay>(loop_)});
  }
  for (Server& server : servers_) {
    server.relay->set_on_forwarded(
        [this](const std::string& bytes) { OnForwarded(bytes); });
    StartServer(server);
  }
  PutConfig();
  for (int i = 0; i < plan_.entries; ++i) {
    entries_.push_back({.name = "entry-" + std::to_string(i),
                        .store = std::make_unique<test::Relay>(loop_),
                        .clients = std::make_unique<test::Relay>(loop_),
                        .peers = std::make_unique<test::Relay>(loop_)});
    entries_.back().store->set_target(store);
  }
  for (Entry& entry : entries_) {
    StartEntry(entry);
  }
  return Wait([this] {
    Tick();
    return std::ranges::all_of(entries_, [this](const Entry& entry) {
      return processes_.Log(entry.name).find("event=servers_listed") !=
             std::string::npos;
    });
  });
}

void System::StartEntry(Entry& entry) {
  std::string seeds;
  for (const Entry& other : entries_) {
    seeds += (seeds.empty() ? "\"" : ",\"") + other.peers->address() + "\"";
  }
  const std::string settings =
      processes_.directory() + "/" + entry.name + ".json";
  std::ofstream(settings) << R"({"instance": ")" << entry.name
                          << R"(", "data_centre": "here", "listen": {)"
                          << R"("clients": "127.0.0.1:0", )"
                          << R"("status": "127.0.0.1:0", )"
                          << R"("peers": "127.0.0.1:0", "advertise": ")"
                          << entry.peers->address() << R"("}, "store": ")"
                          << entry.store->address() << R"(", "seeds": [)"
                          << seeds << R"(], "bounds": {"retry_window_s": )"
                          << ToSeconds(plan_.retry_bound.window)
                          << R"(, "retry_ratio": )" << plan_.retry_bound.ratio
                          << R"(, "retry_extra": )" << plan_.retry_bound.extra
                          << R"(}, "limits": {"memory_mb": )" << kEntryMemoryMiB
                          << "}}";
  processes_.Spawn(
      entry.name,
      {Program("lavenderkeel-platform-entry"), "--settings=" + settings,
       "--ready_file=" + processes_.ReadyFile(entry.name)});
  entry.starting = true;
  entry.leaving = false;
}

void System::StartServer(Server& server) {
  server.id = server.name + "-" + std::to_string(++server.starts);
  processes_.Spawn(server.name,
                   {Program("fake_backend"), "127.0.0.1:0",
                    processes_.ReadyFile(server.name), server.id,
                    processes_.directory() + "/" + server.name + ".runs"});
  Wait([&] { return processes_.HasReadyFile(server.name); });
  server.relay->set_target(processes_.Address(server.name, "http"));
  ListServer(server, /*draining=*/false);
}

void System::ListServer(const Server& server, bool draining) {
  PutObject("/objects/servers/" + server.id,
            R"({"service": "s", "address": ")" + server.relay->address() +
                R"(", "zone": "here", "slots": 3, "state": ")" +
                (draining ? "draining" : "ready") + R"("})");
}

void System::PutObject(const std::string& path, const std::string& body) {
  http_.Start({.address = processes_.Address("store", "http"),
               .method = "PUT",
               .path = path,
               .body = body,
               .timeout = std::chrono::seconds(20),
               .on_done = [](const HttpResult&) {}});
}

void System::RemoveObject(const std::string& object) {
  http_.Start({.address = processes_.Address("store", "http"),
               .method = "DELETE",
               .path = "/objects/" + object,
               .timeout = std::chrono::seconds(20),
               .on_done = [](const HttpResult&) {}});
}

void System::PutConfig() {
  std::ostringstream body;
  const auto route = [](const std::string& name, const std::string& kind) {
    return R"({"name": ")" + name + R"(", "host": "h", "pathPrefix": "/)" +
           name + R"(/", "kind": ")" + kind +
           R"(", "timeoutMs": 4000, "targetLatencyMs": 300, "gapTargetMs": 200,
              "service": "s", "maxAttempts": 2, "streamResume": true})";
  };
  ++config_version_;
  body << R"({"version": )" << config_version_ << R"(, "routes": [)"
       << route("stream", "streaming") << "," << route("once", "non_idempotent")
       << "," << route("lookup", "idempotent") << ","
       << route("v" + std::to_string(config_version_), "idempotent")
       << R"(], "services": [{"name": "s", "engine": {"slots": 3}}],
            "tenants": [{"name": "t", "apiKeys": ["key"]}],
            "limits": {"headerBytes": )"
       << limits_.back().head_bytes << R"(, "bodyBytes": )"
       << limits_.back().body_bytes
       << R"(, "headerMs": 3000, "idleMs": 15000}})";
  http_.Start({.address = processes_.Address("store", "http"),
               .method = "PUT",
               .path = "/objects/config/main",
               .body = body.str(),
               .timeout = std::chrono::seconds(20),
               .on_done = [this, version = limits_.size()](const HttpResult&) {
                 Limits& limits = limits_[version - 1];
                 limits.confirmed_at =
                     std::min(limits.confirmed_at, clock_.Now());
               }});
}

void System::ChangeLimits(int target) {
  constexpr size_t kSmallHeadBytes = size_t{4} << 10;
  constexpr size_t kSmallBodyBytes = size_t{16} << 10;
  constexpr int kSmallHead = 1;
  constexpr int kSmallBody = 2;
  Limits limits;
  if ((target & kSmallHead) != 0) {
    limits.head_bytes = kSmallHeadBytes;
  }
  if ((target & kSmallBody) != 0) {
    limits.body_bytes = kSmallBodyBytes;
  }
  limits_.push_back(limits);
  PutConfig();
}

std::optional<bool> System::AllowsShape(const RequestShape& shape,
                                        TimePoint sent,
                                        TimePoint ended) const {
  /// Time in which a confirmed configuration comes into force.
  constexpr Duration kApplyTime = std::chrono::seconds(2);
  bool allows = false;
  bool denies = false;
  for (size_t i = 0; i < limits_.size(); ++i) {
    const bool replaced = i + 1 < limits_.size() &&
                          limits_[i + 1].confirmed_at < sent - kApplyTime;
    // It may be in force before its confirmation arrives.
    const bool is_later = i > 0 && limits_[i - 1].confirmed_at > ended;
    if (replaced || is_later) {
      continue;
    }
    (shape.head_bytes <= limits_[i].head_bytes &&
             shape.body_bytes <= limits_[i].body_bytes
         ? allows
         : denies) = true;
  }
  return allows && denies ? std::nullopt : std::optional(allows);
}

void System::Schedule(Duration after, std::function<void()> action) {
  pending_.push_back({.at = clock_.Now() + after, .action = std::move(action)});
}

void System::Pause(const std::string& name, Duration duration) {
  processes_.Signal(name, SIGSTOP);
  Schedule(duration, [this, name] {
    if (processes_.Has(name)) {
      processes_.Signal(name, SIGCONT);
    }
  });
}

void System::Inject(const Step& step) {
  switch (step.fault) {
    case Fault::kKillAllEntries:
      for (Entry& entry : entries_) {
        InjectAtEntry({.fault = Fault::kKillEntry, .duration = step.duration},
                      entry);
      }
      return;
    case Fault::kPauseStore:
      Pause("store", step.duration);
      return;
    case Fault::kChangeConfig:
      PutConfig();
      return;
    case Fault::kChangeLimits:
      ChangeLimits(step.target);
      return;
    case Fault::kStoreListsOddObject:
      ListOddObject(step);
      return;
    default:
      InjectAtEntry(
          step, entries_[static_cast<size_t>(step.target) % entries_.size()]);
      InjectAtServer(
          step, servers_[static_cast<size_t>(step.target) % servers_.size()]);
  }
}

void System::ListOddObject(const Step& step) {
  const std::vector<fakes::OddObject>& objects = fakes::OddObjects();
  const fakes::OddObject& odd =
      objects[static_cast<size_t>(step.target) % objects.size()];
  PutObject("/objects/" + odd.path, odd.content);
  Schedule(step.duration, [this, &odd] { RemoveObject(odd.path); });
}

void System::SendCrowd(const Step& step, const Entry& entry) {
  constexpr size_t kClients = 60;
  if (!processes_.Has(entry.name) || entry.starting) {
    return;
  }
  const auto head = [](const std::string& key) {
    return "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\n"
           "Deadline-Ms: 8000\r\nAuthorization: Bearer " +
           key + "\r\n";
  };
  const auto scripts = test::MisbehavingScripts(head("key"), head("unknown"));
  // Directly, since a relay would hold what the entry does not read.
  auto crowd = std::make_shared<test::Crowd>(
      loop_, processes_.Address(entry.name, "clients"), kClients,
      scripts[static_cast<size_t>(step.target) / entries_.size() %
              scripts.size()]);
  const pid_t pid = processes_.Pid(entry.name);
  Schedule(step.duration, [this, crowd, pid] {
    peak_kib_beside_crowds_ =
        std::max(peak_kib_beside_crowds_, test::PeakKiB(pid));
  });
}

void System::InjectAtEntry(const Step& step, Entry& entry) {
  test::Relay& store = *entry.store;
  test::Relay& peers = *entry.peers;
  switch (step.fault) {
    case Fault::kKillEntry:
      if (processes_.Has(entry.name)) {
        processes_.Kill(entry.name);
      }
      return;
    case Fault::kStopEntry:
      if (processes_.Has(entry.name)) {
        processes_.Signal(entry.name, SIGTERM);
        entry.leaving = true;
      }
      return;
    case Fault::kReloadEntry:
      if (processes_.Has(entry.name)) {
        processes_.Signal(entry.name, SIGHUP);
      }
      return;
    case Fault::kPauseEntry:
      if (processes_.Has(entry.name)) {
        Pause(entry.name, step.duration);
      }
      return;
    case Fault::kClientsCrowd:
      SendCrowd(step, entry);
      return;
    case Fault::kResetStoreLinks:
      store.ResetOpenConnections();
      return;
    case Fault::kSilenceStoreLinks:
      store.StallOpenConnections();
      return;
    case Fault::kCutStoreOneWay:
      store.SetBlocked(/*to_target=*/false, /*from_target=*/true);
      Schedule(step.duration, [&store] { store.SetBlocked(false, false); });
      return;
    case Fault::kCutStoreAnswers:
      store.set_cut_period(kCutPeriod);
      Schedule(step.duration, [&store] { store.set_cut_period(0); });
      return;
    case Fault::kCutPeerMessages:
      peers.set_cut_period(kCutPeriod);
      Schedule(step.duration, [&peers] { peers.set_cut_period(0); });
      return;
    case Fault::kResetPeerLinks:
      peers.ResetOpenConnections();
      return;
    case Fault::kSilencePeerLinks:
      peers.StallOpenConnections();
      return;
    case Fault::kCutPeerOneWay:
      peers.SetBlocked(/*to_target=*/true, /*from_target=*/false);
      Schedule(step.duration, [&peers] { peers.SetBlocked(false, false); });
      return;
    default:
      return;
  }
}

void System::FailRequests(const Step& step,
                          const std::string& failure,
                          Server& server) {
  constexpr const char* kPercent = "60";
  SetFailing(server, failure + " " + kPercent);
  Schedule(step.duration, [this, &server] { SetFailing(server, "none 0"); });
}

void System::SetFailing(const Server& server, const std::string& failing) {
  http_.Start({.address = processes_.Address(server.name, "http"),
               .method = "PUT",
               .path = "/failing",
               .body = failing,
               .timeout = std::chrono::seconds(20),
               .on_done = [](const HttpResult&) {}});
}

void System::OnForwarded(const std::string& bytes) {
  static constexpr std::string_view kField = "Request-Id: ";
  for (size_t at = bytes.find(kField); at != std::string::npos;
       at = bytes.find(kField, at)) {
    at += kField.size();
    on_arrival_(bytes.substr(at, bytes.find('\r', at) - at));
  }
}

void System::InjectAtServer(const Step& step, Server& server) {
  test::Relay& relay = *server.relay;
  switch (step.fault) {
    case Fault::kKillServer:
      if (processes_.Has(server.name)) {
        processes_.Kill(server.name);
        RestartServer(server, step.duration);
      }
      return;
    case Fault::kPauseServer:
      if (processes_.Has(server.name)) {
        Pause(server.name, step.duration);
      }
      return;
    case Fault::kDrainServer:
      ListServer(server, /*draining=*/true);
      Schedule(step.duration, [this, &server] {
        if (processes_.Has(server.name)) {
          ListServer(server, /*draining=*/false);
        }
      });
      return;
    case Fault::kResetServerLinks:
      relay.ResetOpenConnections();
      return;
    case Fault::kSilenceServerLinks:
      relay.StallOpenConnections();
      return;
    case Fault::kDelayServerLinks:
      relay.set_delay(std::chrono::milliseconds(120));
      Schedule(step.duration, [&relay] { relay.set_delay({}); });
      return;
    case Fault::kCutServerOneWay:
      relay.SetBlocked(/*to_target=*/false, /*from_target=*/true);
      Schedule(step.duration, [&relay] { relay.SetBlocked(false, false); });
      return;
    case Fault::kServerRejects:
      FailRequests(step, "reject", server);
      return;
    case Fault::kServerErrs:
      FailRequests(step, "error", server);
      return;
    case Fault::kServerLosesAnswers:
      FailRequests(step, "lose", server);
      return;
    case Fault::kServerRefuses:
      FailRequests(step, "refuse", server);
      return;
    case Fault::kServerPauses:
      FailRequests(step, "pause", server);
      return;
    case Fault::kServerContradicts:
      FailRequests(step, "contradict", server);
      return;
    case Fault::kCutServerAnswers:
      relay.set_cut_period(kCutPeriod);
      Schedule(step.duration, [&relay] { relay.set_cut_period(0); });
      return;
    case Fault::kServerSendsInterim:
      relay.set_interim(true);
      Schedule(step.duration, [&relay] { relay.set_interim(false); });
      return;
    case Fault::kServerRepeatsAnswers:
      relay.set_repeat_period(/*period=*/3);
      Schedule(step.duration, [&relay] { relay.set_repeat_period(0); });
      return;
    case Fault::kServerNeverEnds:
      relay.set_endless(true);
      Schedule(step.duration, [&relay] { relay.set_endless(false); });
      return;
    default:
      return;
  }
}

void System::RestartServer(Server& server, Duration after) {
  server.restarting = true;
  server.relay->ResetOpenConnections();
  Schedule(after, [this, &server] {
    RemoveObject("servers/" + server.id);
    StartServer(server);
    server.restarting = false;
  });
}

void System::RestartEndedServers() {
  constexpr Duration kRestartTime = std::chrono::milliseconds(1200);
  for (Server& server : servers_) {
    if (!server.restarting && processes_.Has(server.name) &&
        processes_.TryJoin(server.name).has_value()) {
      on_crash_();
      RestartServer(server, kRestartTime);
    }
  }
}

void System::Tick() {
  std::vector<PendingAction> due;
  std::erase_if(pending_, [&](PendingAction& pending) {
    const bool is_due = pending.at <= clock_.Now();
    if (is_due) {
      due.push_back(std::move(pending));
    }
    return is_due;
  });
  for (const PendingAction& pending : due) {
    pending.action();
  }
  RestartEndedServers();
  // Restarts entries that have ended, after a short delay, as the platform
  // does.
  for (Entry& entry : entries_) {
    if (entry.starting && processes_.HasReadyFile(entry.name)) {
      entry.starting = false;
      entry.clients->set_target(processes_.Address(entry.name, "clients"));
      entry.peers->set_target(processes_.Address(entry.name, "peers"));
    }
    const bool ended = !processes_.Has(entry.name) ||
                       processes_.TryJoin(entry.name).has_value();
    if (ended && !std::exchange(entry.restarting, true)) {
      Schedule(std::chrono::milliseconds(150), [this, &entry] {
        entry.restarting = false;
        StartEntry(entry);
      });
    }
  }
}

void System::Heal() {
  for (PendingAction& pending : pending_) {
    pending.at = {};
  }
  Tick();
}

std::string System::EntryAddress(size_t entry) const {
  if (!plan_.is_planned_work) {
    return entries_.at(entry).clients->address();
  }
  for (size_t i = 0; i < entries_.size(); ++i) {
    const Entry& next = entries_[(entry + i) % entries_.size()];
    if (!next.starting && !next.restarting && !next.leaving) {
      return processes_.Address(next.name, "clients");
    }
  }
  return "";
}

std::multiset<std::string> System::Runs() const {
  std::multiset<std::string> runs;
  for (const Server& server : servers_) {
    std::istringstream lines(
        test::ReadFile(processes_.directory() + "/" + server.name + ".runs"));
    for (std::string line; std::getline(lines, line);) {
      runs.insert(line);
    }
  }
  return runs;
}

}  // namespace lavenderkeel::soak
