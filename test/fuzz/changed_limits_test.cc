// Random orders of bytes of requests on connections that are kept, and changes
// of the limits in force. Judged by the answers of the clients.
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/io/port_harness.h"

namespace lavenderkeel::fuzz {

namespace {

constexpr size_t kSmall = size_t{2} << 10;
constexpr size_t kMiddle = size_t{6} << 10;
constexpr size_t kLarge = size_t{16} << 10;
constexpr size_t kConnections = 3;
/// Turns of the event loop after each move.
constexpr int kTurns = 2;
constexpr int kMaxMoves = 20;

struct Move {
  /// Which connection sends, or whose turn changes the limits.
  uint8_t target = 0;
  bool changes_limits = false;
  bool large_head = false;
  bool large_body = false;
  bool chunked = false;
  uint16_t bytes = 0;
};

std::ostream& operator<<(std::ostream& out, const Move& move) {
  return out << (move.changes_limits ? "limits" : "send") << "("
             << int{move.target} << (move.large_head ? ",large head" : "")
             << (move.large_body ? ",large body" : "")
             << (move.chunked ? ",chunked" : "") << "," << move.bytes << ")";
}

rc::Gen<Move> AnyMove() {
  constexpr int kFullSize = 100;
  return rc::gen::resize(
      kFullSize,
      rc::gen::build<Move>(
          rc::gen::set(&Move::target, rc::gen::inRange<uint8_t>(0, 3)),
          rc::gen::set(&Move::changes_limits,
                       rc::gen::weightedElement<bool>({{1, true}, {3, false}})),
          rc::gen::set(&Move::large_head, rc::gen::arbitrary<bool>()),
          rc::gen::set(&Move::large_body, rc::gen::arbitrary<bool>()),
          rc::gen::set(&Move::chunked, rc::gen::arbitrary<bool>()),
          rc::gen::set(&Move::bytes,
                       rc::gen::inRange<uint16_t>(1, 2 * kMiddle))));
}

/// A client that sends its requests in pieces.
class PiecewiseClient {
 public:
  explicit PiecewiseClient(PortHarness& harness)
      : harness_(harness), client_(&harness.Connect(kTurns)) {}

  /// Sends some bytes of a request, or begins the next one.
  void Send(const Move& move) {
    if (rest_.empty()) {
      Begin(move);
    }
    const size_t sent = std::min<size_t>(move.bytes, rest_.size());
    client_->Send(rest_.substr(0, sent));
    rest_.erase(0, sent);
    OnLimits();
    harness_.Run(kTurns);
    Check();
  }

  void Finish() {
    if (!rest_.empty()) {
      Send({.bytes = 0xffff});
    }
  }

  /// Records the limits in force while a request is on its way.
  void OnLimits() {
    if (!begun_) {
      return;
    }
    const ClientLimits& limits = *harness_.limits;
    const bool allows =
        head_bytes_ <= limits.head_bytes && body_bytes_ <= limits.body_bytes;
    (allows ? allowed_ : denied_) = true;
  }

 private:
  void Begin(const Move& move) {
    begun_ = true;
    allowed_ = false;
    denied_ = false;
    head_bytes_ = move.large_head ? kMiddle : 1;
    body_bytes_ = move.large_body ? kMiddle : 1;
    const std::string padding =
        "Padding: " + std::string(head_bytes_, 'p') + "\r\n";
    const std::string body(body_bytes_, 'x');
    if (move.chunked) {
      constexpr const char* kMiddleSize = "1800\r\n";
      rest_ = HeadWith(padding + "Transfer-Encoding: chunked\r\n") +
              (move.large_body ? kMiddleSize : "1\r\n") + body +
              "\r\n0\r\n\r\n";
    } else {
      rest_ =
          HeadWith(padding + "Content-Length: " + std::to_string(body_bytes_) +
                   "\r\n") +
          body;
    }
    received_ = client_->received().size();
  }

  void Check() {
    if (!begun_) {
      return;
    }
    const bool whole = rest_.empty();
    if (whole) {
      RC_ASSERT(harness_.RunUntil(
          [this] { return client_->received().size() > received_; }));
    }
    if (client_->received().size() == received_) {
      return;
    }
    const std::string answer = client_->received().substr(received_);
    if (answer.starts_with("HTTP/1.1 200 ")) {
      RC_ASSERT(whole);
      RC_ASSERT(allowed_);
      begun_ = false;
      return;
    }
    // Refused, and the connection ends.
    RC_ASSERT(answer.starts_with("HTTP/1.1 413 ") ||
              answer.starts_with("HTTP/1.1 431 "));
    RC_ASSERT(denied_);
    begun_ = false;
    rest_.clear();
    client_ = &harness_.Connect(kTurns);
  }

  PortHarness& harness_;
  fakes::RawClient* client_;
  std::string rest_;
  size_t received_ = 0;
  size_t head_bytes_ = 0;
  size_t body_bytes_ = 0;
  bool begun_ = false;
  /// Whether limits that were in force on its way allow the request, or don't.
  bool allowed_ = false;
  bool denied_ = false;
};

}  // namespace

// Guards against a request that is read under limits that were not in force
// from its first byte to its last.
BOOST_AUTO_TEST_CASE(KeptConnectionsFollowTheLimits) {
  BOOST_TEST(rc::check([] {
    const auto moves = *rc::gen::resize(
        kMaxMoves, rc::gen::container<std::vector<Move>>(AnyMove()));
    PortHarness harness;
    harness.limits = ClientLimits{.head_bytes = kLarge, .body_bytes = kLarge};
    std::vector<PiecewiseClient> clients;
    for (size_t i = 0; i < kConnections; ++i) {
      clients.emplace_back(harness);
    }
    for (const Move& move : moves) {
      if (move.changes_limits) {
        harness.limits->head_bytes = move.large_head ? kLarge : kSmall;
        harness.limits->body_bytes = move.large_body ? kLarge : kSmall;
        for (PiecewiseClient& client : clients) {
          client.OnLimits();
        }
      } else {
        clients[move.target % clients.size()].Send(move);
      }
    }
    for (PiecewiseClient& client : clients) {
      client.Finish();
    }
  }));
}

}  // namespace lavenderkeel::fuzz
