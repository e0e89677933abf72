// Fake of the platform's object API. Besides the interface of the real one it
// accepts POST /fault/up, /fault/outage, /fault/lose (loses the answers of
// writes) and /fault/slow?ms=N, and GET /calls (number of calls handled).
#include <deque>
#include <iostream>

#include "lavenderkeel/io/daemon_main.h"
#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_server.h"
#include "test/fakes/fake_server.h"
#include "test/fakes/platform_core.h"

using lavenderkeel::CallerId;
using lavenderkeel::EventLoop;
using lavenderkeel::HttpRequest;
using lavenderkeel::HttpServer;
using lavenderkeel::PlatformCall;
using lavenderkeel::PlatformReply;
using lavenderkeel::SystemClock;
using lavenderkeel::TimePoint;
using lavenderkeel::fakes::PlatformCore;

namespace {

struct PendingCall {
  CallerId caller = 0;
  PlatformCall call;
  TimePoint not_before;
  TimePoint watch_until;
  bool watch = false;
};

class FakePlatform {
 public:
  FakePlatform()
      : http_(loop_,
              {},
              {.on_request = [this](const HttpRequest& r) { OnRequest(r); },
               .on_drained = [](CallerId) {},
               .on_gone = [](CallerId) {}}) {}

  int Run(const std::string& listen, const std::string& ready_file) {
    return lavenderkeel::fakes::RunFakeServer(loop_, http_, listen, ready_file,
                                              std::chrono::milliseconds(2),
                                              [this] { AnswerDueCalls(); });
  }

 private:
  void OnRequest(const HttpRequest& request) {
    if (request.path.starts_with("/fault/")) {
      SetFault(request);
      http_.Handle(lavenderkeel::ReplyComplete{.caller = request.id});
      return;
    }
    if (request.path == "/calls") {
      http_.Handle(lavenderkeel::ReplyComplete{
          .caller = request.id, .body = std::to_string(core_.calls())});
      return;
    }
    PendingCall pending{.caller = request.id,
                        .call = {.method = request.method,
                                 .path = request.path,
                                 .body = request.body},
                        .not_before = clock_.Now() + delay_};
    if (!request.query.empty()) {
      pending.call.path += "?" + request.query;
    }
    const auto if_match = request.header("If-Match");
    if (request.header("If-None-Match").has_value()) {
      pending.call.if_match = "*";
    } else if (if_match.has_value() && if_match->size() > 2) {
      pending.call.if_match = if_match->substr(1, if_match->size() - 2);
    }
    const size_t wait = request.query.find("wait_ms=");
    if (wait != std::string::npos) {
      pending.watch = true;
      pending.watch_until =
          clock_.Now() + std::chrono::milliseconds(
                             std::atoll(request.query.c_str() + wait + 8));
    }
    pending_calls_.push_back(pending);
    AnswerDueCalls();
  }

  void SetFault(const HttpRequest& request) {
    const std::string fault = request.path.substr(7);
    delay_ = {};
    core_.set_mode(fault == "outage" ? PlatformCore::Mode::kOutage
                   : fault == "lose" ? PlatformCore::Mode::kLoseWriteAnswers
                                     : PlatformCore::Mode::kUp);
    if (fault == "slow") {
      delay_ = std::chrono::milliseconds(std::atoll(request.query.c_str() + 3));
    }
  }

  void AnswerDueCalls() {
    std::deque<PendingCall> remaining;
    for (PendingCall& pending : pending_calls_) {
      const TimePoint now = clock_.Now();
      if (now < pending.not_before) {
        remaining.push_back(pending);
        continue;
      }
      const PlatformReply reply = core_.Handle(pending.call);
      if (pending.watch && reply.status == 304 && now < pending.watch_until) {
        remaining.push_back(pending);
        continue;
      }
      Answer(pending.caller, reply);
    }
    pending_calls_.swap(remaining);
  }

  void Answer(CallerId caller, const PlatformReply& reply) {
    if (reply.status == PlatformReply::kNoAnswer) {
      http_.Handle(lavenderkeel::ReplyAbort{.caller = caller});
      return;
    }
    http_.Handle(lavenderkeel::ReplyComplete{
        .caller = caller,
        .status = reply.status,
        .headers = {{"ETag", "\"" + reply.etag + "\""}},
        .body = reply.body});
  }

  SystemClock clock_;
  EventLoop loop_;
  PlatformCore core_;
  HttpServer http_;
  lavenderkeel::Duration delay_{};
  std::deque<PendingCall> pending_calls_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: fake_platform LISTEN READY_FILE\n";
    return lavenderkeel::kBadUseStatus;
  }
  lavenderkeel::PrepareProcess();
  return FakePlatform().Run(argv[1], argv[2]);
}
