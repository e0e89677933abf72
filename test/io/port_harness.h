#ifndef LAVENDERKEEL_TEST_IO_PORT_HARNESS_H_
#define LAVENDERKEEL_TEST_IO_PORT_HARNESS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/io/client_port.h"
#include "test/fakes/raw_client.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

/// Defaults of PortHarness.
constexpr size_t kBodyLimit = size_t{256} << 10;
constexpr size_t kBudget = size_t{512} << 10;

/// Returns the head of a request with further fields.
inline std::string HeadWith(const std::string& fields) {
  return "POST /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}
inline std::string HeadWithLength(size_t bytes) {
  return HeadWith("Content-Length: " + std::to_string(bytes) + "\r\n");
}

/// A port whose requests the test answers.
class PortHarness {
 public:
  explicit PortHarness(ClientPort::Options options = {},
                       size_t budget = kBudget)
      : budget_(budget),
        port_(loop_,
              std::move(options),
              clock_,
              bodies_,
              {.on_request =
                   [this](ExchangeId exchange,
                          const RequestHead&,
                          std::string body,
                          MemoryCharge memory) {
                     last = exchange;
                     requests.push_back(std::move(body));
                     held_.push_back(std::move(memory));
                     if (answers) {
                       Answer(exchange, 200);
                     }
                   },
               .check_head =
                   [this](const RequestHead& head) {
                     ClientPort::HeadDecision decision;
                     if (FindField(head.fields, "Unknown") != nullptr) {
                       decision.refusal = ResultCode::kUnknownTeam;
                     }
                     return decision;
                   },
               .on_bad_request =
                   [this](ExchangeId exchange,
                          const RequestHead&,
                          ResultCode code) {
                     Answer(exchange, Describe(code).http_status);
                   },
               .on_gone = [this](ExchangeId) { ++gone; },
               .on_written = [](ExchangeId) {},
               .limits = [this] { return limits; },
               .on_limit =
                   [this](const ClientLimitEvent& event) {
                     limited.push_back(event.limit + " " + event.state);
                   }}),
        address_(port_.Listen("127.0.0.1:0").value()) {
    loop_.Every(std::chrono::milliseconds(1), [this] { loop_.Stop(); });
  }

  fakes::RawClient& Connect(int turns = kUsualTurns) {
    clients_.push_back(std::make_unique<fakes::RawClient>(loop_, address_));
    Run(turns);
    return *clients_.back();
  }
  void Answer(ExchangeId exchange, int status) {
    port_.Respond(exchange, {.status = status}, "answer");
  }
  /// Runs the event loop for a few turns.
  void Run(int turns = kUsualTurns) {
    for (int i = 0; i < turns; ++i) {
      loop_.Run();
    }
  }
  /// Runs the event loop until the condition holds; returns false after many
  /// turns.
  bool RunUntil(const std::function<bool()>& condition) {
    constexpr int kMaxTurns = 2000;
    for (int i = 0; i < kMaxTurns && !condition(); ++i) {
      loop_.Run();
    }
    return condition();
  }
  void Advance(Duration duration) {
    clock_.Advance(duration);
    port_.Tick();
    Run();
  }
  void ReleaseRequests() { held_.clear(); }

  static constexpr int kUsualTurns = 20;

  MemoryBudget& budget() { return budget_; }
  ClientPort& port() { return port_; }

  std::optional<ClientLimits> limits = ClientLimits{.body_bytes = kBodyLimit};
  bool answers = true;
  ExchangeId last = 0;
  int gone = 0;
  std::vector<std::string> requests;
  std::vector<std::string> limited;

 private:
  EventLoop loop_;
  fuzz::VirtualClock clock_;
  MemoryBudget budget_;
  BodyMemory bodies_{{}, budget_, clock_};
  std::vector<MemoryCharge> held_;
  ClientPort port_;
  std::string address_;
  std::vector<std::unique_ptr<fakes::RawClient>> clients_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_IO_PORT_HARNESS_H_
