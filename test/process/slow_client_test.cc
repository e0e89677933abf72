// Clients and servers that read slowly, before and behind a real entry.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "lavenderkeel/io/address.h"
#include "test/fakes/scripted_server.h"
#include "test/process/platform_processes.h"

namespace lavenderkeel::test {

namespace {

/// Longer than a vanished peer is waited for.
constexpr Duration kPause = std::chrono::seconds(6);

std::string Answer(std::string_view request, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " +
         fakes::ScriptedServer::RequestIdOf(request) +
         "\r\nResponse-Seal: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

void WaitFor(PlatformProcesses& processes, Duration duration) {
  const SystemClock clock;
  const TimePoint end = clock.Now() + duration;
  processes.Wait([&] { return clock.Now() > end; });
}

/// A client that reads its answer only when told to.
class SlowClient {
 public:
  SlowClient(EventLoop& loop,
             const std::string& address,
             const std::string& request)
      : events_(
            bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    sockaddr_storage storage{};
    const auto length = static_cast<int>(
        Address::Parse(address).value().ToSocketAddress(storage));
    bufferevent_setcb(
        events_,
        [](bufferevent* events, void* arg) {
          evbuffer* input = bufferevent_get_input(events);
          const size_t bytes = evbuffer_get_length(input);
          static_cast<SlowClient*>(arg)->received_ += bytes;
          evbuffer_drain(input, bytes);
        },
        nullptr, nullptr, this);
    bufferevent_disable(events_, EV_READ);
    bufferevent_socket_connect(events_, reinterpret_cast<sockaddr*>(&storage),
                               length);
    bufferevent_write(events_, request.data(), request.size());
  }
  ~SlowClient() { bufferevent_free(events_); }
  SlowClient(const SlowClient&) = delete;
  SlowClient& operator=(const SlowClient&) = delete;

  void Read() { bufferevent_enable(events_, EV_READ); }
  size_t received() const { return received_; }

 private:
  bufferevent* events_;
  size_t received_ = 0;
};

}  // namespace

// Guards against answers that are kept whole while their clients don't take
// them, and against answers that are never read on.
BOOST_AUTO_TEST_CASE(AnswersOfSlowClientsAreBoundedAndArriveWhole) {
  constexpr size_t kClients = 8;
  constexpr size_t kAnswerBytes = size_t{40} << 20;
  PlatformProcesses processes;
  fakes::ScriptedServer server(
      processes.loop(), [](int, std::string_view request) {
        return Answer(request, std::string(kAnswerBytes, 'x'));
      });
  processes.PutConfig(std::chrono::seconds(30));
  processes.ListServer("large-1", server.address(), "ready");
  processes.ListServer("large-2", server.address(), "ready");
  processes.StartEntry(/*settings=*/"");
  std::vector<std::unique_ptr<SlowClient>> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<SlowClient>(
        processes.loop(), processes.processes().Address("entry", "clients"),
        "GET /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: q" +
            std::to_string(i) +
            "\r\nAuthorization: Bearer key\r\nDeadline-Ms: 30000\r\n\r\n"));
  }
  BOOST_TEST(processes.Wait([&] { return server.accepted() == kClients; }));
  WaitFor(processes, std::chrono::seconds(2));
  constexpr size_t kMaxKiB = size_t{160} << 10;
  BOOST_TEST(processes.EntryPeakKiB() < kMaxKiB);
  for (const auto& client : clients) {
    client->Read();
  }
  BOOST_TEST(processes.Wait([&] {
    return std::ranges::all_of(clients, [](const auto& client) {
      return client->received() > kAnswerBytes;
    });
  }));
  BOOST_TEST(processes.EntryPeakKiB() < kMaxKiB);
}

// Guards against a client that is taken for a vanished one, since it reads
// nothing of its answer for some seconds.
BOOST_AUTO_TEST_CASE(ClientThatStopsReadingGetsItsWholeAnswer) {
  constexpr size_t kAnswerBytes = size_t{8} << 20;
  PlatformProcesses processes;
  fakes::ScriptedServer server(
      processes.loop(), [](int, std::string_view request) {
        return Answer(request, std::string(kAnswerBytes, 'x'));
      });
  processes.PutConfig(std::chrono::seconds(30));
  processes.ListServer("large", server.address(), "ready");
  processes.StartEntry(/*settings=*/"");
  SlowClient client(
      processes.loop(), processes.processes().Address("entry", "clients"),
      "GET /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: q\r\n"
      "Authorization: Bearer key\r\nDeadline-Ms: 30000\r\n\r\n");
  BOOST_TEST(processes.Wait([&] { return server.accepted() == 1; }));
  WaitFor(processes, kPause);
  client.Read();
  BOOST_TEST(processes.Wait([&] { return client.received() > kAnswerBytes; }));
}

// Guards against a server that is taken for a vanished one, since it reads
// nothing of a long body for some seconds.
BOOST_AUTO_TEST_CASE(ServerThatStopsReadingGetsTheWholeBody) {
  constexpr size_t kBodyBytes = size_t{3} << 20;
  PlatformProcesses processes;
  fakes::ScriptedServer server(
      processes.loop(),
      [](int, std::string_view request) { return Answer(request, "ok"); });
  server.SetReading(false);
  processes.PutConfig(std::chrono::seconds(30));
  processes.ListServer("slow", server.address(), "ready");
  processes.StartEntry(/*settings=*/"");
  HttpResult result;
  processes.http().Start(
      {.address = processes.processes().Address("entry", "clients"),
       .method = "POST",
       .path = "/once/x",
       .headers = {{"Request-Id", "q"},
                   {"Authorization", "Bearer key"},
                   {"Deadline-Ms", "30000"}},
       .body = std::string(kBodyBytes, 'x'),
       .timeout = std::chrono::seconds(30),
       .on_done = [&](const HttpResult& done) { result = done; }});
  BOOST_TEST(processes.Wait([&] { return server.accepted() == 1; }));
  WaitFor(processes, kPause);
  BOOST_TEST(result.status == 0);
  server.SetReading(true);
  processes.Wait([&] { return result.status != 0; });
  BOOST_TEST(result.status == 200);
  BOOST_TEST(result.body == "ok");
}

}  // namespace lavenderkeel::test
