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

#include "lavenderkeel/io/address.h"

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

}  // namespace

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
                       .bytes = "GET / HTTP/1.1\r\n\r\n"});
  loop.Run();
  port.Cancel(kAttempt);
  // The socket is closed in the next turn of the loop.
  loop.Defer([&loop] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(server.ReadToEnd() == ECONNRESET);
}

}  // namespace lavenderkeel
