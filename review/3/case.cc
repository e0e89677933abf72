// One part of a prompt crashes each server that begins to write an answer on
// it. In the prompts it stands behind 64 other parts; no two prompts are alike.
// Exits with 1 if more than three requests with the part reach servers later
// than `contactMs` after the fifth crash.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_in/backend.h"
#include "review/stand_in/http.h"
#include "review/stand_in/scene.h"
#include "review/stand_in/store.h"

namespace {

using review::Backend;
using review::Connection;
using review::Fleet;
using review::NowMs;
using review::Record;
using review::SleepMs;
using review::Store;

/// Bounds of the deployment.
constexpr int64_t kContactMs = 3000;
constexpr int kCrashes = 5;
constexpr int kMostLater = 3;
constexpr int kCannotRun = 2;
constexpr int kServers = 10;
constexpr char kPart[] = "dead0001";

constexpr char kConfig[] =
    R"({"version":7,"routes":[{"name":"arrears-summary",)"
    R"("host":"post.example","pathPrefix":"/stream/","kind":"streaming",)"
    R"("timeoutMs":5000,"targetLatencyMs":500,"priority":1,)"
    R"("service":"readers","maxAttempts":1,"public":false,)"
    R"("stickySessions":true,"streamResume":false,"gapTargetMs":300}],)"
    R"("services":[{"name":"readers","healthPath":"/health",)"
    R"("maxConnections":360,"protocol":"h1","tls":false,)"
    R"("engine":{"slots":5,"kvCapacityTokens":586772,)"
    R"("models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,)"
    R"("bodyBytes":4194304,"headerMs":3000,"idleMs":15000},)"
    R"("tenants":[{"name":"team","apiKeys":["key"],"priority":1,)"
    R"("unit":"tokens","plainTokens":200,"ratePerS":461393,)"
    R"("burst":461393}]})";

/// The servers of the service. One that has crashed is back after some seconds,
/// under another id.
class Servers {
 public:
  Servers(Store& store, Record& record) : store_(store), record_(record) {
    for (int i = 0; i < kServers; ++i) {
      StartOne();
    }
  }

  /// Replaces servers that have crashed.
  void Tick() {
    constexpr int64_t kBackMs = 3000;
    // Three ping intervals.
    constexpr int64_t kListedMs = 3600;
    const int64_t now = NowMs();
    const size_t known = servers_.size();
    for (size_t i = 0; i < known; ++i) {
      Known& known_server = servers_[i];
      if (!known_server.server->ended()) {
        continue;
      }
      if (known_server.crashed_ms == 0) {
        known_server.crashed_ms = now;
        crashes_.push_back(now);
      }
      if (!known_server.replaced && now > known_server.crashed_ms + kBackMs) {
        known_server.replaced = true;
        StartOne();
      }
      if (servers_[i].listed && now > servers_[i].crashed_ms + kListedMs) {
        servers_[i].listed = false;
        store_.Remove("servers", servers_[i].server->id());
      }
    }
  }

  const std::vector<int64_t>& crashes() const { return crashes_; }

  /// Returns how many requests whose id begins with the prefix reached servers
  /// after a time.
  int ArrivalsAfter(const std::string& prefix, int64_t ms) const {
    int count = 0;
    for (const Known& known : servers_) {
      for (const Backend::Arrival& arrival : known.server->Arrivals()) {
        count += arrival.request.starts_with(prefix) && arrival.at_ms > ms;
      }
    }
    return count;
  }

 private:
  struct Known {
    std::unique_ptr<Backend> server;
    int64_t crashed_ms = 0;
    bool replaced = false;
    bool listed = true;
  };

  void StartOne() {
    auto server = std::make_unique<Backend>(
        Backend::Options{.id = "i-server" + std::to_string(servers_.size()),
                         .events = 13,
                         .event_gap_ms = 40,
                         .crashing_part = kPart},
        record_);
    store_.Put("servers", server->id(),
               R"({"service":"readers","address":"127.0.0.1:)" +
                   std::to_string(server->port()) +
                   R"(","zone":"zone-a","version":"v1","slots":5,)" +
                   R"("state":"ready","coldRemainingMs":0,"sequence":4})");
    servers_.push_back({.server = std::move(server)});
  }

  Store& store_;
  Record& record_;
  std::vector<Known> servers_;
  std::vector<int64_t> crashes_;
};

struct Outcomes {
  std::atomic<int> sent = 0;
  std::atomic<int> whole = 0;
};

