#include "lavenderkeel/io/server_client.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <type_traits>
#include <vector>

#include "lavenderkeel/gate.h"
#include "lavenderkeel/io/action_runner.h"
#include "test/fakes/scripted_server.h"
#include "test/fakes/unreadable_json.h"

namespace lavenderkeel {

namespace {

constexpr LinkId kEntry = 1;
constexpr uint32_t kMaxResumes = 3;

AgentNode::Options NodeOptions() {
  AgentNode::Options options;
  options.gate.server.max_resumes = kMaxResumes;
  options.gate.server.stream_silence = std::chrono::milliseconds(500);
  return options;
}

/// An agent that reads one stream of a scripted engine.
class StreamReader {
 public:
  StreamReader(EventLoop& loop, const std::string& engine)
      : loop_(loop),
        http_(loop),
        client_(http_, engine, agent_.gate().server(), [this] { Execute(); }) {
    agent_.Start("a:1");
    agent_.OnLinkUp(kEntry, {.id = {"entry", 1}, .address = "e:1"}, "");
    std::mt19937_64 random(1);
    Reserve reserve;
    reserve.key = ToWire(RequestKey::Mint(clock_.WallNow(), random));
    agent_.OnMessage(kEntry, reserve);
    Go go;
    go.key = reserve.key;
    go.subscription = 1;
    go.method = "POST";
    go.path = "/v1/completions";
    go.body = {'{', '}'};
    agent_.OnMessage(kEntry, go);
  }

  /// Reads the stream to its end.
  /// @return its result
  std::optional<uint32_t> Read() {
    constexpr Duration kTick = std::chrono::milliseconds(5);
    constexpr Duration kTimeout = std::chrono::seconds(10);
    const TimePoint end = clock_.Now() + kTimeout;
    loop_.Every(kTick, [this, end] {
      agent_.Tick();
      Execute();
      if (result_.has_value() || clock_.Now() > end) {
        loop_.Stop();
      }
    });
    Execute();
    loop_.Run();
    return result_;
  }

  const std::string& answer() const { return answer_; }
  const Metrics& metrics() const { return metrics_; }

 private:
  void Execute() {
    runner_.Run(agent_.outbox(), [this](auto& action) {
      using T = std::decay_t<decltype(action)>;
      if constexpr (std::is_same_v<T, ServerStart> ||
                    std::is_same_v<T, ServerResume> ||
                    std::is_same_v<T, ServerCancel>) {
        client_.Handle(action);
      } else if constexpr (std::is_same_v<T, SendMessage>) {
        OnMessage(action.message);
      }
    });
  }

  void OnMessage(const Message& message) {
    if (const auto* chunk = std::get_if<Chunk>(&message)) {
      answer_.append(chunk->bytes.begin(), chunk->bytes.end());
    } else if (const auto* finished = std::get_if<Finished>(&message)) {
      result_ = finished->code;
    }
  }

