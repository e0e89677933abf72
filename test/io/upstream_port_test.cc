#include "lavenderkeel/io/upstream_port.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <map>
#include <memory>
#include <optional>

#include "lavenderkeel/io/address.h"
#include "test/fakes/cut_answers.h"
#include "test/fakes/scripted_server.h"

namespace lavenderkeel {

namespace {

/// A server that accepts one connection and reads nothing by itself.
class SilentServer {
 public:
  explicit SilentServer(EventLoop& loop) : loop_(loop) {
    sockaddr_storage storage{};
    const auto length =
        static_cast<int>(Address{.host = "127.0.0.1"}.ToSocketAddress(storage));
    listener_ = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* arg) {
          auto& self = *static_cast<SilentServer*>(arg);
          self.socket_ = socket;
          self.loop_.Stop();
        },
        this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&storage),
        length);
  }
  ~SilentServer() {
    evconnlistener_free(listener_);
    close(socket_);
  }
  SilentServer(const SilentServer&) = delete;
  SilentServer& operator=(const SilentServer&) = delete;

  std::string address() const {
    return BoundAddress(evconnlistener_get_fd(listener_));
  }
  /// Reads until the connection ends.
  /// @return zero if it was closed in an orderly way, or the error
  int ReadToEnd() const {
    fcntl(socket_, F_SETFL, fcntl(socket_, F_GETFL) & ~O_NONBLOCK);
    constexpr timeval kTimeout = {.tv_sec = 10, .tv_usec = 0};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &kTimeout, sizeof(kTimeout));
    std::array<char, 1024> bytes{};
    ssize_t count = 0;
    do {
      count = recv(socket_, bytes.data(), bytes.size(), 0);
    } while (count > 0);
    return count == 0 ? 0 : errno;
  }

 private:
  EventLoop& loop_;
  evconnlistener* listener_;
  int socket_ = -1;
};

/// The answers of a server, taken by the id that they echo.
class Client {
 public:
  struct Attempt {
    std::string request_id;
    int status = 0;
    std::string body;
    bool ended = false;
    std::optional<AttemptFailure> failure;
  };

  explicit Client(EventLoop& loop, UpstreamPort::Options options = {})
      : loop_(loop),
        port_(loop,
              options,
              clock_,
              {.on_head = [this](AttemptId id,
                                 const ResponseHead& head,
                                 bool) { return OnHead(id, head); },
               .on_chunk =
                   [this](AttemptId id, const std::string& bytes) {
                     attempts_.at(id).body += bytes;
                     if (pauses_) {
                       port_.SetReading(id, false);
                     }
                     return true;
                   },
               .on_end =
                   [this](AttemptId id) {
                     attempts_.at(id).ended = true;
                     loop_.Stop();
                   },
               .on_failed =
                   [this](AttemptId id, AttemptFailure failure) {
                     attempts_.at(id).failure = failure;
                     loop_.Stop();
                   }}) {
    loop_.Every(std::chrono::milliseconds(1), [this] { loop_.Stop(); });
  }

  /// Sends a request and waits for its outcome.
  const Attempt& Call(const fakes::ScriptedServer& server,
                      const std::string& request_id,
                      std::shared_ptr<const std::string> body = nullptr) {
    const AttemptId id = ++last_;
    attempts_[id].request_id = request_id;
    port_.Send(
        id, {.server = "s",
             .address = server.address(),
             .request_id = request_id,
             .head = "GET / HTTP/1.1\r\nRequest-Id: " + request_id + "\r\n\r\n",
             .body = std::move(body),
             .max_reuse_idle_time = std::chrono::seconds(8)});
    // Ends with the outcome, or without one after many turns.
    constexpr int kMaxTurns = 5000;
    int turns = 0;
    while (!attempts_.at(id).ended && !attempts_.at(id).failure.has_value() &&
           ++turns < kMaxTurns) {
      loop_.Run();
    }
    return attempts_.at(id);
  }
  const UpstreamPort& port() const { return port_; }
  /// Stops reading each answer at its first bytes.
  void set_pauses(bool pauses) { pauses_ = pauses; }

 private:
  ForwardController::HeadVerdict OnHead(AttemptId id,
                                        const ResponseHead& head) {
    Attempt& attempt = attempts_.at(id);
    if (*FindField(head.fields, "Request-Id") != attempt.request_id) {
      return ForwardController::HeadVerdict::kSkip;
    }
    attempt.status = head.status;
    return ForwardController::HeadVerdict::kTake;
  }

  EventLoop& loop_;
  SystemClock clock_;
  std::map<AttemptId, Attempt> attempts_;
  AttemptId last_ = 0;
  bool pauses_ = false;
  UpstreamPort port_;
};