/// Returns a prompt: a part that all share, parts of its own, the part in
/// question and the last one.
std::string Prompt(int number, int own_parts, const std::string& part) {
  std::string prompt = "a11:60";
  char text[32];
  for (int i = 0; i < own_parts; ++i) {
    std::snprintf(text, sizeof(text), ",b%04x%03x:20", number, i);
    prompt += text;
  }
  if (!part.empty()) {
    prompt += "," + part + ":20";
  }
  std::snprintf(text, sizeof(text), ",c%06x:50", number);
  return prompt + text;
}

void SendOne(const review::Entry& entry,
             const std::string& id,
             const std::string& prompt,
             Record& record,
             Outcomes& outcomes) {
  constexpr int kPatienceMs = 5500;
  const auto connection = Connection::Dial(entry.clients);
  record.Line("sent " + id + " to " + entry.name);
  ++outcomes.sent;
  if (connection == nullptr) {
    return;
  }
  connection->set_read_timeout(kPatienceMs);
  connection->Write(
      "POST /stream/2f HTTP/1.1\r\nHost: post.example\r\nRequest-Id: " + id +
      "\r\nModel: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: " + prompt +
      "\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer key\r\n"
      "Content-Length: 0\r\n\r\n");
  const review::Message answer = connection->Read();
  constexpr int kOk = 200;
  const int status = answer.head.status();
  outcomes.whole += answer.whole && status == kOk ? 1 : 0;
  record.Line("client of " + id + " gets " + std::to_string(status) +
              (answer.whole ? " whole" : " cut"));
}

int Run(const std::string& directory, const std::string& record_file) {
  // Never destroyed: threads of the stand-ins use them up to the exit.
  static Record record(record_file);
  static Store store;
  static Servers servers(store, record);
  static Outcomes sound;
  static Outcomes crashing;
  store.Put("config", "main", kConfig);
  static Fleet fleet(directory, {"zone-a", "zone-a", "zone-b", "zone-c"},
                     store.port(), {});
  constexpr int64_t kStartMs = 15000;
  if (!fleet.Start() || !fleet.WaitUntilReady(kStartMs)) {
    record.Line("the entries did not start");
    fleet.EndAll();
    return kCannotRun;
  }
  // PLACE is for a check of the case itself: how many parts stand before.
  const char* place = std::getenv("PLACE");
  constexpr int kOwnParts = 64;
  const int own_parts = place == nullptr ? kOwnParts : std::atoi(place);
  const std::string part = review::HasTrouble() ? kPart : "f00d0001";
  // Forty sound requests a second, and for 20 s one a second with the part.
  constexpr int kSteps = 300;
  constexpr int kStepMs = 100;
  constexpr int kSoundPerStep = 4;
  constexpr int kStepsPerCrash = 10;
  constexpr int kFirstStep = 50;
  constexpr int kLastStep = 250;
  for (int step = 1; step <= kSteps; ++step) {
    const auto& entries = fleet.entries();
    const auto send = [&](const std::string& kind, int parts,
                          const std::string& with, size_t shift,
                          Outcomes& outcomes) {
      char id[32];
      std::snprintf(id, sizeof(id), "%s%08x", kind.c_str(), step);
      std::thread(
          [&record = record, &outcomes, id = std::string(id),
           prompt = Prompt(step + (with.empty() ? 0 : kSteps), parts, with),
           &entry =
               entries[(static_cast<size_t>(step) + shift) % entries.size()]] {
            SendOne(entry, id, prompt, record, outcomes);
          })
          .detach();
    };
    constexpr int kSoundParts = 3;
    for (size_t i = 0; i < kSoundPerStep; ++i) {
      send("5" + std::to_string(i), kSoundParts, "", i, sound);
    }
    if (step > kFirstStep && step <= kLastStep && step % kStepsPerCrash == 0) {
      send("dd", own_parts, part, static_cast<size_t>(step / kStepsPerCrash),
           crashing);
    }
    SleepMs(kStepMs);
    servers.Tick();
  }
  constexpr int64_t kLastMs = 6000;
  SleepMs(kLastMs);
  servers.Tick();
  const bool all_run = fleet.AllRun(record);
  fleet.EndAll();
  const std::vector<int64_t>& crashes = servers.crashes();
  const int later =
      crashes.size() < kCrashes
          ? 0
          : servers.ArrivalsAfter("dd", crashes[kCrashes - 1] + kContactMs);
  record.Line("sound requests: sent " + std::to_string(sound.sent) +
              ", whole " + std::to_string(sound.whole) +
              "; requests with the part: sent " +
              std::to_string(crashing.sent) + "; crashes " +
              std::to_string(crashes.size()) +
              "; with the part, later than contactMs after the fifth: " +
              std::to_string(later));
  if (!all_run || sound.whole == 0) {
    return kCannotRun;
  }
  return later > kMostLater ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kArguments = 3;
  if (argc != kArguments) {
    return kCannotRun;
  }
  std::_Exit(Run(argv[1], argv[2]));
}
