// Backend servers that send bytes without end, before a real entry.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "test/fakes/scripted_server.h"
#include "test/process/platform_processes.h"

namespace lavenderkeel::test {

namespace {

/// An answer that begins like one and goes on without end.
struct EndlessAnswer {
  std::string name;
  /// ID stands for the id of the request.
  std::string begin;
  std::string repeated;
};

std::vector<EndlessAnswer> EndlessAnswers() {
  const std::string line(1000, 'x');
  const std::string sealed =
      "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "3e8\r\n" + line + "\r\n";
  return {{"no head", "", line},
          {"field", "HTTP/1.1 200 OK\r\nX: ", line},
          {"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
          {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
          {"answers to others", "",
           "HTTP/1.1 200 OK\r\nRequest-Id: o\r\nContent-Length: 2\r\n\r\nok"},
          {"line of a chunk", sealed + chunked + "5;x=", line},
          {"trailer", sealed + chunked + "0\r\nX: ", line},
          {"body", sealed + chunked, chunk},
          {"body until close", sealed + "Connection: close\r\n\r\n", line},
          {"event", sealed + "Content-Type: text/event-stream\r\n" + chunked,
           chunk},
          {"rejection",
           "HTTP/1.1 503 No\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n" + chunked,
           chunk}};
}

/// An entry, a fake store, a sound server and one that answers without end.
class EndlessProcesses : public PlatformProcesses {
 public:
  struct Outcome {
    int outcomes = 0;
    int status = 0;
    std::string id;
    std::string body;
  };

  explicit EndlessProcesses(const EndlessAnswer& answer)
      : endless_(loop(), [this, answer](int connection, std::string_view head) {
          std::string begin = answer.begin;
          if (const size_t at = begin.find("ID\r\n"); at != std::string::npos) {
            begin.replace(at, 2, fakes::ScriptedServer::RequestIdOf(head));
          }
          endless_.Send(connection, begin);
          endless_.SendWithoutEnd(connection, answer.repeated);
          return std::string();
        }) {
    PutConfig(std::chrono::seconds(4));
    StartBackend("sound");
    ListServer("sound", processes().Address("sound", "http"), "ready");
    ListServer("endless", endless_.address(), "ready");
    StartEntry(/*settings=*/"");
  }

  /// Sends requests and waits for their outcomes.
  const std::vector<std::unique_ptr<Outcome>>& SendAll(int count) {
    outcomes_.clear();
    constexpr const char* kRoutes[] = {"once", "lookup", "stream"};
    for (int i = 0; i < count; ++i) {
      Send(kRoutes[static_cast<size_t>(i) % std::size(kRoutes)]);
    }
    Wait([this] {
      return std::ranges::all_of(
          outcomes_, [](const auto& outcome) { return outcome->outcomes > 0; });
    });
    return outcomes_;
  }

  /// Takes the server that answers without end out of use.
  void RemoveEndless() {
    ListServer("endless", endless_.address(), "draining");
    constexpr Duration kTimeUntilKnown = std::chrono::seconds(2);
    const TimePoint end = clock_.Now() + kTimeUntilKnown;
    Wait([&] { return clock_.Now() > end; });
  }

  bool IsEndlessClosed() {
    return Wait([this] { return endless_.open() == 0; });
  }
  int endless_connections() const { return endless_.accepted(); }
  bool IsEntryRunning() const { return processes().IsRunning("entry"); }

 private:
  void Send(const std::string& route) {
    outcomes_.push_back(std::make_unique<Outcome>());
    Outcome& outcome = *outcomes_.back();
    outcome.id = "q" + std::to_string(++sent_);
    http().Start({.address = processes().Address("entry", "clients"),
                  .path = "/" + route + "/x",
                  .headers = {{"Request-Id", outcome.id},
                              {"Authorization", "Bearer key"},
                              {"Deadline-Ms", "4000"}},
                  .timeout = std::chrono::seconds(10),
                  .max_body_bytes = size_t{256} << 20,
                  .on_done = [&outcome](const HttpResult& result) {
                    ++outcome.outcomes;
                    outcome.status = result.status;
                    outcome.body = result.body;
                  }});
  }

  SystemClock clock_;
  fakes::ScriptedServer endless_;
  std::vector<std::unique_ptr<Outcome>> outcomes_;
  uint64_t sent_ = 0;
};

}  // namespace

// Guards against an answer without end that exhausts the memory, keeps its
// connection, or takes requests from other servers.
BOOST_AUTO_TEST_CASE(EndlessAnswersAreBoundedAndOthersAreServed) {
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    BOOST_TEST_CONTEXT(answer.name) {
      EndlessProcesses processes(answer);
      constexpr int kRequests = 60;
      int served = 0;
      for (const auto& outcome : processes.SendAll(kRequests)) {
        BOOST_TEST(outcome->outcomes == 1);
        const bool whole = outcome->body == "answer to " + outcome->id ||
                           outcome->body.find("id: 12\ndata: " + outcome->id +
                                              "\n\n") != std::string::npos;
        served += outcome->status == 200 && whole ? 1 : 0;
      }
      // Half of the requests at least have the sound server.
      BOOST_TEST(served >= kRequests / 2);
      BOOST_TEST(processes.endless_connections() > 0);
      BOOST_TEST(processes.IsEndlessClosed());
      BOOST_TEST(processes.IsEntryRunning());
      constexpr size_t kMaxKiB = size_t{160} << 10;
      BOOST_TEST(processes.EntryPeakKiB() < kMaxKiB);
      processes.RemoveEndless();
      for (const auto& outcome : processes.SendAll(kRequests)) {
        BOOST_TEST(outcome->status == 200);
      }
    }
  }
}

}  // namespace lavenderkeel::test