std::string Answer(const std::string& status,
                   const std::string& request_id,
                   const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nRequest-Id: " + request_id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

// Guards against a repeated answer that is taken for that of the next attempt.
BOOST_AUTO_TEST_CASE(RepeatedAnswerIsNotThatOfTheNextAttempt) {
  EventLoop loop;
  int requests = 0;
  std::map<int, std::string> last_answers;
  fakes::ScriptedServer server(
      loop, [&](int connection, std::string_view request) {
        const std::string id = fakes::ScriptedServer::RequestIdOf(request);
        const std::string repeated = last_answers[connection];
        last_answers[connection] =
            ++requests == 1 ? Answer("503 Service Unavailable", id, "rejected")
                            : Answer("200 OK", id, "answer " + id);
        return repeated + last_answers[connection];
      });
  Client client(loop);
  BOOST_TEST(client.Call(server, "r").status == 503);
  const Client::Attempt& again = client.Call(server, "r");
  BOOST_TEST(again.status == 200);
  BOOST_TEST(again.body == "answer r");
  BOOST_TEST(client.port().passed_over() == 1U);
  // Another request may use the first connection: the ids differ.
  const Client::Attempt& other = client.Call(server, "other");
  BOOST_TEST(other.status == 200);
  BOOST_TEST(other.body == "answer other");
  BOOST_TEST(server.accepted() == 2);
}

// Guards against a part of an answer that is taken for all of it.
BOOST_AUTO_TEST_CASE(CutAnswerFailsItsAttempt) {
  for (const bool reused : {false, true}) {
    fakes::ForEachCut(
        fakes::FramedAnswers("Request-Id: r\r\n", "a body of some bytes"),
        [reused](const fakes::CutAnswer& cut) {
          EventLoop loop;
          std::unique_ptr<fakes::ScriptedServer> server;
          server = std::make_unique<fakes::ScriptedServer>(
              loop, [&](int connection, std::string_view request) {
                if (fakes::ScriptedServer::RequestIdOf(request) != "r") {
                  return Answer("200 OK", "first", "answer");
                }
                server->Send(connection, cut.bytes());
                server->CloseAfterWriting(connection, cut.reset);
                return std::string();
              });
          Client client(loop);
          if (reused) {
            BOOST_TEST(client.Call(*server, "first").ended);
          }
          const Client::Attempt& attempt = client.Call(*server, "r");
          BOOST_TEST_CONTEXT(cut.Describe() << ", reused " << reused) {
            BOOST_TEST(server->accepted() == 1);
            BOOST_TEST(attempt.ended == cut.is_whole());
            BOOST_TEST(attempt.failure.has_value() == !cut.is_whole());
            BOOST_TEST(cut.answer.content.starts_with(attempt.body));
            if (attempt.ended && !cut.answer.ends_with_connection) {
              BOOST_TEST(attempt.body == cut.answer.content);
            }
          }
        });
  }
}

// Guards against a connection that remembers ids without bound.
BOOST_AUTO_TEST_CASE(ConnectionIsClosedAfterItsLastRequest) {
  EventLoop loop;
  fakes::ScriptedServer server(loop, [](int, std::string_view request) {
    return Answer("200 OK", fakes::ScriptedServer::RequestIdOf(request),
                  "answer");
  });
  constexpr size_t kMaxRequests = 3;
  Client client(loop, {.max_requests = kMaxRequests});
  for (size_t i = 0; i <= kMaxRequests; ++i) {
    BOOST_TEST(client.Call(server, "r" + std::to_string(i)).ended);
  }
  BOOST_TEST(server.accepted() == 2);
}

// Guards against connections that pile up at a server while a client sends the
// same id again and again.
BOOST_AUTO_TEST_CASE(IdleConnectionsOfOneServerAreBounded) {
  EventLoop loop;
  fakes::ScriptedServer server(loop, [](int, std::string_view request) {
    return Answer("200 OK", fakes::ScriptedServer::RequestIdOf(request),
                  "answer");
  });
  constexpr size_t kMaxIdle = 4;
  constexpr int kRequests = 20;
  Client client(loop, {.max_idle = kMaxIdle});
  for (int i = 0; i < kRequests; ++i) {
    BOOST_TEST(client.Call(server, "r").ended);
  }
  BOOST_TEST(server.accepted() == kRequests);
  BOOST_TEST(server.open() <= kMaxIdle + 1);
  // The connections that were used last are kept.
  BOOST_TEST(client.Call(server, "other").ended);
  BOOST_TEST(server.accepted() == kRequests);
}

// Guards against bytes without end that are kept, or read for ever, where a
// head is expected.
BOOST_AUTO_TEST_CASE(EndlessBytesBeforeAnAnswerCloseTheConnection) {
  const std::string line(1000, 'x');
  const std::string other = Answer("200 OK", "other", "answer");
  struct Case {
    std::string begin;
    std::string repeated;
  };
  for (const Case& bytes :
       std::vector<Case>{{"", line},
                         {"", "\r\n"},
                         {"HTTP/1.1 200 OK\r\n", "X: " + line + "\r\n"},
                         {"HTTP/1.1 200 OK\r\nX: ", line},
                         {"HTTP/1.1 200 ", line},
                         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
                         {"", other},
                         {"HTTP/1.1 200 OK\r\nRequest-Id: "
                          "other\r\nTransfer-Encoding: chunked\r\n\r\n",
                          "3e8\r\n" + line + "\r\n"}}) {
    EventLoop loop;
    std::unique_ptr<fakes::ScriptedServer> server;
    server = std::make_unique<fakes::ScriptedServer>(
        loop, [&](int connection, std::string_view) {
          server->Send(connection, bytes.begin);
          server->SendWithoutEnd(connection, bytes.repeated);
          return std::string();
        });
    Client client(loop);
    const Client::Attempt& attempt = client.Call(*server, "r");
    BOOST_TEST((attempt.failure == AttemptFailure::kBroken), bytes.repeated);
    loop.Defer([&loop] { loop.Stop(); });
    loop.Run();
    BOOST_TEST(server->endless_bytes() < (size_t{32} << 20));
    BOOST_TEST(client.Call(*server, "s").failure.has_value());
    BOOST_TEST(server->accepted() == 2);
  }
}

// Guards against a connection that is reused and never read, since the answer
// before ended while its client was behind.
BOOST_AUTO_TEST_CASE(AnswerAfterAPausedOneIsRead) {
  EventLoop loop;
  fakes::ScriptedServer server(loop, [](int, std::string_view request) {
    return Answer("200 OK", fakes::ScriptedServer::RequestIdOf(request),
                  "answer");
  });
  Client client(loop);
  client.set_pauses(true);
  BOOST_TEST(client.Call(server, "first").ended);
  client.set_pauses(false);
  BOOST_TEST(client.Call(server, "second").body == "answer");
  BOOST_TEST(server.accepted() == 1);
}

// Guards against a status that is none of HTTP, after which the request would
// wait for another answer, or which its client would get.
BOOST_AUTO_TEST_CASE(AnswerWithAnInvalidStatusFailsAtOnce) {
  for (const char* status : {"000", "099", "101", "600", "999"}) {
    EventLoop loop;
    fakes::ScriptedServer server(loop, [&](int, std::string_view request) {
      return Answer(std::string(status) + " x",
                    fakes::ScriptedServer::RequestIdOf(request), "answer");
    });
    Client client(loop);
    const Client::Attempt& attempt = client.Call(server, "r");
    BOOST_TEST((attempt.failure == AttemptFailure::kBroken), status);
    BOOST_TEST(attempt.status == 0, status);
    client.Call(server, "next");
    BOOST_TEST(server.accepted() == 2, status);
  }
}

// Guards against a part of an answer that is taken for all of it, since the
// reset reaches the connection beside a body that is being written.
BOOST_AUTO_TEST_CASE(ResetBesideAnUploadIsNoEndOfAnAnswer) {
  const auto body = std::make_shared<const std::string>(size_t{8} << 20, 'x');
  constexpr int kRounds = 40;
  for (int round = 0; round < kRounds; ++round) {
    EventLoop loop;
    std::unique_ptr<fakes::ScriptedServer> server;
    server = std::make_unique<fakes::ScriptedServer>(
        loop, [&](int connection, std::string_view request) {
          server->Send(connection,
                       "HTTP/1.1 200 OK\r\nRequest-Id: " +
                           fakes::ScriptedServer::RequestIdOf(request) +
                           "\r\n\r\na part");
          server->CloseAfterWriting(connection, /*reset=*/true);
          return std::string();
        });
    Client client(loop);
    const Client::Attempt& attempt = client.Call(*server, "r", body);
    BOOST_TEST(!attempt.ended);
    BOOST_TEST((attempt.failure == AttemptFailure::kDisconnected));
  }
}

// Guards against a request that reaches its server after it was given up.
BOOST_AUTO_TEST_CASE(CancelledAttemptIsReset) {
  EventLoop loop;
  SystemClock clock;
  SilentServer server(loop);
  UpstreamPort port(
      loop, {}, clock,
      {.on_head = [](AttemptId, const ResponseHead&,
                     bool) { return ForwardController::HeadVerdict::kDrop; },
       .on_chunk = [](AttemptId, const std::string&) { return false; },
       .on_end = [](AttemptId) {},
       .on_failed = [](AttemptId, AttemptFailure) {}});
  constexpr AttemptId kAttempt = 1;
  port.Send(kAttempt, {.server = "s",
                       .address = server.address(),
                       .head = "GET / HTTP/1.1\r\n\r\n"});
  loop.Run();
  port.Cancel(kAttempt);
  // The socket is closed in the next turn of the loop.
  loop.Defer([&loop] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(server.ReadToEnd() == ECONNRESET);
}

}  // namespace lavenderkeel
