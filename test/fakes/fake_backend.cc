// Fake backend server behind a forwarding entry. Streams events below /stream/
// and answers all other requests with a single body. Appends the id of each
// request that it runs to RUNS_FILE, which the tests compare with the answers
// of clients.
//
// PUT /failing with the body "WHAT PERCENT" makes it fail a part of the
// requests from then on: "reject" turns them away, "error" answers with an
// error, "lose" ends the connection after a part of the answer. "refuse" runs
// them and answers with a status that would mean otherwise, "contradict" with
// statements that contradict each other. "pause" stops for a time in the middle
// of the answer, or before it.
//
// The field Answer-Bytes of a request sets the size of an answer that is no
// stream.
//
// A request whose prompt has the part "dead" ends the process when it begins to
// answer.
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/io.h"
#include "test/fakes/fake_server.h"

namespace {

using lavenderkeel::CallerId;
using lavenderkeel::HttpHeaders;
using lavenderkeel::HttpRequest;

using Refusal = std::pair<int, HttpHeaders>;

constexpr int kEvents = 12;
constexpr int kOk = 200;
constexpr int kTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kServerError = 500;

class FakeBackend {
 public:
  FakeBackend(std::string id, const std::string& runs_file)
      : id_(std::move(id)),
        runs_(runs_file, std::ios::app),
        http_(
            loop_,
            {},
            {.on_request = [this](const HttpRequest& r) { OnRequest(r); },
             .on_drained = [](CallerId) {},
             .on_gone = [this](CallerId caller) { running_.erase(caller); }}) {}

  int Run(const std::string& listen, const std::string& ready_file) {
    return lavenderkeel::fakes::RunFakeServer(loop_, http_, listen, ready_file,
                                              std::chrono::milliseconds(8),
                                              [this] { Step(); });
  }

 private:
  struct Running {
    std::string request;
    bool stream = false;
    int next = 1;
    /// Whether the answer is lost, or an error.
    bool lost = false;
    bool error = false;
    /// Head of the answer, if it is a refusal.
    std::optional<Refusal> refusal;
    bool crashes = false;
    /// Size of an answer that is no stream; zero: as it is.
    size_t answer_bytes = 0;
    /// Steps to wait in the answer, and whether a part of it is sent before.
    int pause_steps = 0;
    bool sends_part = false;
    bool part_sent = false;
  };

  void SetFailing(const HttpRequest& request) {
    std::istringstream(request.body) >> failure_ >> failing_percent_;
    http_.Handle(lavenderkeel::ReplyComplete{.caller = request.id});
  }

  /// Decides whether a request fails in the way.
  bool Fails(const std::string& failure) {
    constexpr int kAll = 100;
    return failure_ == failure && std::uniform_int_distribution<int>(
                                      1, kAll)(random_) <= failing_percent_;
  }

  void OnRequest(const HttpRequest& request) {
    if (request.path == "/failing") {
      SetFailing(request);
      return;
    }
    const std::string expected = request.header("Expect-Instance").value_or("");
    if (expected != id_) {
      http_.Handle(
          lavenderkeel::ReplyComplete{.caller = request.id,
                                      .status = kMisdirected,
                                      .headers = {{"Instance-Id", id_}}});
      return;
    }
    const std::string id = request.header("Request-Id").value_or("");
    if (Fails("reject")) {
      http_.Handle(lavenderkeel::ReplyComplete{
          .caller = request.id,
          .status = kUnavailable,
          .headers = {{"Request-Id", id}, {"Not-Executed", "1"}}});
      return;
    }
    Running run{
        .request = id,
        .stream = request.path.starts_with("/stream/"),
        .lost = Fails("lose"),
        .error = Fails("error"),
        .refusal = Fails("refuse")       ? DrawFrom(Refusals())
                   : Fails("contradict") ? DrawFrom(Contradictions(id))
                                         : std::nullopt,
        .crashes = request.header("Prompt-Prefix").value_or("").find("dead:") !=
                   std::string::npos};
    run.answer_bytes = static_cast<size_t>(
        std::atoll(request.header("Answer-Bytes").value_or("0").c_str()));
    if (Fails("pause")) {
      constexpr int kMinSteps = 30;
      constexpr int kMaxSteps = 300;
      run.pause_steps =
          std::uniform_int_distribution<int>(kMinSteps, kMaxSteps)(random_);
      run.sends_part = std::uniform_int_distribution<int>(0, 1)(random_) == 1;
    }
    runs_ << run.request << '\n' << std::flush;
    const auto last = request.header("Last-Event-Id");
    run.next = last.has_value() ? std::atoi(last->c_str()) + 1 : 1;
    run.stream = run.stream && !run.error && !run.refusal && !run.crashes;
    if (run.stream) {
      HttpHeaders headers = Headers(run);
      headers.emplace_back("Content-Type", "text/event-stream");
      http_.Handle(
          lavenderkeel::ReplyHead{.caller = request.id, .headers = headers});
    }
    running_[request.id] = run;
  }

