#ifndef LAVENDERKEEL_IO_SOCKET_OPTIONS_H_
#define LAVENDERKEEL_IO_SOCKET_OPTIONS_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Sends small writes immediately.
inline void SetNoDelay(int socket) {
  constexpr int kOn = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof(kOn));
}

/// Time without an acknowledgement after which a peer counts as vanished.
/// Longer than the retransmission of a burst of lost packets takes, shorter
/// than the timeouts of most clients.
constexpr Duration kVanishedPeerTime = std::chrono::seconds(4);

/// Sets the time after which a connection with unacknowledged bytes ends.
///
/// The time also passes while the peer acknowledges but does not read, since
/// its receive window is closed.
inline void SetUserTimeout(int socket, Duration timeout) {
  const auto milliseconds = static_cast<int>(ToMilliseconds(timeout));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
             sizeof(milliseconds));
}

/// Sets the options of a stream socket: small writes are sent immediately, and
/// a vanished peer is detected.
///
/// A connection may stop carrying data for good without a reset: nothing
/// written is acknowledged any more, and the request on it would hang. The user
/// timeout ends a connection with unacknowledged bytes, keepalive probes end an
/// idle one.
inline void SetStreamOptions(int socket, Duration user_timeout) {
  constexpr int kOn = 1;
  constexpr int kProbeIdleSeconds = 3;
  constexpr int kProbeIntervalSeconds = 1;
  constexpr int kProbeCount = 3;
  SetNoDelay(socket);
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &kOn, sizeof(kOn));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeIdleSeconds,
             sizeof(kProbeIdleSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeIntervalSeconds,
             sizeof(kProbeIntervalSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount,
             sizeof(kProbeCount));
  SetUserTimeout(socket, user_timeout);
}

/// Fixes the sizes of the buffers of a socket, which otherwise grow with the
/// load.
inline void SetBufferSizes(int socket, int bytes) {
  setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

/// Makes the next close discard what was written and not acknowledged.
inline void ResetOnClose(int socket) {
  constexpr linger kReset = {.l_onoff = 1, .l_linger = 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &kReset, sizeof(kReset));
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_SOCKET_OPTIONS_H_