  EventLoop& loop_;
  SystemClock clock_;
  EventLog log_;
  Metrics metrics_;
  AgentNode agent_{NodeOptions(), {.id = {"agent", 1}, .role = Role::kAgent},
                   clock_,        1,
                   log_,          metrics_};
  HttpClient http_;
  ServerClient client_;
  ActionRunner runner_;
  std::string answer_;
  std::optional<uint32_t> result_;
};

std::string Event(int index, const std::string& text) {
  return R"(data: {"index":)" + std::to_string(index) + R"(,"text":)" + text +
         "}\n\n";
}

/// Returns a stream of three texts from an index.
std::string Stream(int from, const std::string& second_text) {
  std::string events;
  for (int index = from; index < 3; ++index) {
    events += Event(index, index == 1 ? second_text : "\"t\"");
  }
  return "HTTP/1.1 200 OK\r\nConnection: close\r\n"
         "Content-Type: text/event-stream\r\n\r\n" +
         events +
         "data: {\"finish_reason\":\"stop\"}\n\n"
         "data: [DONE]\n\n";
}

/// Returns the index from which a request reads.
int FromOf(std::string_view request) {
  constexpr std::string_view kFrom = "?from=";
  const size_t at = request.find(kFrom);
  return at == std::string_view::npos ? 0 : request[at + kFrom.size()] - '0';
}

}  // namespace

// Guards against a stream whose unreadable event is left out of the answer, or
// is asked for again without end.
BOOST_AUTO_TEST_CASE(StreamWithAnUnreadableEventFails) {
  for (const std::string& text : fakes::UnreadableValues()) {
    EventLoop loop;
    int requests = 0;
    fakes::ScriptedServer engine(loop, [&](int, std::string_view request) {
      ++requests;
      return Stream(FromOf(request), text);
    });
    StreamReader reader(loop, engine.address());
    const std::optional<uint32_t> result = reader.Read();
    BOOST_REQUIRE_MESSAGE(result.has_value(), text.substr(0, 20));
    BOOST_TEST(*result == static_cast<uint32_t>(ResultCode::kServerFailed));
    BOOST_TEST(reader.answer() == "{\"text\":\"t\"}\n");
    BOOST_TEST(requests == 1 + static_cast<int>(kMaxResumes));
    BOOST_TEST(reader.metrics().counter("server_events_unreadable_total") ==
               1 + kMaxResumes);
  }
}

// Guards against an answer that fails though the engine sends the event again.
BOOST_AUTO_TEST_CASE(StreamIsResumedAtAnUnreadableEvent) {
  EventLoop loop;
  int requests = 0;
  fakes::ScriptedServer engine(loop, [&](int, std::string_view request) {
    return Stream(FromOf(request), ++requests == 1 ? "\"\\udcff\"" : "\"t\"");
  });
  StreamReader reader(loop, engine.address());
  BOOST_TEST(reader.Read().value_or(0) ==
             static_cast<uint32_t>(ResultCode::kAnswered));
  BOOST_TEST(reader.answer() ==
             "{\"text\":\"t\"}\n{\"text\":\"t\"}\n{\"text\":\"t\"}\n"
             "{\"finish_reason\":\"stop\"}\n");
  BOOST_TEST(requests == 2);
}

// Guards against a part of an engine's stream that is taken for all of it, and
// against a part that is lost or repeated when the stream is resumed.
BOOST_AUTO_TEST_CASE(CutStreamIsResumedWhereItEnded) {
  const std::string whole = Stream(/*from=*/0, "\"t\"");
  constexpr size_t kStep = 3;
  for (size_t size = 0; size < whole.size(); size += kStep) {
    EventLoop loop;
    int requests = 0;
    std::unique_ptr<fakes::ScriptedServer> engine;
    engine = std::make_unique<fakes::ScriptedServer>(
        loop, [&](int connection, std::string_view request) {
          const bool is_cut = ++requests == 1;
          const std::string stream = Stream(FromOf(request), "\"t\"");
          engine->Send(connection, is_cut ? stream.substr(0, size) : stream);
          engine->CloseAfterWriting(connection, /*reset=*/size % 2 == 1);
          return std::string();
        });
    StreamReader reader(loop, engine->address());
    BOOST_TEST_CONTEXT(size << " of " << whole.size() << " bytes") {
      BOOST_TEST(reader.Read().value_or(0) ==
                 static_cast<uint32_t>(ResultCode::kAnswered));
      BOOST_TEST(reader.answer() ==
                 "{\"text\":\"t\"}\n{\"text\":\"t\"}\n{\"text\":\"t\"}\n"
                 "{\"finish_reason\":\"stop\"}\n");
    }
  }
}

// Guards against an error without end that is kept whole, up to what a stream
// may have.
BOOST_AUTO_TEST_CASE(EndlessErrorOfAnEngineIsNotKept) {
  EventLoop loop;
  std::unique_ptr<fakes::ScriptedServer> engine;
  engine = std::make_unique<fakes::ScriptedServer>(
      loop, [&](int connection, std::string_view) {
        engine->Send(connection,
                     "HTTP/1.1 500 x\r\nTransfer-Encoding: chunked\r\n\r\n");
        engine->SendWithoutEnd(connection,
                               "3e8\r\n" + std::string(1000, 'x') + "\r\n");
        return std::string();
      });
  StreamReader reader(loop, engine->address());
  BOOST_TEST(reader.Read().value_or(0) ==
             static_cast<uint32_t>(ResultCode::kServerFailed));
  constexpr size_t kMaxBytesOfACall = size_t{8} << 20;
  BOOST_TEST(engine->endless_bytes() <
             static_cast<size_t>(engine->accepted()) * kMaxBytesOfACall);
}

// Guards against a refusal that is believed without the engine's statement that
// it does not have the request.
BOOST_AUTO_TEST_CASE(RefusalIsProvedByTheEnginesStatement) {
  const auto answer = [](const std::string& status, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  struct Case {
    std::string cancelled;
    ResultCode result;
  };
  for (const Case& engine_case : std::vector<Case>{
           {answer("200 OK", R"({"state":"unknown"})"),
            ResultCode::kServerPushback},
           {answer("200 OK", R"({"state":"cancelled"})"),
            ResultCode::kServerFailed},
           {answer("200 OK", R"({"state":"finished"})"),
            ResultCode::kServerFailed},
           {answer("200 OK", R"({"state":"unknown","state":"finished"})"),
            ResultCode::kServerFailed},
           {answer("200 OK", R"({"state":1})"), ResultCode::kServerFailed},
           {answer("200 OK", ""), ResultCode::kServerFailed},
           {answer("503 Busy", R"({"state":"unknown"})"),
            ResultCode::kServerFailed},
           {"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"
            R"({"state":"unknown"})",
            ResultCode::kServerFailed}}) {
    EventLoop loop;
    std::unique_ptr<fakes::ScriptedServer> engine;
    engine = std::make_unique<fakes::ScriptedServer>(
        loop, [&](int connection, std::string_view request) {
          const bool is_cancel = request.find("/cancel") != std::string::npos;
          engine->Send(connection,
                       is_cancel
                           ? engine_case.cancelled
                           : "HTTP/1.1 503 Busy\r\nRetry-After: 60\r\n"
                             "Connection: close\r\nContent-Length: 0\r\n\r\n");
          engine->CloseAfterWriting(connection, /*reset=*/false);
          return std::string();
        });
    StreamReader reader(loop, engine->address());
    BOOST_TEST(
        reader.Read().value_or(0) == static_cast<uint32_t>(engine_case.result),
        engine_case.cancelled);
  }
}

}  // namespace lavenderkeel
