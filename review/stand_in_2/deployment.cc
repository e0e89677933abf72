#include "review/stand_in_2/deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>

namespace review {

namespace json = boost::json;

namespace {

constexpr char kProgram[] = "target/lavenderkeel-platform-entry";
constexpr auto kStartTime = std::chrono::seconds(20);

std::string MakeDirectory() {
  std::string path =
      std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  return mkdtemp(path.data()) == nullptr ? std::string() : path;
}

pid_t Spawn(const std::string& settings, const std::string& log) {
  const pid_t process = fork();
  if (process != 0) {
    return process;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execl(kProgram, kProgram, "--settings", settings.c_str(), nullptr);
  _exit(kCouldNotRun);
}

}  // namespace

Entry::Entry(const std::string& name,
             const std::string& directory,
             const std::string& store,
             const json::array& seeds) {
  const json::object settings = {
      {"instance", name},
      {"data_centre", "govan-hall"},
      {"region", "scot-central"},
      {"listen",
       {{"clients", clients_.address()},
        {"status", status_.address()},
        {"peers", peers_.address()},
        {"advertise", peers_.address()},
        {"ready_path", "/readiness"}}},
      {"seeds", seeds},
      {"store", store},
      {"limits",
       {{"memory_mb", 260}, {"descriptors", 4100}, {"processor_share", 0.19}}},
      {"bounds",
       {{"stop_s", kGraceSeconds},
        {"retry_window_s", 10},
        {"retry_ratio", 0.2},
        {"retry_extra", 52},
        {"rate_over", 0.1},
        {"rate_slack", 190000}}},
      {"load",
       {{"rates_by_rank", true},
        {"fair_shares", true},
        {"max_error_backoff_fraction", 0.3},
        {"other_data_centre_cost", 0.2}}}};
  const std::string file = directory + "/" + name + ".json";
  std::ofstream(file) << json::serialize(settings) << "\n";
  process_ = Spawn(file, directory + "/" + name + ".log");
}

Entry::~Entry() {
  if (killer_.joinable()) {
    killer_.join();
  }
  if (IsRunning()) {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
  }
}

bool Entry::IsReady() const {
  const int socket = Connection::Dial(status_.number());
  if (socket < 0) {
    return false;
  }
  Connection connection(socket);
  connection.Write("GET /readiness HTTP/1.1\r\nHost: status\r\n\r\n");
  const std::optional<Message> answer =
      connection.Read(Clock::now() + std::chrono::seconds(1));
  return answer.has_value() &&
         answer->first_line.find(" 200 ") != std::string::npos;
}

bool Entry::IsRunning() {
  ended_ = ended_ || waitpid(process_, nullptr, WNOHANG) == process_;
  return !ended_;
}

void Entry::Stop() {
  kill(process_, SIGTERM);
  killer_ = std::thread([this] {
    const TimePoint until = Clock::now() + std::chrono::seconds(kGraceSeconds);
    constexpr int kPollMs = 10;
    while (IsRunning()) {
      if (Clock::now() >= until) {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
        ended_ = true;
        return;
      }
      SleepMs(kPollMs);
    }
  });
}

Deployment::Deployment(Record& record)
    : record_(record), directory_(MakeDirectory()) {}

Deployment::~Deployment() {
  entries_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

void Deployment::ListServer(const std::string& id,
                            const std::string& service,
                            const Listener& server,
                            int slots) {
  store_.Put("servers", id,
             {{"service", service},
              {"address", server.address()},
              {"zone", "govan-hall"},
              {"version", "1"},
              {"slots", slots},
              {"state", "ready"},
              {"coldRemainingMs", 0},
              {"sequence", 1}});
}

bool Deployment::StartEntries(int count) {
  constexpr size_t kMaxSeeds = 3;
  constexpr int kPollMs = 20;
  json::array seeds;
  for (int i = 0; i < count; ++i) {
    const std::string name = "front-govan-hall-" + std::to_string(i + 1);
    entries_.push_back(
        std::make_unique<Entry>(name, directory_, store_.address(), seeds));
    if (seeds.size() < kMaxSeeds) {
      seeds.emplace_back(entries_.back()->peers());
    }
  }
  const TimePoint until = Clock::now() + kStartTime;
  for (const std::unique_ptr<Entry>& entry : entries_) {
    while (!entry->IsReady()) {
      if (Clock::now() > until || !entry->IsRunning()) {
        record_.Line("an entry did not become ready");
        return false;
      }
      SleepMs(kPollMs);
    }
  }
  // Traffic starts ten seconds after the machines do.
  constexpr int kLeadMs = 10000;
  SleepMs(kLeadMs);
  record_.Line(std::to_string(count) + " entries are ready");
  return true;
}

json::object MakeRoute(const std::string& name,
                       const std::string& kind,
                       const std::string& service) {
  return {{"name", name},
          {"host", "app.example"},
          {"pathPrefix", "/" + name + "/"},
          {"kind", kind},
          {"timeoutMs", 12000},
          {"targetLatencyMs", 600},
          {"gapTargetMs", 300},
          {"service", service},
          {"maxAttempts", 2},
          {"priority", 0}};
}

json::object MakeLimits(int body_bytes) {
  return {{"headerBytes", 16384},
          {"bodyBytes", body_bytes},
          {"headerMs", 5000},
          {"idleMs", 20000}};
}

std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        const std::string& body) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: app.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 12000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string MakeAnswerHead(const Message& request, const std::string& server) {
  const std::string id = request.Field("request-id");
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nResponse-Seal: " + server + "." + id + "\r\n";
}

std::string MakeAnswer(const Message& request,
                       const std::string& server,
                       const std::string& body) {
  return MakeAnswerHead(request, server) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
