#ifndef LAVENDERKEEL_TEST_FAKES_FORWARD_SIMULATION_H_
#define LAVENDERKEEL_TEST_FAKES_FORWARD_SIMULATION_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base.h"
#include "lavenderkeel/forward.h"
#include "platform/header_codec.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel::fakes {

/// The part of an answer that a client has received.
struct ClientView {
  std::optional<int> status;
  HttpFields fields;
  std::string body;
  bool ended = false;
  bool aborted = false;
};

/// A request that a controller has sent to a server.
struct SentAttempt {
  AttemptId attempt = 0;
  std::string address;
  std::string bytes;
  Duration max_reuse_idle_time{};
  bool cancelled = false;

  /// Returns the value of a header field of the request; empty if it has none.
  std::string Field(const std::string& name) const;
};

/// Port that records all calls.
class FakeForwardPort final : public ForwardPort {
 public:
  void Respond(ExchangeId exchange,
               const ResponseHead& head,
               std::string_view body) override;
  void RespondHead(ExchangeId exchange, const ResponseHead& head) override;
  void RespondChunk(ExchangeId exchange, std::string_view bytes) override;
  void RespondEnd(ExchangeId exchange) override;
  void Abort(ExchangeId exchange) override;
  void Send(AttemptId attempt, OutgoingRequest outgoing) override;
  void Cancel(AttemptId attempt) override;

  std::map<ExchangeId, ClientView> clients;
  std::vector<SentAttempt> sent;
};

/// Simulation of one entry: a controller with its own slot scheduler, a virtual
/// clock and a fake port. The test acts as the servers.
class ForwardSimulation {
 public:
  struct Options {
    ForwardController::Options controller;
    int servers = 2;
    int slots = 2;
    /// Whether Table() is applied from the start.
    bool configured = true;
  };

  ForwardSimulation();
  explicit ForwardSimulation(const Options& options);

  /// Sends a request to a route of Table().
  ///
  /// @param extra header fields that are added or replaced
  ExchangeId Request(const std::string& route, const HttpFields& extra = {});
  void Advance(Duration by);

  /// Delivers the head of a server's answer to an attempt.
  void Head(const SentAttempt& attempt,
            int status,
            const HttpFields& extra = {});
  /// Delivers a complete answer to an attempt: with a seal, unless it is a
  /// rejection or that of another server.
  void Answer(const SentAttempt& attempt,
              int status,
              const std::string& body,
              const HttpFields& extra = {});
  /// Delivers the events from id `first` to id `last`, after the head if
  /// needed.
  void Events(const SentAttempt& attempt, int first, int last);
  static std::string EventText(int first, int last);

  /// Returns a table with the routes "stream" (resumable, two attempts),
  /// "once-stream", "once" (not idempotent) and "lookup" (idempotent, two
  /// attempts), and one team with the key "key".
  static RouteTableContent Table(uint64_t version = 1);

  SentAttempt& last() { return port.sent.back(); }
  ClientView& client(ExchangeId exchange) { return port.clients[exchange]; }

  fuzz::VirtualClock clock;
  EventLog log;
  Metrics metrics;
  FakeForwardPort port;
  ServerDirectory directory;
  ServerNotices notices;
  SlotScheduler slot_scheduler;
  SlotRouter slots;
  CrashGuard crashes;
  VersionSelector rollouts;
  ForwardController controller;

 private:
  ExchangeId last_exchange_ = 0;
};

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_FORWARD_SIMULATION_H_
