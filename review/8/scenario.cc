// The configuration raises a limit while clients keep their connections.
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "review/stand_in_2/deployment.h"
#include "review/stand_in_2/net.h"
#include "review/stand_in_2/record.h"

namespace {

using review::Clock;
using review::Connection;
using review::Listener;
using review::Message;
using review::Record;

constexpr int kEntries = 2;
constexpr int kSlots = 6;
constexpr int kClients = 20;
constexpr int kFormerBodyBytes = 64 << 10;
constexpr int kBodyBytes = 4 << 20;
constexpr size_t kUploadBytes = 100 << 10;
/// `configApplyMs` of a small deployment, and a reserve.
constexpr int kApplyMs = 2000 + 3000;
constexpr auto kDeadline = std::chrono::seconds(12);
/// DENIED: more than this and one in 500 of all requests.
constexpr int kAllowed = 5;
constexpr int kRequestsPerAllowed = 500;

void Serve(Connection& connection) {
  constexpr auto kIdleTime = std::chrono::seconds(60);
  while (const std::optional<Message> request =
             connection.Read(Clock::now() + kIdleTime)) {
    if (!connection.Write(
            MakeAnswer(*request, "portal-1", std::string(800, 'x')))) {
      return;
    }
  }
}

boost::json::object MakeConfig(int version, int body_bytes) {
  return {
      {"version", version},
      {"routes", boost::json::array{review::MakeRoute("order", "non_idempotent",
                                                      "portal")}},
      {"services", boost::json::array{boost::json::object{{"name", "portal"}}}},
      {"limits", review::MakeLimits(body_bytes)}};
}

/// @return the status of the answer; empty if there is none
std::string Ask(Connection& connection,
                const std::string& id,
                size_t bytes,
                Record& record) {
  connection.Write(
      review::MakeRequest("POST", "/order/book", id, std::string(bytes, 'x')));
  const std::optional<Message> answer =
      connection.Read(Clock::now() + kDeadline);
  const std::string line = answer.has_value() ? answer->first_line : "none";
  record.Line("client sends " + id + ", " + std::to_string(bytes) +
              " bytes: " + line);
  return answer.has_value() ? line.substr(line.find(' ') + 1, 3) : "";
}

int Run(const std::string& path) {
  Record record(path);
  review::Deployment deployment(record);
  const bool changes = review::HasTrouble();
  deployment.store().Put(
      "config", "main", MakeConfig(1, changes ? kFormerBodyBytes : kBodyBytes));
  const Listener server(Serve);
  deployment.ListServer("portal-1", "portal", server, kSlots);
  if (!deployment.StartEntries(kEntries)) {
    return review::kCouldNotRun;
  }
  std::vector<std::unique_ptr<Connection>> connections;
  int requests = 0;
  int denied = 0;
  const auto ask = [&](size_t client, const char* kind, size_t bytes) {
    ++requests;
    const std::string status =
        Ask(*connections.at(client), kind + std::to_string(client + 1), bytes,
            record);
    denied += status == "413" ? 1 : 0;
    return status == "200";
  };
  for (size_t i = 0; i < kClients; ++i) {
    const int port = deployment.entry(i % kEntries).port();
    connections.push_back(std::make_unique<Connection>(Connection::Dial(port)));
    constexpr size_t kSmallBytes = 600;
    if (!ask(i, "small-", kSmallBytes)) {
      return review::kCouldNotRun;
    }
  }
  if (changes) {
    deployment.store().Put("config", "main", MakeConfig(4, kBodyBytes));
    record.Line("the store confirms version 4, with larger bodies");
  }
  review::SleepMs(kApplyMs);
  for (size_t i = 0; i < kClients; ++i) {
    ask(i, "large-", kUploadBytes);
  }
  record.Line(std::to_string(denied) + " of " + std::to_string(requests) +
              " requests were answered with 413");
  return denied > kAllowed + requests / kRequestsPerAllowed ? review::kBroken
                                                            : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return argc == 2 ? Run(argv[1]) : review::kCouldNotRun;
}
