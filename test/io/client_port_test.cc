#include "lavenderkeel/io/client_port.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "test/fakes/raw_client.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kBodyLimit = size_t{256} << 10;
constexpr size_t kBudget = size_t{512} << 10;

std::string Head(const std::string& fields) {
  return "POST /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}
std::string WithLength(size_t bytes) {
  return Head("Content-Length: " + std::to_string(bytes) + "\r\n");
}

/// A port whose requests the test answers.
class PortHarness {
 public:
  explicit PortHarness(ClientPort::Options options = {},
                       size_t budget = kBudget)
      : budget_(budget),
        port_(loop_,
              std::move(options),
              clock_,
              bodies_,
              {.on_request =
                   [this](ExchangeId exchange,
                          const RequestHead&,
                          std::string body,
                          MemoryCharge memory) {
                     last = exchange;
                     requests.push_back(std::move(body));
                     held_.push_back(std::move(memory));
                     if (answers) {
                       Answer(exchange, 200);
                     }
                   },
               .check_head =
                   [this](const RequestHead& head) {
                     ClientPort::HeadDecision decision;
                     if (FindField(head.fields, "Unknown") != nullptr) {
                       decision.refusal = ResultCode::kUnknownTeam;
                     }
                     return decision;
                   },
               .on_bad_request =
                   [this](ExchangeId exchange,
                          const RequestHead&,
                          ResultCode code) {
                     Answer(exchange, Describe(code).http_status);
                   },
               .on_gone = [this](ExchangeId) { ++gone; },
               .on_written = [](ExchangeId) {},
               .limits = [] { return ClientLimits{.body_bytes = kBodyLimit}; },
               .on_limit =
                   [this](const ClientLimitEvent& event) {
                     limited.push_back(event.limit + " " + event.state);
                   }}),
        address_(port_.Listen("127.0.0.1:0").value()) {
    loop_.Every(milliseconds(1), [this] { loop_.Stop(); });
  }

  fakes::RawClient& Connect() {
    clients_.push_back(std::make_unique<fakes::RawClient>(loop_, address_));
    Run();
    return *clients_.back();
  }
  void Answer(ExchangeId exchange, int status) {
    port_.Respond(exchange, {.status = status}, "answer");
  }
  /// Runs the event loop for a few turns.
  void Run(int turns = 20) {
    for (int i = 0; i < turns; ++i) {
      loop_.Run();
    }
  }
  /// Runs the event loop until the condition holds; returns false after many
  /// turns.
  bool RunUntil(const std::function<bool()>& condition) {
    constexpr int kMaxTurns = 2000;
    for (int i = 0; i < kMaxTurns && !condition(); ++i) {
      loop_.Run();
    }
    return condition();
  }
  void Advance(Duration duration) {
    clock_.Advance(duration);
    port_.Tick();
    Run();
  }
  void ReleaseRequests() { held_.clear(); }

  MemoryBudget& budget() { return budget_; }
  ClientPort& port() { return port_; }

  bool answers = true;
  ExchangeId last = 0;
  int gone = 0;
  std::vector<std::string> requests;
  std::vector<std::string> limited;

 private:
  EventLoop loop_;
  fuzz::VirtualClock clock_;
  MemoryBudget budget_;
  BodyMemory bodies_{{}, budget_, clock_};
  std::vector<MemoryCharge> held_;
  ClientPort port_;
  std::string address_;
  std::vector<std::unique_ptr<fakes::RawClient>> clients_;
};

}  // namespace

