#ifndef LAVENDERKEEL_IO_SOCKET_OPTIONS_H_
#define LAVENDERKEEL_IO_SOCKET_OPTIONS_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lavenderkeel {

/// Sends small writes at once and notices a peer that has vanished.
///
/// Failure: a connection goes silent for good, with no reset. Symptom: what was
/// written is never acknowledged and the request on it hangs. Unacknowledged
/// bytes end the connection by the user timeout, idle ones by probes.
inline void SetStreamOptions(int socket) {
  constexpr int kOn = 1;
  /// Longer than a burst of lost packets takes to be sent again, shorter than
  /// the patience of most clients.
  constexpr int kUserTimeoutMs = 4000;
  constexpr int kProbeAfterSeconds = 3;
  constexpr int kProbeEverySeconds = 1;
  constexpr int kProbes = 3;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof(kOn));
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &kOn, sizeof(kOn));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeAfterSeconds,
             sizeof(kProbeAfterSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeEverySeconds,
             sizeof(kProbeEverySeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_SOCKET_OPTIONS_H_
