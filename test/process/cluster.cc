#include "test/process/cluster.h"

#include <unistd.h>

#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>

#include "lavenderkeel/base.h"
#include "lavenderkeel/config/sha256.h"

namespace lavenderkeel::test {

namespace json = boost::json;

namespace {

constexpr char kTeamKey[] = "board-key";
constexpr char kOperatorKey[] = "operator-key";
/// Far longer than any expected wait; expires only if the condition never
/// holds.
constexpr Duration kWaitTimeout = std::chrono::seconds(90);

}  // namespace

std::string Cluster::ConfigText(const std::string& marker) {
  return R"({"tiers": [{"name": "collection", "rank": 0, "deadline_bound": true},
                       {"name": "lookup", "rank": 1}],
    "work": [{"name": "check", "tier": "collection"},
             {"name": "lookup", "tier": "lookup", "repeatable": true}],
    "teams": [{"name": "board", "key_sha256": ")" +
         Sha256Hex(kTeamKey) + R"(", "work": ["check", "lookup"]},
              {"name": "other", "key_sha256": ")" +
         Sha256Hex("other-key") + R"(", "work": ["check"]}],
    "presets": [{"name": "ordinary"}, {"name": "peak"},
                {"name": "maintenance", "closed_tiers": ["lookup"]}],
    "initial_preset": "ordinary", "models": ["m", ")" +
         marker + "\"]}";
}

Cluster::Cluster(Options options)
    : options_(std::move(options)), http_(loop_), random_(getpid()) {
  // Stops the loop periodically, so that Wait can test its condition.
  loop_.Every(std::chrono::milliseconds(5), [this] { loop_.Stop(); });
  const std::string bin = LAVENDERKEEL_BINARY_DIR;
  processes_.Spawn("platform", {bin + "/fake_platform", "127.0.0.1:0",
                                processes_.ReadyFile("platform")});
  WaitReadyFile("platform");
  for (size_t i = 0; i < options_.agents; ++i) {
    const std::string name = "engine-" + std::to_string(i);
    processes_.Spawn(
        name, {bin + "/fake_engine", "engine", "127.0.0.1:0",
               processes_.ReadyFile(name), std::to_string(options_.step_ms)});
    WaitReadyFile(name);
    relays_.push_back(std::make_unique<Relay>(loop_));
  }
  for (size_t i = 0; i < options_.entries; ++i) {
    StartEntry(i);
  }
  for (size_t i = 0; i < options_.agents; ++i) {
    StartAgent(i);
  }
  Admin(0, "POST", "/admin/v1/config", ConfigText("first"));
  for (size_t i = 0; i < options_.entries; ++i) {
    WaitReady(i);
  }
  WaitLinked();
}

Cluster::~Cluster() = default;

bool Cluster::WaitReadyFile(const std::string& name) {
  return Wait([&] { return processes_.HasReadyFile(name); });
}

void Cluster::StartEntry(size_t index, const std::string& seed) {
  const std::string name = "entry-" + std::to_string(index);
  const std::string settings = processes_.directory() + "/" + name + ".json";
  json::object tuning{{"list_period_ms", 500}};
  const json::value extra = json::parse("{" + options_.entry_tuning + "}");
  for (const auto& field : extra.as_object()) {
    tuning[field.key()] = field.value();
  }
  std::ofstream(settings) << json::serialize(json::object{
      {"instance", name},
      {"data_centre", index % 2 == 0 ? "govan" : "dundee"},
      {"listen",
       json::object{{"callers", "127.0.0.1:0"}, {"peers", "127.0.0.1:0"}}},
      {"platform", PlatformAddress()},
      {"seeds", seed.empty() ? json::array() : json::array{seed}},
      {"operator_key_sha256", Sha256Hex(kOperatorKey)},
      {"tuning", tuning}});
  processes_.Spawn(
      name,
      {std::string(LAVENDERKEEL_BINARY_DIR) + "/lavenderkeel-entry",
       "--settings=" + settings, "--ready_file=" + processes_.ReadyFile(name)});
  WaitReadyFile(name);
}

void Cluster::StartAgent(size_t index) {
  const std::string name = "agent-" + std::to_string(index);
  const std::string settings = processes_.directory() + "/" + name + ".json";
  json::object listen{{"peers", "127.0.0.1:0"}};
  if (options_.relayed) {
    listen["advertise"] = relays_[index]->address();
  }
  std::ofstream(settings) << json::serialize(json::object{
      {"instance", name},
      {"data_centre", index % 2 == 0 ? "govan" : "dundee"},
      {"listen", listen},
      {"server",
       json::object{{"kind", "engine"}, {"address", EngineAddress(index)}}},
      {"platform", PlatformAddress()},
      {"tuning", json::parse("{" + options_.agent_tuning + "}")}});
  processes_.Spawn(
      name,
      {std::string(LAVENDERKEEL_BINARY_DIR) + "/lavenderkeel-agent",
       "--settings=" + settings, "--ready_file=" + processes_.ReadyFile(name)});
  WaitReadyFile(name);
  relays_[index]->set_target(Address(name, "peers"));
}

void Cluster::Signal(const std::string& name, int signal) {
  if (signal == SIGKILL) {
    processes_.Kill(name);
  } else {
    processes_.Signal(name, signal);
  }
}

int Cluster::Join(const std::string& name) {
  std::optional<int> status;
  Wait([&] {
    status = processes_.TryJoin(name);
    return status.has_value();
  });
  return status.value_or(-1);
}

bool Cluster::IsRunning(const std::string& name) const {
  return processes_.IsRunning(name);
}

bool Cluster::Wait(const std::function<bool()>& condition) {
  const TimePoint end = SystemClock().Now() + kWaitTimeout;
  while (!condition()) {
    if (SystemClock().Now() > end) {
      return false;
    }
    loop_.Run();
  }
  return true;
}

std::string Cluster::Address(const std::string& name,
                             const std::string& port) const {
  return processes_.Address(name, port);
}

std::string Cluster::NewKey() {
  return RequestKey::Mint(SystemClock().WallNow(), random_).ToString();
}

std::shared_ptr<Exchange> Cluster::Send(HttpClient::Call call, bool stream) {
  auto exchange = std::make_shared<Exchange>();
  if (stream) {
    call.on_data = [exchange](std::string_view bytes) {
      exchange->stream += bytes;
    };
  }
  if (call.timeout < kWaitTimeout) {
    call.timeout = kWaitTimeout;
  }
  call.on_done = [exchange](const HttpResult& result) {
    exchange->done = true;
    exchange->result = result;
  };
  http_.Start(std::move(call));
  return exchange;
}

std::shared_ptr<Exchange> Cluster::SubmitRequest(size_t entry,
                                                 const std::string& key,
                                                 const std::string& work,
                                                 int tokens,
                                                 bool stream,
                                                 const std::string& prompt,
                                                 Duration deadline) {
  HttpClient::Call call{
      .address = EntryAddress(entry),
      .method = "POST",
      .path = "/v1/completions",
      .headers = {{"Authorization", std::string("Bearer ") + kTeamKey},
                  {"Lavenderkeel-Work", work}},
      .body = json::serialize(json::object{{"model", "m"},
                                           {"prompt", prompt},
                                           {"max_tokens", tokens},
                                           {"stream", stream}})};
  if (!key.empty()) {
    call.headers.emplace_back("Idempotency-Key", key);
  }
  if (deadline > Duration::zero()) {
    call.headers.emplace_back("Lavenderkeel-Deadline-Ms",
                              std::to_string(ToMilliseconds(deadline)));
  }
  return Send(std::move(call), stream);
}

HttpResult Cluster::Call(const std::string& address,
                         const std::string& method,
                         const std::string& path,
                         const std::string& body,
                         const std::string& bearer) {
  HttpClient::Call call{
      .address = address, .method = method, .path = path, .body = body};
  if (!bearer.empty()) {
    call.headers.emplace_back("Authorization", "Bearer " + bearer);
  }
  const auto exchange = Send(std::move(call));
  Wait([&] { return exchange->done; });
  return exchange->result;
}

HttpResult Cluster::Admin(size_t entry,
                          const std::string& method,
                          const std::string& path,
                          const std::string& body) {
  return Call(EntryAddress(entry), method, path, body, kOperatorKey);
}

bool Cluster::WaitReady(size_t entry) {
  return Wait([&] {
    return Call(EntryAddress(entry), "GET", "/readyz").status == 200;
  });
}

bool Cluster::WaitLinked() {
  return Wait([&] {
    for (size_t i = 0; i < options_.entries; ++i) {
      const HttpResult status = Admin(i, "GET", "/admin/v1/status");
      const json::value parsed = json::parse(status.body);
      size_t live = 0;
      for (const json::value& item : parsed.at("instances").as_array()) {
        live += item.at("state").as_string() == "live";
      }
      if (live + 1 < options_.entries + options_.agents) {
        return false;
      }
    }
    return true;
  });
}

uint64_t Cluster::Starts() {
  uint64_t starts = 0;
  for (size_t i = 0; i < options_.agents; ++i) {
    starts += std::strtoull(
        Call(EngineAddress(i), "GET", "/starts").body.c_str(), nullptr, 10);
  }
  return starts;
}

uint64_t Cluster::VersionAt(size_t entry) {
  const HttpResult status = Admin(entry, "GET", "/admin/v1/status");
  return json::parse(status.body).at("version").to_number<uint64_t>();
}

std::string Cluster::Log(const std::string& name) const {
  return processes_.Log(name);
}

}  // namespace lavenderkeel::test
