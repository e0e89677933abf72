#ifndef LAVENDERKEEL_IO_CLIENT_LIMIT_EVENT_H_
#define LAVENDERKEEL_IO_CLIENT_LIMIT_EVENT_H_

#include <cstddef>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/forward/attempt.h"
#include "lavenderkeel/memory/body_memory.h"

namespace lavenderkeel {

/// A connection was closed, or its request refused, since a process holds no
/// more for clients.
struct ClientLimitEvent {
  /// The port that the client is connected to.
  std::string port;
  /// The limit that was reached: "memory", "descriptors" or "time".
  std::string limit;
  /// What the client did: "idle", "head", "body_waits", "body_stalled",
  /// "body_too_large", "request", "unread_answer" or "connects".
  std::string state;
  std::string address;
  /// The exchange with the refusal; zero if the connection was closed.
  ExchangeId exchange = 0;
  /// How long the client was in this state.
  Duration age{};
  /// Bytes held for the connection, and for all clients.
  size_t held_bytes = 0;
  size_t used_bytes = 0;
  size_t limit_bytes = 0;
  size_t connections = 0;

  friend bool operator==(const ClientLimitEvent&,
                         const ClientLimitEvent&) = default;
};

/// Logs and counts the event.
void RecordLimitEvent(const ClientLimitEvent& event,
                      const EventLog& log,
                      Metrics& metrics);

/// Sets the gauges of the memory that is held for clients.
void PutMemoryMetrics(const BodyMemory& bodies, Metrics& metrics);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_CLIENT_LIMIT_EVENT_H_
