#include "lavenderkeel/io/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/io/address.h"
#include "test/fakes/cut_answers.h"
#include "test/fakes/scripted_server.h"

namespace lavenderkeel {

namespace {

HttpResult::Kind KindOf(EventLoop& loop, const std::string& address) {
  HttpClient client(loop);
  HttpResult::Kind kind{};
  client.Start({.address = address,
                .method = "POST",
                .path = "/",
                .body = "x",
                .on_done = [&](const HttpResult& result) {
                  kind = result.kind;
                  loop.Stop();
                }});
  loop.Run();
  return kind;
}

}  // namespace

// Guards against reporting a request as "not run" that may have run: only a
// request without a connection counts as not sent, since a server that accepts
// the request and closes without an answer may have run it.
BOOST_AUTO_TEST_CASE(OnlyRefusedConnectionsCountAsNotSent) {
  EventLoop loop;
  sockaddr_storage storage{};
  const auto length =
      static_cast<int>(Address{.host = "127.0.0.1"}.ToSocketAddress(storage));
  evconnlistener* listener = evconnlistener_new_bind(
      loop.base(),
      [](evconnlistener* self, evutil_socket_t socket, sockaddr*, int, void*) {
        bufferevent* events = bufferevent_socket_new(
            evconnlistener_get_base(self), socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            events, [](bufferevent* read, void*) { bufferevent_free(read); },
            nullptr, nullptr, nullptr);
        bufferevent_enable(events, EV_READ);
      },
      nullptr, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&storage),
      length);
  const std::string address = BoundAddress(evconnlistener_get_fd(listener));
  BOOST_TEST((KindOf(loop, address) == HttpResult::Kind::kNoAnswer));
  evconnlistener_free(listener);
  BOOST_TEST((KindOf(loop, address) == HttpResult::Kind::kNotSent));
}

// Guards against a Retry-After that is lost, or taken from the first of several
// fields that contradict each other.
BOOST_AUTO_TEST_CASE(AllRetryAfterFieldsAreReported) {
  EventLoop loop;
  const fakes::ScriptedServer server(loop, [](int, std::string_view) {
    return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.5\r\n"
           "retry-after: 3\r\nContent-Length: 2\r\n\r\n{}";
  });
  HttpClient client(loop);
  HttpResult answer;
  client.Start({.address = server.address(),
                .method = "POST",
                .path = "/",
                .body = "x",
                .on_done = [&](const HttpResult& result) {
                  answer = result;
                  loop.Stop();
                }});
  loop.Run();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.retry_after == (std::vector<std::string>{"1.5", "3"}),
             boost::test_tools::per_element());
}

// Guards against an answer without end that is kept whole, or that is read for
// longer than the call may take.
BOOST_AUTO_TEST_CASE(EndlessAnswerEndsTheCall) {
  const std::string line(1000, 'x');
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  using Kind = HttpResult::Kind;
  struct Case {
    std::string begin;
    std::string repeated;
    std::set<Kind> expected;
  };
  for (const Case& answer : std::vector<Case>{
           {chunked, "3e8\r\n" + line + "\r\n", {Kind::kTooLarge}},
           {head + "\r\n", line, {Kind::kTooLarge}},
           {head + "Content-Length: 99999999\r\n\r\n", line, {Kind::kTooLarge}},
           {chunked + "5;x=", line, {Kind::kTooLarge}},
           {head + "X: ", line, {Kind::kNoAnswer, Kind::kTooLarge}},
           {head, "X: y\r\n", {Kind::kNoAnswer, Kind::kTooLarge}}}) {
    EventLoop loop;
    std::unique_ptr<fakes::ScriptedServer> server;
    server = std::make_unique<fakes::ScriptedServer>(
        loop, [&](int connection, std::string_view) {
          server->Send(connection, answer.begin);
          server->SendWithoutEnd(connection, answer.repeated);
          return std::string();
        });
    HttpClient client(loop);
    int calls = 0;
    Kind kind{};
    client.Start({.address = server->address(),
                  .path = "/",
                  .timeout = std::chrono::milliseconds(400),
                  .max_body_bytes = size_t{1} << 20,
                  .on_done = [&](const HttpResult& result) {
                    ++calls;
                    kind = result.kind;
                    loop.Stop();
                  }});
    loop.Run();
    BOOST_TEST(answer.expected.contains(kind), answer.begin);
    BOOST_TEST(calls == 1);
    BOOST_TEST(server->endless_bytes() < (size_t{16} << 20));
    loop.Every(std::chrono::milliseconds(4), [&loop] { loop.Stop(); });
    for (int turns = 0; server->open() > 0 && turns < 1000; ++turns) {
      loop.Run();
    }
    BOOST_TEST(server->open() == 0U);
  }
}