// Guards against bodies that are read although the head refuses them, and
// against a refusal that does not reach a client that still sends.
BOOST_AUTO_TEST_CASE(RefusalOfTheHeadReachesAClientThatStillSends) {
  PortHarness harness;
  fakes::RawClient& client = harness.Connect();
  client.Send(Head("Unknown: 1\r\nContent-Length: 200000\r\n") + "x");
  harness.Run();
  client.Send(std::string(100'000, 'x'));
  harness.Advance(milliseconds(900));
  client.Send(std::string(99'999, 'x'));
  harness.Advance(milliseconds(900));
  BOOST_TEST(client.received().starts_with("HTTP/1.1 401 "));
  BOOST_TEST(!client.reset());
  BOOST_TEST(harness.requests.empty());
  BOOST_TEST(harness.budget().used() < size_t{64} << 10);
}

// Guards against half-read bodies that keep their memory from the next one, and
// against a client that is told nothing.
BOOST_AUTO_TEST_CASE(StalledBodyIsRefusedForTheNext) {
  PortHarness harness;
  fakes::RawClient& stalled = harness.Connect();
  stalled.Send(WithLength(kBodyLimit) + "x");
  harness.Run();
  fakes::RawClient& second = harness.Connect();
  second.Send(WithLength(kBodyLimit) + std::string(kBodyLimit, 'y'));
  harness.Run();
  BOOST_TEST(harness.requests.empty());
  harness.Advance(milliseconds(1100));
  harness.Advance(milliseconds(20));
  BOOST_TEST(harness.RunUntil([&] { return !second.received().empty(); }));
  BOOST_TEST(stalled.received().starts_with("HTTP/1.1 503 "));
  BOOST_TEST(second.received().starts_with("HTTP/1.1 200 "));
  BOOST_TEST(harness.requests == std::vector{std::string(kBodyLimit, 'y')},
             boost::test_tools::per_element());
  BOOST_TEST(harness.limited == std::vector<std::string>{"memory body_stalled"},
             boost::test_tools::per_element());
}

// Guards against bodies that wait unread, whose connections use the memory of
// ordinary requests.
BOOST_AUTO_TEST_CASE(WaitingBodiesYieldToOrdinaryRequests) {
  PortHarness harness;
  fakes::RawClient& reading = harness.Connect();
  reading.Send(WithLength(kBodyLimit) + "x");
  harness.Run();
  std::vector<fakes::RawClient*> waiting;
  for (int i = 0; i < 4; ++i) {
    waiting.push_back(&harness.Connect());
    waiting.back()->Send(WithLength(kBodyLimit) + "x");
    harness.Run();
  }
  fakes::RawClient& ordinary = harness.Connect();
  ordinary.Send(WithLength(1) + "o");
  harness.Run();
  BOOST_TEST(ordinary.received().starts_with("HTTP/1.1 200 "));
  BOOST_TEST(!harness.budget().is_over());
  // The oldest one waits on, and the one that is read is not disturbed.
  BOOST_TEST(waiting.front()->received().empty());
  BOOST_TEST(waiting.back()->received().starts_with("HTTP/1.1 503 "));
  reading.Send(std::string(kBodyLimit - 1, 'x'));
  BOOST_TEST(harness.RunUntil([&] { return !reading.received().empty(); }));
  BOOST_TEST(reading.received().starts_with("HTTP/1.1 200 "));
}

// Guards against a chunked body that takes more memory than is reserved.
BOOST_AUTO_TEST_CASE(ChunkedBodyArrivesWhole) {
  PortHarness harness;
  fakes::RawClient& client = harness.Connect();
  client.Send(Head("Transfer-Encoding: chunked\r\n"));
  constexpr size_t kChunk = 10'000;
  constexpr size_t kChunks = 25;
  for (size_t i = 0; i < kChunks; ++i) {
    client.Send(EncodeChunk(std::string(kChunk, 'z')));
    harness.Run();
  }
  client.Send(kLastChunk);
  harness.Run();
  BOOST_TEST(client.received().starts_with("HTTP/1.1 200 "));
  BOOST_TEST(harness.requests.at(0).size() == kChunk * kChunks);
  harness.ReleaseRequests();
  BOOST_TEST(harness.budget().used() < size_t{64} << 10);
}

// Guards against a body that is sent only once it may be, and waits for ever.
BOOST_AUTO_TEST_CASE(ClientIsToldToContinueOnceThereIsMemory) {
  PortHarness harness;
  fakes::RawClient& first = harness.Connect();
  first.Send(WithLength(kBodyLimit) + "x");
  harness.Run();
  fakes::RawClient& second = harness.Connect();
  second.Send(Head("Expect: 100-continue\r\nContent-Length: " +
                   std::to_string(kBodyLimit) + "\r\n"));
  harness.Run();
  BOOST_TEST(second.received().empty());
  first.Send(std::string(kBodyLimit - 1, 'x'));
  BOOST_TEST(harness.RunUntil([&] { return !first.received().empty(); }));
  harness.ReleaseRequests();
  harness.Advance(milliseconds(20));
  BOOST_TEST(second.received().starts_with("HTTP/1.1 100 "));
}

// Guards against connections that keep others out.
BOOST_AUTO_TEST_CASE(LongestWaitingConnectionYieldsToANewOne) {
  PortHarness harness({.max_connections = 3});
  harness.answers = false;
  fakes::RawClient& busy = harness.Connect();
  busy.Send(WithLength(0));
  harness.Advance(milliseconds(10));
  fakes::RawClient& idle = harness.Connect();
  harness.Advance(milliseconds(10));
  fakes::RawClient& begun = harness.Connect();
  begun.Send("POST /");
  harness.Advance(milliseconds(10));
  fakes::RawClient& next = harness.Connect();
  next.Send(WithLength(0));
  harness.Run();
  BOOST_TEST(harness.requests.size() == 2U);
  BOOST_TEST(idle.closed());
  BOOST_TEST(!busy.closed());
  BOOST_TEST(!begun.closed());
  harness.Connect();
  BOOST_TEST(begun.closed());
  // Nothing yields to the last one but the one before.
  BOOST_TEST(harness.port().connections() == 3U);
}

// Guards against a client that keeps a complete answer for ever without reading
// it, and against one that reads slowly and is cut.
BOOST_AUTO_TEST_CASE(AnswerThatIsNotReadEndsItsConnection) {
  constexpr size_t kLarge = size_t{32} << 20;
  PortHarness harness({}, /*budget=*/2 * kLarge);
  harness.answers = false;
  fakes::RawClient& client = harness.Connect();
  client.SetReading(false);
  client.Send(WithLength(0));
  harness.Run();
  harness.ReleaseRequests();
  harness.port().Respond(harness.last, {.status = 200},
                         std::string(kLarge, 'x'));
  for (int i = 0; i < 3; ++i) {
    harness.Advance(seconds(20));
    BOOST_TEST(harness.port().connections() == 1U);
    client.SetReading(true);
    harness.Run(1);
    client.SetReading(false);
    harness.Run();
  }
  // The sockets may still take a part.
  for (int i = 0; i < 5; ++i) {
    harness.Advance(seconds(31));
  }
  BOOST_TEST(harness.port().connections() == 0U);
  BOOST_TEST(harness.budget().used() == 0U);
}

// Guards against bytes that follow a request and take the memory of others.
BOOST_AUTO_TEST_CASE(BytesAfterARequestYieldTheirMemory) {
  PortHarness harness({.read_ahead_bytes = size_t{64} << 10});
  harness.answers = false;
  constexpr size_t kClients = 6;
  for (size_t i = 0; i < kClients; ++i) {
    harness.Connect().Send(WithLength(0) + std::string(200'000, 'x'));
    harness.Run();
  }
  BOOST_TEST(harness.requests.size() == kClients);
  harness.Advance(milliseconds(20));
  BOOST_TEST(!harness.budget().is_over());
  BOOST_TEST(harness.port().connections() == kClients);
  BOOST_TEST(harness.gone == 0);
}

}  // namespace lavenderkeel
