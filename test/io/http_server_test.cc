#include "lavenderkeel/io/http_server.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "test/fakes/raw_client.h"

namespace lavenderkeel {

namespace {

constexpr std::string_view kGet = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
/// More than a socket buffer takes at once.
constexpr size_t kLargeBytes = size_t{8} << 20;

/// Server whose answers the test writes itself.
class ServerHarness {
 public:
  ServerHarness()
      : server_(loop_,
                {},
                {.on_request =
                     [this](const HttpRequest& request) {
                       caller = request.id;
                       ++requests;
                       on_request(request.id);
                     },
                 .on_drained = [this](CallerId) { ++drained; },
                 .on_gone = [this](CallerId) { ++gone; },
                 .on_refused = [](const HttpRequest&, ResultCode) {}}),
        address_(*server_.Listen("127.0.0.1:0")) {
    loop_.Every(std::chrono::milliseconds(1), [this] { loop_.Stop(); });
  }

  /// Runs the event loop until the condition holds; returns false after many
  /// iterations.
  bool RunUntil(const std::function<bool()>& condition) {
    constexpr int kMaxIterations = 20'000;
    for (int i = 0; i < kMaxIterations && !condition(); ++i) {
      loop_.Run();
    }
    return condition();
  }
  void RunIterations(int count) {
    for (int i = 0; i < count; ++i) {
      loop_.Run();
    }
  }

  /// Answers the caller's request with more than its socket takes and calls
  /// `then` in the same iteration of the event loop; then runs the loop until
  /// the exchange has ended, and for a few more iterations.
  /// @return whether the exchange has ended
  bool StreamThen(fakes::RawClient& to,
                  const std::function<void(CallerId)>& then) {
    on_request = [this, &then](CallerId id) {
      server_.Handle(ReplyHead{.caller = id, .status = 200});
      server_.Handle(
          ReplyChunk{.caller = id, .bytes = std::string(kLargeBytes, 'x')});
      then(id);
    };
    to.Send(kGet);
    const bool ended =
        RunUntil([this] { return requests == 1 && server_.open() == 0; });
    RunIterations(3);
    return ended;
  }

  HttpServer& server() { return server_; }
  EventLoop& loop() { return loop_; }
  const std::string& address() const { return address_; }

  CallerId caller = 0;
  int requests = 0;
  int drained = 0;
  int gone = 0;
  std::function<void(CallerId)> on_request = [](CallerId) {};

 private:
  EventLoop loop_;
  HttpServer server_;
  std::string address_;
};

}  // namespace

// Guards against a use of a freed exchange when a stream is aborted while its
// last chunk is being written, as many lookups at a time are when they are
// preempted by urgent work. libevent reports the chunk as written one iteration
// of the loop later; this must not be reported to anyone, since the exchange is
// over, and the process continues.
BOOST_AUTO_TEST_CASE(AbortWhileAChunkIsBeingWritten) {
  ServerHarness harness;
  harness.on_request = [&](CallerId caller) {
    harness.server().Handle(ReplyHead{.caller = caller, .status = 200});
    harness.server().Handle(ReplyChunk{.caller = caller, .bytes = "piece"});
    harness.server().Handle(ReplyAbort{.caller = caller});
  };
  fakes::RawClient caller(harness.loop(), harness.address());
  caller.Send(kGet);
  BOOST_TEST(harness.RunUntil([&] { return caller.closed(); }));
  harness.RunIterations(3);
  BOOST_TEST(harness.drained == 0);
  BOOST_TEST(harness.gone == 0);
  BOOST_TEST(harness.server().open() == 0U);
  BOOST_TEST(caller.received().find("0\r\n\r\n") == std::string::npos);
}

// Guards against freeing a connection twice when the caller closes it in the
// same iteration in which its stream is aborted: libevent frees the connection
// by itself. The caller is not reported as gone after its answer has ended.
BOOST_AUTO_TEST_CASE(AbortWhileTheCallerCloses) {
  ServerHarness harness;
  fakes::RawClient caller(harness.loop(), harness.address());
  BOOST_TEST(harness.StreamThen(caller, [&](CallerId id) {
    caller.CloseAbruptly();
    harness.server().Handle(ReplyAbort{.caller = id});
  }));
  BOOST_TEST(harness.gone == 0);
}

// Guards against ending an exchange twice when the caller closes its connection
// before it has read the last chunk of a complete answer. The caller counts as
// answered, so it is not reported as gone.
BOOST_AUTO_TEST_CASE(CallerClosesBeforeTheLastChunkIsWritten) {
  ServerHarness harness;
  fakes::RawClient caller(harness.loop(), harness.address());
  BOOST_TEST(harness.StreamThen(caller, [&](CallerId id) {
    harness.server().Handle(ReplyEnd{.caller = id});
    caller.CloseAbruptly();
  }));
  BOOST_TEST(harness.gone == 0);
  BOOST_TEST(harness.drained == 0);
}

// Guards against a leaked request when a caller closes its connection during
// its stream, while chunks wait to be written. libevent returns the request to
// its user, and the sanitizers report it if it is not freed. The caller is
// reported as gone once.
BOOST_AUTO_TEST_CASE(CallerClosesDuringItsStream) {
  ServerHarness harness;
  fakes::RawClient caller(harness.loop(), harness.address());
  BOOST_TEST(
      harness.StreamThen(caller, [&](CallerId) { caller.CloseAbruptly(); }));
  BOOST_TEST(harness.gone == 1);
}

// Guards against state that libevent keeps from the first request of a
// connection and that affects the second.
BOOST_AUTO_TEST_CASE(FirstRequestDoesNotAffectTheNext) {
  ServerHarness harness;
  harness.on_request = [&](CallerId id) {
    harness.server().Handle(ReplyHead{.caller = id, .status = 200});
    harness.server().Handle(ReplyChunk{.caller = id, .bytes = "piece"});
    harness.server().Handle(ReplyEnd{.caller = id});
  };
  fakes::RawClient caller(harness.loop(), harness.address());
  caller.Send(kGet);
  BOOST_TEST(harness.RunUntil(
      [&] { return harness.requests == 1 && harness.server().open() == 0; }));
  caller.Send(kGet);
  BOOST_TEST(harness.RunUntil(
      [&] { return harness.requests == 2 && harness.server().open() == 0; }));
  BOOST_TEST(!caller.closed());
}

}  // namespace lavenderkeel
