#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/io/port_harness.h"

namespace lavenderkeel {

namespace {

constexpr size_t kSmall = size_t{4} << 10;
constexpr size_t kLarge = size_t{12} << 10;

/// What a connection has carried when the limits change.
enum class Use { kNone, kRequest, kHalfHead };

/// Sends a request on a connection that is open while the limits change.
/// @param head_bytes approximate size of its head
/// @return the status that the client gets
std::string StatusAfterChange(Use use,
                              const ClientLimits& former,
                              const ClientLimits& limits,
                              size_t head_bytes,
                              size_t body_bytes) {
  PortHarness harness;
  harness.limits = former;
  fakes::RawClient& client = harness.Connect();
  size_t received = 0;
  if (use == Use::kRequest) {
    client.Send(HeadWithLength(1) + "x");
    harness.RunUntil([&] { return !client.received().empty(); });
    received = client.received().size();
  }
  const std::string head =
      HeadWith("Padding: " + std::string(head_bytes, 'p') +
               "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n");
  const size_t begun =
      use == Use::kHalfHead ? std::min(kSmall, head.size()) / 2 : 0;
  client.Send(head.substr(0, begun));
  harness.Run();
  harness.limits = limits;
  client.Send(head.substr(begun) + std::string(body_bytes, 'x'));
  harness.RunUntil([&] { return client.received().size() > received; });
  constexpr size_t kStatusAt = sizeof("HTTP/1.1 ") - 1;
  constexpr size_t kStatusDigits = 3;
  return client.received().substr(received + kStatusAt, kStatusDigits);
}

}  // namespace

// Guards against reading a request on an open connection under limits that are
// no longer in force.
BOOST_AUTO_TEST_CASE(OpenConnectionsFollowTheLimits) {
  const ClientLimits small = {.head_bytes = kSmall, .body_bytes = kSmall};
  const ClientLimits large = {.head_bytes = kLarge, .body_bytes = kLarge};
  const size_t between = (kSmall + kLarge) / 2;
  for (const Use use : {Use::kNone, Use::kRequest, Use::kHalfHead}) {
    BOOST_TEST_CONTEXT("use " << static_cast<int>(use)) {
      BOOST_TEST(StatusAfterChange(use, small, large, between, 1) == "200");
      BOOST_TEST(StatusAfterChange(use, small, large, 1, between) == "200");
      BOOST_TEST(StatusAfterChange(use, large, small, between, 1) == "431");
      BOOST_TEST(StatusAfterChange(use, large, small, 1, between) == "413");
      BOOST_TEST(StatusAfterChange(use, large, small, 1, 1) == "200");
    }
  }
}

// Guards against a client that waits in vain, since the part of its head that
// was read exceeds a limit that was lowered.
BOOST_AUTO_TEST_CASE(HeadBeyondLoweredLimitsIsRefusedAtOnce) {
  PortHarness harness;
  harness.limits->head_bytes = kLarge;
  fakes::RawClient& client = harness.Connect();
  client.Send("POST /x HTTP/1.1\r\nHost: h\r\nPadding: " +
              std::string(kLarge / 2, 'p'));
  harness.Run();
  harness.limits->head_bytes = kSmall;
  client.Send("p");
  BOOST_TEST(harness.RunUntil([&] { return !client.received().empty(); }));
  BOOST_TEST(client.received().starts_with("HTTP/1.1 431 "));
}

// Guards against a body that is refused on its way since the limit was lowered
// after its head, and against one of unknown length that is held to the limit
// of its head though a larger one is in force.
BOOST_AUTO_TEST_CASE(BodyOnItsWayIsReadUnderTheLargerLimit) {
  for (const bool raised : {false, true}) {
    PortHarness harness;
    harness.limits->body_bytes = raised ? kSmall : kLarge;
    fakes::RawClient& client = harness.Connect();
    client.Send(HeadWith("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n");
    harness.Run();
    harness.limits->body_bytes = raised ? kLarge : kSmall;
    // 2000 (hexadecimal) bytes are between both limits.
    client.Send("2000\r\n" + std::string(0x2000, 'x') + "\r\n0\r\n\r\n");
    BOOST_TEST(harness.RunUntil([&] { return !client.received().empty(); }));
    BOOST_TEST(client.received().starts_with("HTTP/1.1 200 "));
    BOOST_TEST(harness.requests == std::vector{std::string(0x2001, 'x')},
               boost::test_tools::per_element());
  }
}

// Guards against a body that is read beyond the limits in force, since its head
// was read before they were known, and against refusing one for a limit that is
// only the default.
BOOST_AUTO_TEST_CASE(BodyOnItsWayFollowsTheFirstLimits) {
  for (const bool raised : {false, true}) {
    PortHarness harness;
    harness.limits.reset();
    fakes::RawClient& client = harness.Connect();
    client.Send(HeadWith("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n");
    harness.Run();
    harness.limits = ClientLimits{.body_bytes = raised ? kLarge : kSmall};
    client.Send("2000\r\n" + std::string(0x2000, 'x') + "\r\n0\r\n\r\n");
    BOOST_TEST(harness.RunUntil([&] { return !client.received().empty(); }));
    BOOST_TEST(client.received().starts_with(raised ? "HTTP/1.1 200 "
                                                    : "HTTP/1.1 413 "));
  }
}

}  // namespace lavenderkeel