// Guards against a timeout that begins again with each byte.
BOOST_AUTO_TEST_CASE(SlowAnswerEndsWithTheTimeOfTheCall) {
  EventLoop loop;
  fakes::ScriptedServer server(loop, [](int, std::string_view) {
    return std::string("HTTP/1.1 200 OK\r\n\r\n");
  });
  loop.Every(std::chrono::milliseconds(20), [&] { server.Send(1, "x"); });
  HttpClient client(loop);
  const SystemClock clock;
  const TimePoint begin = clock.Now();
  HttpResult::Kind kind{};
  client.Start({.address = server.address(),
                .path = "/",
                .timeout = std::chrono::milliseconds(300),
                .on_done = [&](const HttpResult& result) {
                  kind = result.kind;
                  loop.Stop();
                }});
  loop.Run();
  BOOST_TEST((kind == HttpResult::Kind::kNoAnswer));
  BOOST_TEST((clock.Now() - begin < std::chrono::seconds(3)));
}

// Guards against a part of an answer that is taken for all of it.
BOOST_AUTO_TEST_CASE(CutAnswerIsNoAnswer) {
  fakes::ForEachCut(
      fakes::FramedAnswers("ETag: \"1\"\r\n", "a body of some bytes"),
      [](const fakes::CutAnswer& cut) {
        EventLoop loop;
        std::unique_ptr<fakes::ScriptedServer> server;
        server = std::make_unique<fakes::ScriptedServer>(
            loop, [&](int connection, std::string_view) {
              server->Send(connection, cut.bytes());
              server->CloseAfterWriting(connection, cut.reset);
              return std::string();
            });
        HttpClient client(loop);
        HttpResult answer;
        client.Start({.address = server->address(),
                      .path = "/",
                      .on_done = [&](const HttpResult& result) {
                        answer = result;
                        loop.Stop();
                      }});
        loop.Run();
        BOOST_TEST_CONTEXT(cut.Describe()) {
          const bool answered = answer.kind == HttpResult::Kind::kAnswered;
          BOOST_TEST(answered == cut.is_whole());
          if (answered) {
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(cut.answer.content.starts_with(answer.body));
            BOOST_TEST((cut.answer.ends_with_connection ||
                        answer.body == cut.answer.content));
          } else {
            BOOST_TEST((answer.kind == HttpResult::Kind::kNoAnswer));
          }
        }
      });
}

