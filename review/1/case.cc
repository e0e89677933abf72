// An entry of another writer appears in the list of servers: one of its fields
// holds bytes that can't be read. Then servers of the service leave in order.
// Exits with 1 if a leaving server gets requests later than `drainMs` after
// the store has acknowledged that it drains.

#include <atomic>
#include <cstdlib>
#include <memory>
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

/// The bound of the deployment.
constexpr int64_t kDrainMs = 3000;
/// How much longer than that a leaving server serves before it exits.
constexpr int64_t kServesLongerMs = 2000;
constexpr int kServers = 6;
constexpr int kLeaving = 2;
constexpr int kClients = 20;
constexpr int kCannotRun = 2;

constexpr char kConfig[] =
    R"({"version":7,"routes":[{"name":"actions","host":"calls.example",)"
    R"("pathPrefix":"/stream/","kind":"streaming","timeoutMs":5000,)"
    R"("targetLatencyMs":600,"priority":1,"service":"pool","maxAttempts":1,)"
    R"("public":false,"stickySessions":true,"streamResume":false,)"
    R"("gapTargetMs":500}],"services":[{"name":"pool",)"
    R"("healthPath":"/health","maxConnections":490,"protocol":"h1",)"
    R"("tls":false,"engine":{"slots":5,"kvCapacityTokens":642190,)"
    R"("models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,)"
    R"("bodyBytes":4194304,"headerMs":3000,"idleMs":15000},)"
    R"("tenants":[{"name":"team","apiKeys":["key"],"priority":1,)"
    R"("unit":"tokens","plainTokens":200,"ratePerS":461393,)"
    R"("burst":461393}]})";

std::string ServerEntry(const Backend& server, const std::string& state) {
  return R"({"service":"pool","address":"127.0.0.1:)" +
         std::to_string(server.port()) +
         R"(","zone":"zone-a","version":"v1","slots":5,"state":")" + state +
         R"(","coldRemainingMs":0,"sequence":4})";
}

/// A field of the entry holds a byte that is no text in the store's encoding.
/// JSON writes it as an escaped half of a surrogate pair.
constexpr char kUnreadableEntry[] =
    R"({"service":"inventory","address":"127.0.0.1:9","zone":"\udcff",)"
    R"("version":"v1","slots":1,"state":"ready","sequence":1})";

/// What the clients saw.
struct Outcomes {
  std::atomic<int> sent = 0;
  std::atomic<int> whole = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> unanswered = 0;
};

void SendOne(const review::Entry& entry,
             const std::string& id,
             Record& record,
             Outcomes& outcomes) {
  constexpr int kPatienceMs = 5000;
  const auto connection = Connection::Dial(entry.clients);
  ++outcomes.sent;
  record.Line("sent " + id + " to " + entry.name);
  if (connection == nullptr) {
    ++outcomes.unanswered;
    return;
  }
  connection->set_read_timeout(kPatienceMs);
  connection->Write(
      "POST /stream/2f HTTP/1.1\r\nHost: calls.example\r\n"
      "Request-Id: " +
      id + "\r\nModel: m\r\nToken-Count: 900,80\r\nPrompt-Prefix: " + id +
      ":900\r\nDeadline-Ms: 5000\r\n"
      "Authorization: Bearer key\r\n"
      "Content-Length: 0\r\n\r\n");
  const review::Message answer = connection->Read();
  constexpr int kOk = 200;
  const int status = answer.head.status();
  const bool whole = answer.whole && status == kOk;
  if (whole) {
    ++outcomes.whole;
  } else if (answer.whole) {
    ++outcomes.refused;
  } else {
    ++outcomes.unanswered;
  }
  record.Line("client of " + id + " gets " + std::to_string(status) +
              (answer.whole ? " whole" : " cut"));
}

void RunClient(int number,
               const Fleet& fleet,
               const std::atomic<bool>& stop,
               Record& record,
               Outcomes& outcomes) {
  constexpr int kPauseMs = 50;
  for (int i = 0; !stop; ++i) {
    char id[32];
    std::snprintf(id, sizeof(id), "%04x%08x", number + 1, i + 1);
    const auto& entries = fleet.entries();
    SendOne(entries[static_cast<size_t>(number + i) % entries.size()], id,
            record, outcomes);
    SleepMs(kPauseMs);
  }
}

/// Lets the server leave in order.
/// @return the number of requests that reached it too late
int Leave(Backend& server, Store& store, Record& record) {
  store.Put("servers", server.id(), ServerEntry(server, "draining"));
  const int64_t acknowledged = NowMs();
  record.Line("draining acknowledged: " + server.id());
  SleepMs(kDrainMs + kServesLongerMs);
  int late = 0;
  for (const Backend::Arrival& arrival : server.Arrivals()) {
    late += arrival.at_ms > acknowledged + kDrainMs ? 1 : 0;
  }
  server.End();
  store.Remove("servers", server.id());
  record.Line("later than drainMs at " + server.id() + ": " +
              std::to_string(late));
  return late;
}

int Run(const std::string& directory, const std::string& record_file) {
  // Never destroyed: threads of the stand-ins use them up to the exit.
  static Record record(record_file);
  static Store store;
  static std::vector<std::unique_ptr<Backend>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Backend>(
        Backend::Options{.id = "i-server" + std::to_string(i)}, record));
    store.Put("servers", servers.back()->id(),
              ServerEntry(*servers.back(), "ready"));
  }
  store.Put("config", "main", kConfig);
  Fleet fleet(directory, {"zone-a", "zone-a", "zone-b", "zone-c"}, store.port(),
              {.retry_extra = 96});
  constexpr int64_t kStartMs = 15000;
  if (!fleet.Start() || !fleet.WaitUntilReady(kStartMs)) {
    record.Line("the entries did not start");
    return kCannotRun;
  }
  std::atomic<bool> stop = false;
  Outcomes outcomes;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&, i] { RunClient(i, fleet, stop, record, outcomes); });
  }
  // Longer than contactMs, so that all machines are in touch.
  constexpr int64_t kCalmMs = 5000;
  SleepMs(kCalmMs);
  if (review::HasTrouble()) {
    store.Put("servers", "i-foreign", kUnreadableEntry);
    record.Line("an unreadable entry is listed");
  }
  SleepMs(kCalmMs);
  int late = 0;
  for (int i = 0; i < kLeaving; ++i) {
    late += Leave(*servers[static_cast<size_t>(i)], store, record);
    constexpr int64_t kPauseMs = 2000;
    SleepMs(kPauseMs);
  }
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const bool all_run = fleet.AllRun(record);
  fleet.EndAll();
  record.Line("sent " + std::to_string(outcomes.sent) + ", answered whole " +
              std::to_string(outcomes.whole) + ", refused or failed " +
              std::to_string(outcomes.refused) + ", cut or unanswered " +
              std::to_string(outcomes.unanswered) +
              ", requests later than drainMs " + std::to_string(late));
  if (!all_run || outcomes.whole == 0) {
    return kCannotRun;
  }
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kArguments = 3;
  if (argc != kArguments) {
    return kCannotRun;
  }
  std::_Exit(Run(argv[1], argv[2]));
}
