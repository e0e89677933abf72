#include "lavenderkeel/io/client_port.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/io/port_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

// Guards against bodies that are read although the head refuses them, and
// against a refusal that does not reach a client that still sends.
BOOST_AUTO_TEST_CASE(RefusalOfTheHeadReachesAClientThatStillSends) {
  PortHarness harness;
  fakes::RawClient& client = harness.Connect();
  client.Send(HeadWith("Unknown: 1\r\nContent-Length: 200000\r\n") + "x");
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
  stalled.Send(HeadWithLength(kBodyLimit) + "x");
  harness.Run();
  fakes::RawClient& second = harness.Connect();
  second.Send(HeadWithLength(kBodyLimit) + std::string(kBodyLimit, 'y'));
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
  reading.Send(HeadWithLength(kBodyLimit) + "x");
  harness.Run();
  std::vector<fakes::RawClient*> waiting;
  for (int i = 0; i < 4; ++i) {
    waiting.push_back(&harness.Connect());
    waiting.back()->Send(HeadWithLength(kBodyLimit) + "x");
    harness.Run();
  }
  fakes::RawClient& ordinary = harness.Connect();
  ordinary.Send(HeadWithLength(1) + "o");
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
  client.Send(HeadWith("Transfer-Encoding: chunked\r\n"));
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
  first.Send(HeadWithLength(kBodyLimit) + "x");
  harness.Run();
  fakes::RawClient& second = harness.Connect();
  second.Send(HeadWith("Expect: 100-continue\r\nContent-Length: " +
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
  busy.Send(HeadWithLength(0));
  harness.Advance(milliseconds(10));
  fakes::RawClient& idle = harness.Connect();
  harness.Advance(milliseconds(10));
  fakes::RawClient& begun = harness.Connect();
  begun.Send("POST /");
  harness.Advance(milliseconds(10));
  fakes::RawClient& next = harness.Connect();
  next.Send(HeadWithLength(0));
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
  client.Send(HeadWithLength(0));
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
    harness.Connect().Send(HeadWithLength(0) + std::string(200'000, 'x'));
    harness.Run();
  }
  BOOST_TEST(harness.requests.size() == kClients);
  harness.Advance(milliseconds(20));
  BOOST_TEST(!harness.budget().is_over());
  BOOST_TEST(harness.port().connections() == kClients);
  BOOST_TEST(harness.gone == 0);
}

}  // namespace lavenderkeel
