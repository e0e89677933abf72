#include "test/process/platform_processes.h"

#include <fstream>

namespace lavenderkeel::test {

namespace {

std::string Route(const std::string& name,
                  const std::string& kind,
                  Duration timeout) {
  return R"({"name": ")" + name + R"(", "host": "127.0.0.1",
      "pathPrefix": "/)" +
         name + R"(/", "kind": ")" + kind + R"(", "timeoutMs": )" +
         std::to_string(ToMilliseconds(timeout)) +
         R"(, "targetLatencyMs": 300, "gapTargetMs": 300, "service": "s",
      "maxAttempts": 3})";
}

std::string Program(const std::string& name) {
  return std::string(LAVENDERKEEL_BINARY_DIR) + "/" + name;
}

}  // namespace

PlatformProcesses::PlatformProcesses() {
  loop_.Every(std::chrono::milliseconds(4), [this] { loop_.Stop(); });
  processes_.Spawn("store", {Program("fake_store"), "127.0.0.1:0",
                             processes_.ReadyFile("store")});
  Wait([this] { return processes_.HasReadyFile("store"); });
}

void PlatformProcesses::StartBackend(const std::string& name) {
  processes_.Spawn(
      name, {Program("fake_backend"), "127.0.0.1:0", processes_.ReadyFile(name),
             name, processes_.directory() + "/" + name});
  Wait([&] { return processes_.HasReadyFile(name); });
}

void PlatformProcesses::StartEntry(const std::string& settings) {
  const std::string file = processes_.directory() + "/entry.json";
  std::ofstream(file) << R"({"instance": "entry", "data_centre": "here",
      "listen": {"clients": "127.0.0.1:0", "status": "127.0.0.1:0",
                 "peers": "127.0.0.1:0"}, "seeds": [], )"
                      << settings << R"("store": ")"
                      << processes_.Address("store", "http") << "\"}";
  processes_.Spawn(
      "entry", {Program("lavenderkeel-platform-entry"), "--settings=" + file,
                "--ready_file=" + processes_.ReadyFile("entry")});
  Wait([this] {
    return processes_.Log("entry").find("event=servers_listed") !=
           std::string::npos;
  });
}

void PlatformProcesses::PutConfig(Duration timeout) {
  Put("config/main", R"({"version": 1, "routes": [)" +
                         Route("once", "non_idempotent", timeout) + "," +
                         Route("lookup", "idempotent", timeout) + "," +
                         Route("stream", "streaming", timeout) +
                         R"(], "services": [{"name": "s"}],
             "tenants": [{"name": "t", "apiKeys": ["key"]}]})");
}

void PlatformProcesses::ListServer(const std::string& id,
                                   const std::string& address,
                                   const std::string& state) {
  Put("servers/" + id, R"({"service": "s", "address": ")" + address +
                           R"(", "zone": "here", "slots": 4, "state": ")" +
                           state + R"("})");
}

size_t PlatformProcesses::EntryPeakKiB() const {
  return PeakKiB(processes_.Pid("entry"));
}

void PlatformProcesses::Put(const std::string& object,
                            const std::string& content) {
  bool done = false;
  http_.Start({.address = processes_.Address("store", "http"),
               .method = "PUT",
               .path = "/objects/" + object,
               .body = content,
               .on_done = [&done](const HttpResult&) { done = true; }});
  Wait([&done] { return done; });
}

bool PlatformProcesses::Wait(const std::function<bool()>& condition) {
  const SystemClock clock;
  const TimePoint end = clock.Now() + std::chrono::seconds(60);
  while (!condition()) {
    if (clock.Now() > end) {
      return false;
    }
    loop_.Run();
  }
  return true;
}

}  // namespace lavenderkeel::test