// Guards against an interim response that is taken for the answer or hides it,
// a status that is none, and an answer whose length can be read in two ways, so
// that a part of it is taken for all.
BOOST_AUTO_TEST_CASE(OnlyFinalAndUnambiguousAnswersCount) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string answer = ok + "Content-Length: 2\r\n\r\nok";
  constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";
  const std::string empty = "Content-Length: 0\r\n\r\n";
  struct Case {
    std::string bytes;
    HttpResult::Kind kind;
  };
  using Kind = HttpResult::Kind;
  for (const Case& server_case : std::vector<Case>{
           {"HTTP/1.1 100 Continue\r\n\r\n" + answer, Kind::kAnswered},
           {"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + answer,
            Kind::kAnswered},
           {"HTTP/1.1 103 Early Hints\r\n\r\n", Kind::kNoAnswer},
           {"HTTP/1.1 101 Switching Protocols\r\n\r\n", Kind::kNoAnswer},
           {"HTTP/1.1 0 None\r\n" + empty, Kind::kNoAnswer},
           {"HTTP/1.1 -5 None\r\n" + empty, Kind::kNoAnswer},
           {"HTTP/1.1 1000 Much\r\n" + empty, Kind::kNoAnswer},
           {ok + "Content-Length: 2\r\nContent-Length: 9\r\n\r\nok",
            Kind::kNoAnswer},
           {ok + "Content-Length: 2, 9\r\n\r\nok", Kind::kNoAnswer},
           {ok + "Content-Length: 2\r\n" + kChunked + "\r\n0\r\n\r\n",
            Kind::kNoAnswer},
           {ok + kChunked + "Content-Length: 2\r\n\r\n0\r\n\r\n",
            Kind::kNoAnswer},
           {ok + "Transfer-Encoding: gzip\r\n\r\nok", Kind::kNoAnswer}}) {
    EventLoop loop;
    std::unique_ptr<fakes::ScriptedServer> server;
    server = std::make_unique<fakes::ScriptedServer>(
        loop, [&](int connection, std::string_view) {
          server->Send(connection, server_case.bytes);
          server->CloseAfterWriting(connection, /*reset=*/false);
          return std::string();
        });
    HttpClient client(loop);
    HttpResult result;
    client.Start({.address = server->address(),
                  .path = "/",
                  .on_done = [&](const HttpResult& done) {
                    result = done;
                    loop.Stop();
                  }});
    loop.Run();
    BOOST_TEST((result.kind == server_case.kind), server_case.bytes);
    if (result.kind == Kind::kAnswered) {
      BOOST_TEST(result.body == "ok");
    }
  }
}

// Guards against a status that is none of HTTP, after which the call would wait
// for another answer, or which its caller would get.
BOOST_AUTO_TEST_CASE(AnswerWithAnInvalidStatusEndsTheCall) {
  for (const char* status : {"000", "099", "101", "600", "999"}) {
    EventLoop loop;
    fakes::ScriptedServer server(loop, [&](int, std::string_view) {
      return "HTTP/1.1 " + std::string(status) +
             " x\r\nContent-Length: 2\r\n\r\nok";
    });
    HttpClient client(loop);
    std::optional<HttpResult> result;
    client.Start({.address = server.address(),
                  .path = "/",
                  .timeout = std::chrono::seconds(60),
                  .on_done = [&](const HttpResult& done) { result = done; }});
    constexpr int kMaxTurns = 2000;
    loop.Every(std::chrono::milliseconds(1), [&loop] { loop.Stop(); });
    for (int turn = 0; turn < kMaxTurns && !result.has_value(); ++turn) {
      loop.Run();
    }
    BOOST_REQUIRE_MESSAGE(result.has_value(), status);
    BOOST_TEST((result->kind == HttpResult::Kind::kNoAnswer), status);
  }
}

// Guards against a part of an answer that is taken for all of it, since the
// reset reaches the connection beside a body that is being written.
BOOST_AUTO_TEST_CASE(ResetBesideAnUploadIsNoAnswer) {
  constexpr int kRounds = 40;
  for (int round = 0; round < kRounds; ++round) {
    EventLoop loop;
    std::unique_ptr<fakes::ScriptedServer> server;
    server = std::make_unique<fakes::ScriptedServer>(
        loop, [&](int connection, std::string_view) {
          server->Send(connection, "HTTP/1.1 200 OK\r\n\r\na part");
          server->CloseAfterWriting(connection, /*reset=*/true);
          return std::string();
        });
    HttpClient client(loop);
    HttpResult result;
    client.Start({.address = server->address(),
                  .method = "POST",
                  .path = "/",
                  .body = std::string(size_t{8} << 20, 'x'),
                  .on_done = [&](const HttpResult& done) {
                    result = done;
                    loop.Stop();
                  }});
    loop.Run();
    BOOST_TEST((result.kind == HttpResult::Kind::kNoAnswer));
  }
}

}  // namespace lavenderkeel
