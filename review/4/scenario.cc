// An entry is stopped in order while its servers pause in their streams.
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
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

constexpr int kEntries = 4;
constexpr int kServers = 3;
constexpr int kSlots = 5;
constexpr int kStreams = kServers * kSlots;
constexpr int kEvents = 30;
constexpr int kEventMs = 30;
/// Each stream pauses once, after this event.
constexpr int kEventBeforePause = 10;
constexpr int kPauseMs = 1500;
/// From the start of the streams to SIGTERM.
constexpr int kStopAfterMs = 150;

/// A model server. It stops a stream only if its connection ends.
class ModelServer {
 public:
  ModelServer(std::string id, Record& record)
      : id_(std::move(id)),
        record_(record),
        listener_([this](Connection& c) { Serve(c); }) {}

  const std::string& id() const { return id_; }
  const Listener& listener() const { return listener_; }

 private:
  void Serve(Connection& connection) {
    constexpr auto kIdleTime = std::chrono::seconds(60);
    while (const std::optional<Message> request =
               connection.Read(Clock::now() + kIdleTime)) {
      if (!Stream(connection, *request)) {
        return;
      }
    }
  }

  bool Stream(Connection& connection, const Message& request) {
    const std::string name = id_ + " " + request.Field("request-id");
    const std::string last = request.Field("last-event-id");
    record_.Line(name + " runs, after event " + (last.empty() ? "0" : last));
    bool open = connection.Write(MakeAnswerHead(request, id_) +
                                 "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n");
    const int first = (last.empty() ? 0 : std::stoi(last)) + 1;
    for (int i = first; open && i <= kEvents; ++i) {
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: tokens\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      open = connection.Write(size + event + "\r\n");
      const bool pauses = review::HasTrouble() && i == kEventBeforePause;
      review::SleepMs(pauses ? kPauseMs : kEventMs);
    }
    open = open && connection.Write("0\r\n\r\n");
    record_.Line(name + (open ? " is complete" : " is cut off by the entry"));
    return open;
  }

  std::string id_;
  Record& record_;
  Listener listener_;
};

/// Sends a stream request and reads its answer.
/// @return whether the answer is complete
bool RunClient(int port, const std::string& id, Record& record) {
  Connection connection(Connection::Dial(port));
  connection.Write(
      "POST /notice/check HTTP/1.1\r\nHost: app.example\r\nRequest-Id: " + id +
      "\r\nDeadline-Ms: 12000\r\nModel: m\r\nToken-Count: 1000,120\r\n"
      "Content-Length: 4\r\n\r\ntext");
  record.Line("client sends " + id);
  constexpr auto kDeadline = std::chrono::seconds(12);
  const std::optional<Message> answer =
      connection.Read(Clock::now() + kDeadline);
  record.Line("client " + id + ": " +
              (answer.has_value() ? answer->first_line
               : connection.timed_out()
                   ? "time limit"
                   : "the connection ends without a complete answer"));
  return answer.has_value() || connection.timed_out();
}

int Run(const std::string& path) {
  Record record(path);
  review::Deployment deployment(record);
  boost::json::object route =
      review::MakeRoute("notice", "streaming", "readers");
  route["streamResume"] = true;
  constexpr int kBodyBytes = 4 << 20;
  deployment.store().Put(
      "config", "main",
      {{"version", 1},
       {"routes", boost::json::array{route}},
       {"services", {{{"name", "readers"}, {"engine", {{"slots", kSlots}}}}}},
       {"limits", review::MakeLimits(kBodyBytes)}});
  std::vector<std::unique_ptr<ModelServer>> servers;
  for (int i = 1; i <= kServers; ++i) {
    servers.push_back(
        std::make_unique<ModelServer>("reader-" + std::to_string(i), record));
    deployment.ListServer(servers.back()->id(), "readers",
                          servers.back()->listener(), kSlots);
  }
  if (!deployment.StartEntries(kEntries)) {
    return review::kCouldNotRun;
  }
  std::atomic<int> lost = 0;
  std::vector<std::thread> clients;
  for (int i = 1; i <= kStreams; ++i) {
    clients.emplace_back([&, id = "stream-" + std::to_string(i)] {
      lost += RunClient(deployment.entry(0).port(), id, record) ? 0 : 1;
    });
  }
  review::SleepMs(kStopAfterMs);
  record.Line("SIGTERM to the entry");
  deployment.entry(0).Stop();
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line(std::to_string(lost) + " of " + std::to_string(kStreams) +
              " answers are incomplete");
  return lost > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return argc == 2 ? Run(argv[1]) : review::kCouldNotRun;
}
