// Backend servers that run requests and answer as if they had not, before a
// real entry. The servers' own records are compared with what clients got.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "test/fakes/scripted_server.h"
#include "test/process/platform_processes.h"

namespace lavenderkeel::test {

namespace {

constexpr char kServer[] = "odd";

enum class End { kOpen, kClose, kReset };

/// How a server handles all requests.
struct Behaviour {
  std::string name;
  /// Whether the server runs the requests.
  bool runs = true;
  /// ID stands for the id of the request, SELF for that of the server.
  std::string answer;
  End end = End::kOpen;
};

std::string Head(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\n" + fields;
}

std::string Answer(const std::string& status, const std::string& fields) {
  return Head(status, fields) + "Content-Length: 4\r\n\r\nbody";
}

constexpr char kSealed[] = "Request-Id: ID\r\nResponse-Seal: s\r\n";
constexpr char kRejects[] = "Request-Id: ID\r\nNot-Executed: 1\r\n";

std::vector<Behaviour> Behaviours() {
  const std::string sealed = kSealed;
  const std::string rejects = kRejects;
  const std::string id = "Request-Id: ID\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  constexpr size_t kLarge = size_t{300} << 10;
  return {
      {.name = "own 503", .answer = Answer("503 Busy", sealed)},
      {.name = "own 429", .answer = Answer("429 Slow", sealed)},
      {.name = "own 408", .answer = Answer("408 Late", sealed)},
      {.name = "own 421", .answer = Answer("421 Other", sealed)},
      {.name = "own 503 with Retry-After",
       .answer = Answer("503 Busy", sealed + "Retry-After: 1\r\n")},
      {.name = "large own 503",
       .answer = Head("503 Busy", sealed + "Content-Length: " +
                                      std::to_string(kLarge) + "\r\n\r\n") +
                 std::string(kLarge, 'x')},
      {.name = "own 503 until the end of the connection",
       .answer = Head("503 Busy", sealed + "Connection: close\r\n\r\nbody"),
       .end = End::kClose},
      {.name = "503 without a receipt", .answer = Answer("503 Busy", id)},
      {.name = "statement beside success",
       .answer = Answer("200 OK", sealed + "Not-Executed: 1\r\n")},
      {.name = "statement beside an error",
       .answer = Answer("500 No", sealed + "Not-Executed: 1\r\n")},
      {.name = "statement beside a receipt",
       .answer = Answer("503 Busy", sealed + "Not-Executed: 1\r\n")},
      {.name = "negative statement",
       .answer = Answer("503 Busy", id + "Not-Executed: 0\r\n")},
      {.name = "two statements",
       .answer = Answer("503 Busy", rejects + "Not-Executed: 0\r\n")},
      {.name = "two ids",
       .answer = Answer("503 Busy", "Request-Id: other\r\n" + rejects)},
      {.name = "421 of the server that was meant",
       .answer = Answer("421 Other", id + "Instance-Id: SELF\r\n")},
      {.name = "statement in a trailer",
       .answer = Head("503 Busy", id + "Trailer: Not-Executed\r\n" + chunked) +
                 "4\r\nbody\r\n0\r\nNot-Executed: 1\r\n\r\n"},
      {.name = "statement in an interim response",
       .answer =
           Head("103 Early", rejects) + "\r\n" + Answer("500 No", sealed)},
      {.name = "statement in an interim response, then the end",
       .answer = Head("103 Early", rejects) + "\r\n",
       .end = End::kClose},
      {.name = "head cut within the statement",
       .answer = Head("503 Busy", id + "Not-Execu"),
       .end = End::kClose},
      {.name = "head cut before its end",
       .answer = Head("503 Busy", rejects),
       .end = End::kClose},
      {.name = "head cut before its end by a reset",
       .answer = Head("503 Busy", rejects),
       .end = End::kReset},
      {.name = "end without an answer", .answer = "", .end = End::kClose},
      {.name = "reset without an answer", .answer = "", .end = End::kReset},
      {.name = "rejection",
       .runs = false,
       .answer = Answer("503 Busy", rejects)},
      {.name = "rejection without an id",
       .runs = false,
       .answer = Answer("503 Busy", "Not-Executed: 1\r\n")},
      {.name = "429 that states it",
       .runs = false,
       .answer = Answer("429 Slow", rejects)},
      {.name = "421 of another server",
       .runs = false,
       .answer = Answer("421 Other", "Instance-Id: other\r\n")},
      {.name = "cut rejection",
       .runs = false,
       .answer = Head("503 Busy", rejects + "Content-Length: 100\r\n\r\nbody"),
       .end = End::kReset},
  };
}

void ReplaceAll(const std::string& from,
                const std::string& to,
                std::string& text) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

/// An entry, a fake store and a server with one behaviour.
class RefusedProcesses : public PlatformProcesses {
 public:
  struct Client {
    std::string route;
    int outcomes = 0;
    HttpResult result;
  };

