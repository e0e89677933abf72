#include "lavenderkeel/io/peer_port.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/membership/greeting.h"
#include "lavenderkeel/wire.h"
#include "test/fakes/scripted_server.h"

namespace lavenderkeel {

namespace {

InstanceInfo EntryNamed(const std::string& name) {
  return {.id = {.instance = name, .incarnation = 1}, .address = "10.0.0.1:1"};
}

std::string HelloFrame() {
  Hello hello = ToHello(EntryNamed("other"));
  hello.protocol = kProtocolVersion;
  return EncodeFrame(hello);
}

std::string HeartbeatFrame() {
  Heartbeat heartbeat;
  heartbeat.leaving = true;
  return EncodeFrame(heartbeat);
}

/// Returns a frame whose body is of a type that a later version adds.
std::string UnknownFrame() {
  constexpr auto kLaterType = static_cast<fbs::Body>(200);
  flatbuffers::FlatBufferBuilder builder;
  const Heartbeat heartbeat;
  const auto body = Heartbeat::TableType::Pack(builder, &heartbeat).Union();
  builder.FinishSizePrefixed(fbs::CreateFrame(builder, kLaterType, body));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

/// A port that has a connection to a peer whose frames a test writes.
class Peers {
 public:
  explicit Peers(PeerPort::Options options = {})
      : self_(EntryNamed("self")),
        peer_(loop_, [](int, std::string_view) { return std::string(); }),
        port_(loop_, options, self_, log_) {
    port_.signal_up().connect([this](LinkId link, const InstanceInfo&,
                                     const std::string&) { link_ = link; });
    port_.signal_message().connect([this](LinkId, Message&) { ++messages_; });
    port_.signal_down().connect([this](LinkId) { ++downs_; });
    port_.signal_dial_failed().connect(
        [this](const std::string&) { ++downs_; });
    port_.Handle(Dial{.address = peer_.address()});
    loop_.Every(std::chrono::milliseconds(5), [this] { loop_.Stop(); });
    while (peer_.accepted() == 0) {
      loop_.Run();
    }
  }

  /// Lets the port receive bytes.
  void Receive(const std::string& bytes) {
    constexpr int kTurns = 5;
    peer_.Send(1, bytes);
    for (int i = 0; i < kTurns; ++i) {
      loop_.Run();
    }
  }

  /// Lets the port receive bytes and the end of the connection.
  void ReceiveLast(const std::string& bytes, bool reset) {
    peer_.Send(1, bytes);
    peer_.CloseAfterWriting(1, reset);
    while (downs_ == 0) {
      loop_.Run();
    }
  }

  void Send(Message message) {
    port_.Handle(SendMessage{.link = link_, .message = std::move(message)});
  }

  int messages() const { return messages_; }
  int downs() const { return downs_; }
  const PeerPort& port() const { return port_; }

 private:
  EventLoop loop_;
  EventLog log_;
  InstanceInfo self_;
  fakes::ScriptedServer peer_;
  PeerPort port_;
  LinkId link_ = 0;
  int messages_ = 0;
  int downs_ = 0;
};

}  // namespace

// Guards against a message of a later version that hides all others of its
// sender: the connection is dropped, and again after each reconnect.
BOOST_AUTO_TEST_CASE(MessageOfAnUnknownTypeIsSkipped) {
  Peers peers;
  peers.Receive(HelloFrame());
  peers.Receive(HeartbeatFrame() + UnknownFrame() + HeartbeatFrame());
  BOOST_TEST(peers.messages() == 2);
  BOOST_TEST(peers.downs() == 0);
  BOOST_TEST(peers.port().messages_skipped() == 1U);
}

// Guards against a message that the peer rejects, and with it the connection.
BOOST_AUTO_TEST_CASE(MessageBeyondAFrameIsNotSent) {
  Peers peers;
  peers.Receive(HelloFrame());
  ConfigShards large;
  large.bodies.emplace_back(kMaxFrameSize, 'x');
  peers.Send(large);
  BOOST_TEST(peers.port().messages_too_large() == 1U);
  BOOST_TEST(peers.port().bytes_sent() == 0U);
  peers.Send(Heartbeat());
  BOOST_TEST(peers.port().bytes_sent() > 0U);
  BOOST_TEST(peers.downs() == 0);
}

// Guards against bytes that are no frames but keep their connection.
BOOST_AUTO_TEST_CASE(FrameThatDoesNotVerifyEndsTheConnection) {
  Peers peers;
  peers.Receive(HelloFrame());
  peers.Receive(std::string("\x08\0\0\0", 4) + std::string(8, '\xff'));
  BOOST_TEST(peers.downs() == 1);
  Peers strangers;
  strangers.Receive(UnknownFrame());
  BOOST_TEST(strangers.downs() == 1);
}

// Guards against strangers that announce a large frame, which is kept until it
// is whole.
BOOST_AUTO_TEST_CASE(LargeFrameBeforeTheHandshakeEndsTheConnection) {
  Peers peers;
  peers.Receive(std::string("\0\0\x10\0", 4) + "x");
  BOOST_TEST(peers.downs() == 1);
}

// Guards against frames in part that take more memory than they may.
BOOST_AUTO_TEST_CASE(FramesInPartAreBounded) {
  Peers peers({.max_partial_frame_bytes = 4000});
  peers.Receive(HelloFrame());
  const std::string begin("\0\0\x10\0", 4);
  peers.Receive(begin + std::string(3000, 'x'));
  BOOST_TEST(peers.downs() == 0);
  peers.Receive(std::string(3000, 'x'));
  BOOST_TEST(peers.downs() == 1);
}

// Guards against a part of a message that is taken for all of it.
BOOST_AUTO_TEST_CASE(CutFrameIsNoMessage) {
  const std::string frame = HeartbeatFrame();
  for (const bool reset : {false, true}) {
    for (size_t size = 0; size <= frame.size(); ++size) {
      Peers peers;
      peers.ReceiveLast(HelloFrame() + frame + frame.substr(0, size), reset);
      BOOST_TEST(peers.messages() == (size == frame.size() ? 2 : 1));
      BOOST_TEST(peers.downs() == 1);
    }
  }
}

}  // namespace lavenderkeel
