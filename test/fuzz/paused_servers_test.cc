// Random orders of events at the forwarding controller: servers that pause at
// any point of an answer, beside failures, clients that leave and slots that
// are taken. Judged by what clients and servers see.
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "test/fakes/forward_simulation.h"

namespace lavenderkeel::fuzz {

namespace {

using fakes::ForwardSimulation;
using fakes::SentAttempt;
using std::chrono::milliseconds;

constexpr int kServers = 2;
constexpr int kSlots = 2;
constexpr size_t kAllSlots = 4;
constexpr int kEvents = 5;
/// The time limit of the requests of ForwardSimulation.
constexpr Duration kTimeLimit = milliseconds(10'000);

struct Play {
  enum Kind : uint8_t {
    kRequest,
    /// The server sends a part of its answer.
    kSend,
    kFinish,
    kFail,
    kClientLeaves,
    kChangeConfig,
    kKinds,
  };
  uint8_t kind = 0;
  uint8_t target = 0;
  /// Silence after it.
  uint16_t wait_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Play& play) {
  constexpr const char* kNames[] = {
      "request", "send", "finish", "fail", "client_leaves", "change_config"};
  return out << kNames[play.kind] << "(" << int{play.target} << ","
             << play.wait_ms << ")";
}

rc::Gen<Play> AnyPlay() {
  constexpr int kFullSize = 100;
  const auto kind =
      rc::gen::weightedElement<uint8_t>({{4, Play::kRequest},
                                         {6, Play::kSend},
                                         {3, Play::kFinish},
                                         {1, Play::kFail},
                                         {1, Play::kClientLeaves},
                                         {1, Play::kChangeConfig}});
  const auto wait = rc::gen::weightedOneOf<uint16_t>(
      {{3, rc::gen::inRange<uint16_t>(0, 100)},
       {2, rc::gen::inRange<uint16_t>(0, 3000)}});
  return rc::gen::resize(
      kFullSize,
      rc::gen::map(
          rc::gen::tuple(kind, rc::gen::inRange<uint8_t>(0, 30), wait),
          [](const std::tuple<uint8_t, uint8_t, uint16_t>& t) {
            return Play{std::get<0>(t), std::get<1>(t), std::get<2>(t)};
          }));
}

class PausedServers {
 public:
  explicit PausedServers(int extra_retries)
      : simulation_({.controller = {.retries = {.extra = static_cast<double>(
                                                    extra_retries)}},
                     .servers = kServers,
                     .slots = kSlots}) {}

  void Execute(const Play& play) {
    const std::vector<AttemptId> live = LiveAttempts();
    if (play.kind == Play::kRequest) {
      Request(play.target);
    } else if (play.kind == Play::kChangeConfig) {
      simulation_.controller.OnRouteTable(std::make_shared<const RouteTable>(
          ForwardSimulation::Table(++version_)));
    } else if (!live.empty()) {
      ExecuteAt(play.kind, live[play.target % live.size()]);
    }
    Check();
    // In steps, so that a wrong end is seen before a later one excuses it.
    constexpr Duration kStep = milliseconds(100);
    for (Duration waited{}; waited < milliseconds(play.wait_ms);
         waited += kStep) {
      simulation_.Advance(kStep);
      Check();
    }
  }

  /// Ends all requests, and checks that nothing of them is left.
  void End() {
    for (std::vector<AttemptId> live = LiveAttempts(); !live.empty();
         live = LiveAttempts()) {
      ExecuteAt(Play::kFinish, live.front());
      simulation_.Advance(milliseconds(40));
      Check();
    }
    simulation_.Advance(kTimeLimit + milliseconds(100));
    Check();
    RC_ASSERT(simulation_.controller.open() == 0U);
    // Servers that failed get few requests for some time.
    simulation_.Advance(std::chrono::seconds(60));
    const size_t sent = simulation_.port.sent.size();
    for (size_t i = 0; i < kAllSlots; ++i) {
      simulation_.Request("once");
    }
    RC_ASSERT(simulation_.port.sent.size() > sent);
    if (!has_failed_) {
      RC_ASSERT(simulation_.port.sent.size() == sent + kAllSlots);
    }
  }

 private:
  struct RequestState {
    std::string route;
    TimePoint sent_at;
    /// A server failed, or the client left.
    bool excused = false;
    bool left = false;
  };
  struct Answer {
    bool head_sent = false;
    int next_event = 1;
    bool ended = false;
  };

  static bool Streams(const std::string& route) {
    return route == "stream" || route == "once-stream";
  }
  ExchangeId ExchangeOf(const SentAttempt& attempt) const {
    return std::stoull(attempt.Field("Request-Id").substr(1));
  }

  void Request(uint8_t target) {
    static constexpr const char* kRoutes[] = {"stream", "lookup", "once-stream",
                                              "once"};
    const std::string route = kRoutes[target % std::size(kRoutes)];
    // Requests are numbered from one.
    requests_[requests_.size() + 1] = {.route = route,
                                       .sent_at = simulation_.clock.Now()};
    simulation_.Request(route);
  }

  /// Returns the attempts at servers whose answers have not ended.
  std::vector<AttemptId> LiveAttempts() const {
    std::vector<AttemptId> live;
    for (const SentAttempt& attempt : simulation_.port.sent) {
      const auto answer = answers_.find(attempt.attempt);
      const bool ended = answer != answers_.end() && answer->second.ended;
      if (!attempt.cancelled && !ended) {
        live.push_back(attempt.attempt);
      }
    }
    return live;
  }

  void ExecuteAt(uint8_t kind, AttemptId id) {
    const SentAttempt attempt =
        *std::ranges::find(simulation_.port.sent, id, &SentAttempt::attempt);
    const ExchangeId exchange = ExchangeOf(attempt);
    switch (kind) {
      case Play::kSend:
        SendPart(attempt);
        return;
      case Play::kFinish:
        while (answers_[id].next_event <= kEvents) {
          SendPart(attempt);
        }
        answers_[id].ended = true;
        simulation_.controller.OnAnswerEnd(id);
        return;
      case Play::kFail:
        has_failed_ = true;
        requests_[exchange].excused = true;
        answers_[id].ended = true;
        simulation_.controller.OnAttemptFailed(id,
                                               AttemptFailure::kDisconnected);
        return;
      case Play::kClientLeaves:
        requests_[exchange].left = true;
        answers_[id].ended = true;
        simulation_.controller.OnClientGone(exchange);
        return;
      default:
        return;
    }
  }

  void SendPart(const SentAttempt& attempt) {
    const bool streams = Streams(requests_.at(ExchangeOf(attempt)).route);
    Answer& answer = answers_[attempt.attempt];
    if (!std::exchange(answer.head_sent, true)) {
      const std::string last = attempt.Field("Last-Event-Id");
      answer.next_event = last.empty() ? 1 : std::stoi(last) + 1;
      simulation_.Head(
          attempt, 200,
          {{"Response-Seal", "seal"},
           {"Content-Type", streams ? "text/event-stream" : "text/plain"}});
    }
    if (answer.next_event > kEvents) {
      return;
    }
    // More than is held back of an answer, so that its client has a part.
    const std::string part(
        ForwardController::Options().max_buffered_answer_bytes,
        static_cast<char>('0' + answer.next_event));
    const std::string bytes =
        streams
            ? ForwardSimulation::EventText(answer.next_event, answer.next_event)
            : part;
    ++answer.next_event;
    simulation_.controller.OnAnswerChunk(attempt.attempt, bytes);
  }

  void Check() {
    const TimePoint now = simulation_.clock.Now();
    std::map<ExchangeId, int> attempts;
    std::map<ExchangeId, int> live;
    const std::vector<SentAttempt>& sent = simulation_.port.sent;
    for (const SentAttempt& attempt : sent) {
      const ExchangeId exchange = ExchangeOf(attempt);
      ++attempts[exchange];
      const Answer& answer = answers_[attempt.attempt];
      live[exchange] += !attempt.cancelled && !answer.ended ? 1 : 0;
    }
    for (const auto& [exchange, request] : requests_) {
      const fakes::ClientView& client = simulation_.client(exchange);
      const bool was_sent = attempts[exchange] > 0;
      // Two servers never work on a request at the same time.
      RC_ASSERT(live[exchange] <= 1);
      if (request.route == "once" || request.route == "once-stream") {
        RC_ASSERT(attempts[exchange] <= 1);
      }
      if (request.left || request.excused ||
          now - request.sent_at >= kTimeLimit) {
        continue;
      }
      // A pause alone ends nothing.
      RC_ASSERT(!client.aborted);
      if (client.ended && was_sent) {
        RC_ASSERT(client.status == 200);
        if (Streams(request.route)) {
          RC_ASSERT(client.body == ForwardSimulation::EventText(1, kEvents));
        }
      }
      RC_ASSERT(!was_sent || client.ended || live[exchange] == 1);
    }
  }

  ForwardSimulation simulation_;
  uint64_t version_ = 1;
  bool has_failed_ = false;
  std::map<ExchangeId, RequestState> requests_;
  std::map<AttemptId, Answer> answers_;
};

}  // namespace

// Guards against a pause of a server that ends an answer, runs a request twice
// or keeps a slot.
BOOST_AUTO_TEST_CASE(PausesOfServersEndNothing) {
  BOOST_TEST(rc::check([] {
    const int extra_retries = *rc::gen::inRange(0, 4);
    const auto plays = *rc::gen::container<std::vector<Play>>(AnyPlay());
    PausedServers servers(extra_retries);
    for (const Play& play : plays) {
      servers.Execute(play);
    }
    servers.End();
  }));
}

}  // namespace lavenderkeel::fuzz
