#include "review/stand_in/scene.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <thread>

namespace review {

namespace {

/// The program of the role `entry` in the deploy file.
constexpr char kProgram[] = "target/lavenderkeel-platform-entry";

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

std::string Address(int port) {
  return "\"127.0.0.1:" + std::to_string(port) + "\"";
}

}  // namespace

int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  file_ << NowMs() << " " << text << "\n" << std::flush;
}

Fleet::Fleet(std::string directory,
             const std::vector<std::string>& zones,
             int store_port,
             const Bounds& bounds)
    : directory_(std::move(directory)),
      store_port_(store_port),
      bounds_(bounds) {
  constexpr size_t kPorts = 3;
  const std::vector<int> ports = FreePorts(kPorts * zones.size());
  for (size_t i = 0; i < zones.size(); ++i) {
    entries_.push_back({.name = "front-" + std::to_string(i + 1),
                        .zone = zones[i],
                        .clients = ports[kPorts * i],
                        .status = ports[kPorts * i + 1],
                        .peers = ports[kPorts * i + 2]});
  }
}

Fleet::~Fleet() {
  EndAll();
}

std::string Fleet::SettingsOf(const Entry& entry) const {
  // The fields and fixed values of platform/settings.template.
  std::string seeds;
  constexpr size_t kSeeds = 3;
  for (size_t i = 0; i < std::min(kSeeds, entries_.size()); ++i) {
    seeds += (i == 0 ? "" : ",") + Address(entries_[i].peers);
  }
  return R"({"instance": )" + Quoted(entry.name) + R"(, "data_centre": )" +
         Quoted(entry.zone) +
         R"(, "region": "region", "listen": {"clients": )" +
         Address(entry.clients) + R"(, "status": )" + Address(entry.status) +
         R"(, "peers": )" + Address(entry.peers) + R"(, "advertise": )" +
         Address(entry.peers) + R"(, "ready_path": "/readiness"}, "seeds": [)" +
         seeds + R"(], "store": )" + Address(store_port_) +
         R"(, "limits": {"memory_mb": 260, "processor_share": 0.19}, )" +
         R"("bounds": {"stop_s": )" + std::to_string(bounds_.stop_s) +
         R"(, "retry_window_s": )" + std::to_string(bounds_.retry_window_s) +
         R"(, "retry_ratio": )" + std::to_string(bounds_.retry_ratio) +
         R"(, "retry_extra": )" + std::to_string(bounds_.retry_extra) +
         R"(, "rate_over": )" + std::to_string(bounds_.rate_over) +
         R"(, "rate_slack": )" + std::to_string(bounds_.rate_slack) +
         R"(}, "load": {"rates_by_rank": true, "fair_shares": true, )" +
         R"("max_error_backoff_fraction": 0.3, "other_data_centre_cost": 0.2}})";
}

bool Fleet::StartEntry(Entry& entry) const {
  const std::string settings = directory_ + "/" + entry.name + ".json";
  const std::string log = directory_ + "/" + entry.name + ".log";
  std::ofstream(settings) << SettingsOf(entry) << "\n";
  entry.process = fork();
  if (entry.process == 0) {
    // The process must not outlive the test.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr int kMode = 0644;
    const int file =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execl(kProgram, kProgram, "--settings", settings.c_str(), nullptr);
    _exit(EXIT_FAILURE);
  }
  return entry.process > 0;
}

bool Fleet::Start() {
  return access(kProgram, X_OK) == 0 &&
         std::ranges::all_of(
             entries_, [this](Entry& entry) { return StartEntry(entry); });
}

bool Fleet::IsReady(const Entry& entry) {
  const auto connection = Connection::Dial(entry.status);
  if (connection == nullptr) {
    return false;
  }
  constexpr int kMaxWaitMs = 1000;
  connection->set_read_timeout(kMaxWaitMs);
  constexpr int kOk = 200;
  return connection->Write(
             "GET /readiness HTTP/1.1\r\nHost: entry\r\n"
             "Connection: close\r\n\r\n") &&
         connection->Read().head.status() == kOk;
}

bool Fleet::WaitUntilReady(int64_t ms) const {
  const int64_t end = NowMs() + ms;
  while (!std::ranges::all_of(entries_, IsReady)) {
    if (NowMs() > end) {
      return false;
    }
    constexpr int kPollMs = 50;
    SleepMs(kPollMs);
  }
  return true;
}

bool Fleet::AllRun(Record& record) {
  bool all_run = true;
  for (Entry& entry : entries_) {
    int status = 0;
    if (entry.process <= 0 || waitpid(entry.process, &status, WNOHANG) != 0) {
      record.Line(entry.name + " has ended, wait status " +
                  std::to_string(status));
      entry.process = -1;
      all_run = false;
    }
  }
  return all_run;
}

void Fleet::EndAll() {
  for (Entry& entry : entries_) {
    if (entry.process > 0) {
      kill(entry.process, SIGKILL);
      waitpid(entry.process, nullptr, 0);
      entry.process = -1;
    }
  }
}

}  // namespace review
