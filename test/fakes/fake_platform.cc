// A stand-in for the platform's object API. Besides INTERFACES it takes
// POST /fault/up, /fault/outage, /fault/lose and /fault/slow?ms=N.
#include <deque>
#include <iostream>

#include "lavenderkeel/io/daemon_main.h"
#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_server.h"
#include "test/fakes/platform_core.h"
#include "test/fakes/stand_in.h"

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

struct Held {
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
               .on_gone = [](CallerId) {},
               .on_too_large =
                   [this](CallerId caller) {
                     http_.Handle(lavenderkeel::ReplyWhole{.caller = caller,
                                                           .status = 413});
                   }}) {}

  int Run(const std::string& listen, const std::string& ready_file) {
    return lavenderkeel::fakes::RunStandIn(loop_, http_, listen, ready_file,
                                           std::chrono::milliseconds(2),
                                           [this] { Serve(); });
  }

 private:
  void OnRequest(const HttpRequest& request) {
    if (request.path.starts_with("/fault/")) {
      SetFault(request);
      http_.Handle(lavenderkeel::ReplyWhole{.caller = request.id});
      return;
    }
    if (request.path == "/calls") {
      http_.Handle(lavenderkeel::ReplyWhole{
          .caller = request.id, .body = std::to_string(core_.calls())});
      return;
    }
    Held held{.caller = request.id,
              .call = {.method = request.method,
                       .path = request.path,
                       .body = request.body},
              .not_before = clock_.Now() + delay_};
    if (!request.query.empty()) {
      held.call.path += "?" + request.query;
    }
    const auto if_match = request.header("If-Match");
    if (request.header("If-None-Match").has_value()) {
      held.call.if_match = "*";
    } else if (if_match.has_value() && if_match->size() > 2) {
      held.call.if_match = if_match->substr(1, if_match->size() - 2);
    }
    const size_t wait = request.query.find("wait_ms=");
    if (wait != std::string::npos) {
      held.watch = true;
      held.watch_until = clock_.Now() + std::chrono::milliseconds(std::atoll(
                                            request.query.c_str() + wait + 8));
    }
    held_.push_back(held);
    Serve();
  }

  void SetFault(const HttpRequest& request) {
    const std::string what = request.path.substr(7);
    delay_ = {};
    core_.set_mode(what == "outage" ? PlatformCore::Mode::kOutage
                   : what == "lose" ? PlatformCore::Mode::kLoseWriteAnswers
                                    : PlatformCore::Mode::kUp);
    if (what == "slow") {
      delay_ = std::chrono::milliseconds(std::atoll(request.query.c_str() + 3));
    }
  }

  void Serve() {
    std::deque<Held> left;
    for (Held& held : held_) {
      const TimePoint now = clock_.Now();
      if (now < held.not_before) {
        left.push_back(held);
        continue;
      }
      const PlatformReply reply = core_.Handle(held.call);
      if (held.watch && reply.status == 304 && now < held.watch_until) {
        left.push_back(held);
        continue;
      }
      Answer(held.caller, reply);
    }
    held_.swap(left);
  }

  void Answer(CallerId caller, const PlatformReply& reply) {
    if (reply.status == PlatformReply::kNoAnswer) {
      http_.Handle(lavenderkeel::ReplyAbort{.caller = caller});
      return;
    }
    http_.Handle(lavenderkeel::ReplyWhole{
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
  std::deque<Held> held_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "use: fake_platform LISTEN READY_FILE\n";
    return lavenderkeel::kBadUseStatus;
  }
  lavenderkeel::PrepareProcess();
  return FakePlatform().Run(argv[1], argv[2]);
}
