// Hostile and malformed input to every listening port.
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <random>

#include "lavenderkeel/io/address.h"
#include "lavenderkeel/io/daemon_main.h"
#include "test/process/cluster.h"

namespace lavenderkeel::test {

namespace {

int Connect(const std::string& text) {
  sockaddr_storage storage{};
  const socklen_t length = Address::Parse(text)->ToSocketAddress(storage);
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  if (connect(socket, reinterpret_cast<sockaddr*>(&storage), length) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

void SendRaw(const std::string& address, const std::string& bytes) {
  const int socket = Connect(address);
  if (socket >= 0) {
    (void)!send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    close(socket);
  }
}

std::string Garbage(std::mt19937_64& random, size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random());
  }
  return bytes;
}

void CheckServesRequests(Cluster& cluster) {
  const auto check = cluster.SubmitRequest(0, cluster.NewKey(), "check", 5);
  BOOST_REQUIRE(cluster.Wait([&] { return check->done; }));
  BOOST_TEST(check->result.status == 200);
  BOOST_TEST(cluster.IsRunning("entry-0"));
  BOOST_TEST(cluster.IsRunning("agent-0"));
}

}  // namespace

// Garbage, oversized lengths and truncated frames on the peer ports, garbage on
// the caller port: each connection is closed, and the daemons keep serving.
BOOST_AUTO_TEST_CASE(GarbageOnEveryPort) {
  PrepareProcess();
  Cluster cluster({.entries = 1, .agents = 1});
  std::mt19937_64 random(7);
  const std::vector<std::string> ports = {cluster.Address("entry-0", "peers"),
                                          cluster.Address("agent-0", "peers"),
                                          cluster.EntryAddress(0)};
  for (const std::string& port : ports) {
    for (int i = 0; i < 100; ++i) {
      SendRaw(port, Garbage(random, random() % 300));
    }
    SendRaw(port, "\xff\xff\xff\x7f" + Garbage(random, 100));
    SendRaw(port, std::string("\x40\x00\x00\x00", 4) + Garbage(random, 64));
    SendRaw(port, std::string("\x40\x00\x00\x00", 4) + Garbage(random, 10));
  }
  SendRaw(cluster.EntryAddress(0),
          "POST /v1/completions HTTP/1.1\r\n"
          "Content-Length: 99999999999\r\n\r\n");
  SendRaw(cluster.EntryAddress(0),
          "GET / HTTP/1.1\r\nX: " + std::string(200'000, 'x') + "\r\n\r\n");
  CheckServesRequests(cluster);
}

// Thousands of peers and callers connect and send nothing. Connections to the
// peer port are limited in number and closed when no handshake arrives; other
// callers are served meanwhile.
BOOST_AUTO_TEST_CASE(IdleConnections) {
  PrepareProcess();
  Cluster cluster({.entries = 1, .agents = 1});
  constexpr int kConnections = 5000;
  std::vector<int> sockets;
  for (int i = 0; i < kConnections; ++i) {
    sockets.push_back(Connect(cluster.EntryAddress(0)));
    sockets.push_back(Connect(cluster.Address("entry-0", "peers")));
    if (i % 100 == 0) {
      cluster.Call(cluster.EntryAddress(0), "GET", "/healthz");
    }
  }
  CheckServesRequests(cluster);
  for (const int socket : sockets) {
    close(socket);
  }
  CheckServesRequests(cluster);
}

// Each kind of invalid request is refused with its result code and has no
// further effect.
BOOST_AUTO_TEST_CASE(BadRequestsGetTheirResultCode) {
  Cluster cluster({.entries = 1, .agents = 1});
  struct Case {
    std::string body;
    std::string work;
    std::string key;
    std::string deadline;
    std::string bearer;
    int status;
    std::string code;
  };
  const std::string good = R"({"model":"m","prompt":"p","max_tokens":1})";
  const std::vector<Case> cases = {
      {"{", "check", "", "", "board-key", 400, "1001"},
      {R"({"model":1})", "check", "", "", "board-key", 400, "1002"},
      {R"({"model":"zz","prompt":"p"})", "check", "", "", "board-key", 400,
       "1003"},
      {good, "tea", "", "", "board-key", 400, "1004"},
      {std::string(5 << 20, 'x'), "check", "", "", "board-key", 413, "1005"},
      {good, "check", "not-a-key", "", "board-key", 400, "1006"},
      {good, "check", "ffffffff-ffff-7fff-bfff-ffffffffffff", "", "board-key",
       400, "1006"},
      {good, "check", "", "-5", "board-key", 400, "1007"},
      {good, "check", "", "", "wrong", 401, "1008"},
      {good, "lookup", "", "", "other-key", 400, "1004"},
  };
  for (const Case& bad : cases) {
    HttpClient::Call call{.address = cluster.EntryAddress(0),
                          .method = "POST",
                          .path = "/v1/completions",
                          .headers = {{"Authorization", "Bearer " + bad.bearer},
                                      {"Lavenderkeel-Work", bad.work}},
                          .body = bad.body};
    if (!bad.key.empty()) {
      call.headers.emplace_back("Idempotency-Key", bad.key);
    }
    if (!bad.deadline.empty()) {
      call.headers.emplace_back("Lavenderkeel-Deadline-Ms", bad.deadline);
    }
    const auto exchange = cluster.Send(std::move(call));
    BOOST_REQUIRE(cluster.Wait([&] { return exchange->done; }));
    BOOST_TEST(exchange->result.status == bad.status);
    BOOST_TEST(exchange->result.body.find("\"code\":" + bad.code) !=
               std::string::npos);
  }
  BOOST_TEST(cluster.Starts() == 0U);
  CheckServesRequests(cluster);
}

// A team can neither read, cancel nor detect another team's request. Operator
// calls without the operator key have no effect. No key appears in a log.
BOOST_AUTO_TEST_CASE(TeamsAndOperatorsAreIsolated) {
  Cluster cluster({.entries = 1, .agents = 1});
  const std::string key = cluster.NewKey();
  const auto check = cluster.SubmitRequest(0, key, "check", 5);
  BOOST_REQUIRE(cluster.Wait([&] { return check->done; }));
  const std::string path = "/v1/requests/" + key;
  const std::string entry = cluster.EntryAddress(0);
  BOOST_TEST(cluster.Call(entry, "GET", path, "", "board-key").status == 200);
  BOOST_TEST(cluster.Call(entry, "GET", path, "", "other-key").status == 404);
  BOOST_TEST(cluster.Call(entry, "DELETE", path, "", "other-key").status ==
             404);
  BOOST_TEST(cluster.Call(entry, "GET", path).status == 401);
  const std::string change = R"({"name": "peak"})";
  BOOST_TEST(
      cluster.Call(entry, "POST", "/admin/v1/preset", change, "board-key")
          .status == 401);
  BOOST_TEST(cluster.Call(entry, "POST", "/admin/v1/preset", change).status ==
             401);
  BOOST_TEST(cluster.VersionAt(0) == 1U);
  for (const char* secret : {"board-key", "other-key", "operator-key"}) {
    BOOST_TEST(cluster.Log("entry-0").find(secret) == std::string::npos);
    BOOST_TEST(cluster.Log("agent-0").find(secret) == std::string::npos);
  }
}

}  // namespace lavenderkeel::test