  explicit RefusedProcesses(const Behaviour& behaviour)
      : behaviour_(behaviour),
        server_(loop(), [this](int connection, std::string_view head) {
          Handle(connection, head);
          return std::string();
        }) {
    PutConfig(std::chrono::seconds(4));
    ListServer(kServer, server_.address(), "ready");
    StartEntry(/*settings=*/"");
  }

  /// Sends requests one after the other, so that some use a connection again.
  /// The server answers before it has read the bodies.
  void SendAll(int count, const std::string& body) {
    constexpr const char* kRoutes[] = {"once", "lookup"};
    for (int i = 0; i < count; ++i) {
      const std::string id = "q" + std::to_string(i);
      Client& client = clients_[id];
      client.route = kRoutes[i % 2];
      http().Start({.address = processes().Address("entry", "clients"),
                    .method = "POST",
                    .path = "/" + client.route + "/x",
                    .headers = {{"Request-Id", id},
                                {"Authorization", "Bearer key"},
                                {"Deadline-Ms", "1000"}},
                    .body = body,
                    .timeout = std::chrono::seconds(10),
                    .on_done = [&client](const HttpResult& result) {
                      ++client.outcomes;
                      client.result = result;
                    }});
      Wait([&client] { return client.outcomes > 0; });
    }
  }

  const std::map<std::string, Client>& clients() const { return clients_; }
  int runs(const std::string& id) const {
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }
  size_t requests_run() const { return runs_.size(); }

 private:
  void Handle(int connection, std::string_view request) {
    const std::string id = fakes::ScriptedServer::RequestIdOf(request);
    runs_[id] += behaviour_.runs ? 1 : 0;
    std::string answer = behaviour_.answer;
    ReplaceAll("ID\r\n", id + "\r\n", answer);
    ReplaceAll("SELF", kServer, answer);
    server_.Send(connection, answer);
    if (behaviour_.end != End::kOpen) {
      server_.CloseAfterWriting(connection, behaviour_.end == End::kReset);
    }
  }

  Behaviour behaviour_;
  fakes::ScriptedServer server_;
  std::map<std::string, Client> clients_;
  std::map<std::string, int> runs_;
};

/// Whether the status tells a client that its request did not run.
bool PromisesNotRun(int status) {
  constexpr int kPromises[] = {408, 421, 429, 503};
  return std::ranges::find(kPromises, status) != std::end(kPromises);
}

/// @param expects_promises whether clients learn it if their requests did not
///     run
void CheckPromises(const Behaviour& behaviour,
                   const std::string& body,
                   bool expects_promises) {
  RefusedProcesses processes(behaviour);
  constexpr int kRequests = 8;
  processes.SendAll(kRequests, body);
  int ran_once_at_most = 0;
  int false_promises = 0;
  int promises = 0;
  for (const auto& [id, client] : processes.clients()) {
    const int runs = processes.runs(id);
    const bool promised = PromisesNotRun(client.result.status);
    ran_once_at_most += client.route != "once" || runs <= 1 ? 1 : 0;
    false_promises += promised && runs > 0 ? 1 : 0;
    promises += promised ? 1 : 0;
  }
  BOOST_TEST(ran_once_at_most == kRequests);
  BOOST_TEST(false_promises == 0);
  if (!behaviour.runs && expects_promises) {
    BOOST_TEST(promises == kRequests);
  }
}

}  // namespace

// Guards against a request that a client may send again, although it ran, and
// against the opposite where a server states that it did not.
BOOST_AUTO_TEST_CASE(RefusedRequestsDidNotRun) {
  for (const Behaviour& behaviour : Behaviours()) {
    BOOST_TEST_CONTEXT(behaviour.name) {
      CheckPromises(behaviour, /*body=*/"", /*expects_promises=*/true);
    }
  }
}

// The same for requests that are refused before they were sent whole.
BOOST_AUTO_TEST_CASE(RequestsRefusedBeforeTheirEndDidNotRun) {
  const std::string body(size_t{600} << 10, 'x');
  for (const Behaviour& behaviour : Behaviours()) {
    BOOST_TEST_CONTEXT(behaviour.name) {
      // A reset overtakes a rejection.
      CheckPromises(behaviour, body,
                    /*expects_promises=*/behaviour.end != End::kReset);
    }
  }
}

}  // namespace lavenderkeel::test
