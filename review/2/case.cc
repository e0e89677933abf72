// Many users come at once, so that the servers of a plain service turn requests
// away, and some servers send a few of their answers a second time, late.
// Exits with 1 if a request that may run once runs twice, or is answered with
// the promise that it has not run although it has.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
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

/// The part of the answers that is sent twice.
constexpr double kSecondAnswers = 0.03;
constexpr int kCannotRun = 2;

constexpr char kConfig[] =
    R"({"version":7,"routes":[{"name":"proof-fetch","host":"post.example",)"
    R"("pathPrefix":"/proof/","kind":"non_idempotent","timeoutMs":1000,)"
    R"("targetLatencyMs":150,"priority":2,"service":"postroom",)"
    R"("maxAttempts":1,"public":false}],"services":[{"name":"postroom",)"
    R"("healthPath":"/health","maxConnections":96,"protocol":"h1",)"
    R"("tls":false}],"limits":{"headerBytes":16384,)"
    R"("bodyBytes":4194304,"headerMs":3000,"idleMs":15000},)"
    R"("tenants":[{"name":"team","apiKeys":["key"],"priority":1,)"
    R"("unit":"tokens","plainTokens":200,"ratePerS":461393,)"
    R"("burst":461393}]})";

std::string ServerEntry(const Backend& server) {
  return R"({"service":"postroom","address":"127.0.0.1:)" +
         std::to_string(server.port()) +
         R"(","zone":"zone-a","version":"v1","slots":6,"state":"ready",)" +
         R"("coldRemainingMs":0,"sequence":4})";
}

/// The status that the client of each request got; 0 for none.
class Answers {
 public:
  void Set(const std::string& id, int status) {
    const std::lock_guard lock(mutex_);
    status_[id] = status;
  }
  std::map<std::string, int> All() const {
    const std::lock_guard lock(mutex_);
    return status_;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> status_;
};

void SendOne(const review::Entry& entry,
             const std::string& id,
             Record& record,
             Answers& answers) {
  constexpr int kPatienceMs = 1500;
  const auto connection = Connection::Dial(entry.clients);
  record.Line("sent " + id + " to " + entry.name);
  int status = 0;
  if (connection != nullptr) {
    connection->set_read_timeout(kPatienceMs);
    connection->Write(
        "POST /proof/2f HTTP/1.1\r\nHost: post.example\r\nRequest-Id: " + id +
        "\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer key\r\n"
        "Content-Length: 0\r\n\r\n");
    const review::Message answer = connection->Read();
    status = answer.whole ? answer.head.status() : 0;
  }
  record.Line("client of " + id + " gets " + std::to_string(status));
  answers.Set(id, status);
}

/// Sends the requests of users who come in groups, more at times.
class Users {
 public:
  Users(const Fleet& fleet, Record& record, Answers& answers)
      : fleet_(fleet), record_(record), answers_(answers) {}

  /// Sends groups for a time.
  void Come(int64_t for_ms, int64_t gap_ms) {
    const int64_t end = NowMs() + for_ms;
    while (NowMs() < end) {
      for (int i = 0; i < kGroup; ++i) {
        Send();
      }
      SleepMs(std::min(gap_ms, std::max<int64_t>(0, end - NowMs())));
    }
  }

  void Wait() const {
    constexpr int kPollMs = 10;
    while (open_ > 0) {
      SleepMs(kPollMs);
    }
  }

  int sent() const { return sent_; }

 private:
  static constexpr int kGroup = 12;

  void Send() {
    char id[32];
    std::snprintf(id, sizeof(id), "a1%08x", static_cast<unsigned>(++sent_));
    ++open_;
    const auto& entries = fleet_.entries();
    const review::Entry& entry =
        entries[static_cast<size_t>(sent_) % entries.size()];
    std::thread([this, &entry, id = std::string(id)] {
      SendOne(entry, id, record_, answers_);
      --open_;
    }).detach();
  }

  const Fleet& fleet_;
  Record& record_;
  Answers& answers_;
  int sent_ = 0;
  std::atomic<int> open_ = 0;
};

int Run(const std::string& directory, const std::string& record_file) {
  // Never destroyed: threads of the stand-ins use them up to the exit.
  static Record record(record_file);
  static Store store;
  static Answers answers;
  static Backend server({.id = "i-server", .slots = 6, .queue = 2}, record);
  store.Put("servers", server.id(), ServerEntry(server));
  store.Put("config", "main", kConfig);
  Fleet fleet(directory, {"zone-a", "zone-a", "zone-b", "zone-c"}, store.port(),
              {});
  constexpr int64_t kStartMs = 15000;
  if (!fleet.Start() || !fleet.WaitUntilReady(kStartMs)) {
    record.Line("the entries did not start");
    return kCannotRun;
  }
  static Users users(fleet, record, answers);
  // 34 requests a second, and 1.7 times as many in bursts of 3 s.
  constexpr int64_t kUsualGapMs = 353;
  constexpr int64_t kBurstGapMs = 210;
  constexpr int64_t kBurstMs = 3000;
  // The second answers come for 5 s at a time.
  constexpr int64_t kFaultMs = 5000;
  constexpr int64_t kPauseMs = 1000;
  constexpr int kRounds = 16;
  for (int round = 0; round < kRounds; ++round) {
    users.Come(kPauseMs, kUsualGapMs);
    server.SendSecondAnswers(review::HasTrouble() ? kSecondAnswers : 0);
    users.Come(kBurstMs, kBurstGapMs);
    users.Come(kFaultMs - kBurstMs, kUsualGapMs);
    server.SendSecondAnswers(0);
  }
  users.Wait();
  SleepMs(kPauseMs);
  const bool all_run = fleet.AllRun(record);
  fleet.EndAll();

  const std::map<std::string, int> runs = server.Runs();
  int answered = 0;
  int twice = 0;
  int false_promises = 0;
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  for (const auto& [id, status] : answers.All()) {
    const auto run = runs.find(id);
    const int times = run == runs.end() ? 0 : run->second;
    answered += status == kOk ? 1 : 0;
    if (times > 1) {
      ++twice;
      record.Line("TWICE " + id);
    }
    if (times > 0 && status == kUnavailable) {
      ++false_promises;
      record.Line("REFUSED " + id);
    }
  }
  record.Line("sent " + std::to_string(users.sent()) + ", answered " +
              std::to_string(answered) + ", answers of the server " +
              std::to_string(server.answers()) + ", second answers " +
              std::to_string(server.second_answers()) + ", ran twice " +
              std::to_string(twice) + ", refused though run " +
              std::to_string(false_promises));
  if (!all_run || answered == 0) {
    return kCannotRun;
  }
  return twice + false_promises > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kArguments = 3;
  if (argc != kArguments) {
    return kCannotRun;
  }
  std::_Exit(Run(argv[1], argv[2]));
}