  static HttpHeaders Headers(const Running& run) {
    return {{"Request-Id", run.request}, {"Response-Seal", "s." + run.request}};
  }

  static std::vector<Refusal> Refusals() {
    return {{kTimeout, {}},
            {kMisdirected, {}},
            {kTooManyRequests, {}},
            {kUnavailable, {}},
            {kUnavailable, {{"Retry-After", "1"}}}};
  }

  std::vector<Refusal> Contradictions(const std::string& id) const {
    return {{kUnavailable, {{"Not-Executed", "1"}}},
            {kServerError, {{"Not-Executed", "1"}}},
            {kOk, {{"Not-Executed", "1"}}},
            {kUnavailable, {{"Not-Executed", "0"}}},
            {kUnavailable, {{"Request-Id", id + "0"}, {"Not-Executed", "1"}}},
            {kMisdirected, {{"Instance-Id", id_}}}};
  }

  std::optional<Refusal> DrawFrom(const std::vector<Refusal>& refusals) {
    return refusals[std::uniform_int_distribution<size_t>(
        0, refusals.size() - 1)(random_)];
  }

  void Refuse(CallerId caller, const Running& run) {
    HttpHeaders headers = Headers(run);
    headers.insert(headers.end(), run.refusal->second.begin(),
                   run.refusal->second.end());
    http_.Handle(lavenderkeel::ReplyComplete{.caller = caller,
                                             .status = run.refusal->first,
                                             .headers = headers,
                                             .body = "refused"});
  }

  void Step() {
    for (auto run = running_.begin(); run != running_.end();) {
      const auto current = run++;
      if (Advance(current->first, current->second)) {
        running_.erase(current);
      }
    }
  }

  static std::string AnswerTo(const Running& run) {
    std::string answer = "answer to " + run.request;
    answer.resize(std::max(answer.size(), run.answer_bytes), 'x');
    return answer;
  }

  /// Waits in a run if it is to pause at this point.
  /// @return whether it waits
  bool Pauses(CallerId caller, Running& run) {
    if (run.pause_steps == 0 || (run.stream && run.next <= kEvents / 2)) {
      return false;
    }
    --run.pause_steps;
    if (!run.stream && run.sends_part && !run.part_sent) {
      run.part_sent = true;
      http_.Handle(
          lavenderkeel::ReplyHead{.caller = caller, .headers = Headers(run)});
      const std::string answer = AnswerTo(run);
      http_.Handle(lavenderkeel::ReplyChunk{
          .caller = caller, .bytes = answer.substr(0, answer.size() / 2)});
    }
    return true;
  }

  /// Executes one step of a run.
  ///
  /// @return true once the run has ended
  bool Advance(CallerId caller, Running& run) {
    if (!run.stream) {
      constexpr int kStepsOfWork = 3;
      if (run.next++ < kStepsOfWork) {
        return false;
      }
      if (run.crashes) {
        std::_Exit(EXIT_FAILURE);
      }
      if (run.lost) {
        http_.Handle(lavenderkeel::ReplyAbort{.caller = caller});
        return true;
      }
      if (run.refusal.has_value()) {
        Refuse(caller, run);
        return true;
      }
      if (Pauses(caller, run)) {
        return false;
      }
      if (run.part_sent) {
        const std::string answer = AnswerTo(run);
        http_.Handle(lavenderkeel::ReplyChunk{
            .caller = caller, .bytes = answer.substr(answer.size() / 2)});
        http_.Handle(lavenderkeel::ReplyEnd{.caller = caller});
        return true;
      }
      http_.Handle(
          lavenderkeel::ReplyComplete{.caller = caller,
                                      .status = run.error ? kServerError : kOk,
                                      .headers = Headers(run),
                                      .body = AnswerTo(run)});
      return true;
    }
    if (run.lost && run.next > kEvents / 2) {
      http_.Handle(lavenderkeel::ReplyAbort{.caller = caller});
      return true;
    }
    if (Pauses(caller, run)) {
      return false;
    }
    if (run.next > kEvents) {
      http_.Handle(lavenderkeel::ReplyEnd{.caller = caller});
      return true;
    }
    http_.Handle(
        lavenderkeel::ReplyChunk{.caller = caller,
                                 .bytes = "id: " + std::to_string(run.next) +
                                          "\ndata: " + run.request + "\n\n"});
    ++run.next;
    return false;
  }

  std::string id_;
  std::ofstream runs_;
  lavenderkeel::EventLoop loop_;
  lavenderkeel::HttpServer http_;
  std::map<CallerId, Running> running_;
  std::string failure_;
  int failing_percent_ = 0;
  std::minstd_rand random_;
};

}  // namespace

int main(int argc, char** argv) {
  constexpr int kArguments = 5;
  if (argc != kArguments) {
    std::cerr << "usage: fake_backend LISTEN READY_FILE ID RUNS_FILE\n";
    return lavenderkeel::kBadUseStatus;
  }
  lavenderkeel::PrepareProcess();
  return FakeBackend(argv[3], argv[4]).Run(argv[1], argv[2]);
}
