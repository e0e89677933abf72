// Fake model engine or plain service. Besides the interface of a real one it
// accepts POST /fault/speed?factor=F, /fault/silence (stalls all streams) and
// /fault/busy?seconds=N (answers 503 with Retry-After) and /fault/up, and GET
// /starts and /refusals (numbers of requests started and refused). A prompt
// that begins with "deadly" terminates the process. Arguments: engine|service
// LISTEN READY_FILE [STEP_MS [checks|ignores]].
#include <boost/json.hpp>
#include <cstdlib>
#include <iostream>
#include <map>

#include "lavenderkeel/io/daemon_main.h"
#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_server.h"
#include "test/fakes/engine_core.h"
#include "test/fakes/fake_server.h"

using lavenderkeel::CallerId;
using lavenderkeel::EventLoop;
using lavenderkeel::HttpRequest;
using lavenderkeel::HttpServer;
using lavenderkeel::ReplyComplete;
using lavenderkeel::SystemClock;
using lavenderkeel::fakes::EngineCore;
namespace json = boost::json;

namespace {

constexpr std::string_view kCancel = "/cancel";

class FakeEngine {
 public:
  FakeEngine(bool is_service, EngineCore::Options options)
      : is_service_(is_service),
        core_(options),
        http_(
            loop_,
            {.max_body_bytes = size_t{16} << 20},
            {.on_request = [this](const HttpRequest& r) { OnRequest(r); },
             .on_drained = [](CallerId) {},
             .on_gone = [this](CallerId caller) { readers_.erase(caller); }}) {
    core_.on_start = [this](const std::string& prompt) {
      exit_requested_ = exit_requested_ || prompt.starts_with("deadly");
    };
  }

  int Run(const std::string& listen, const std::string& ready_file) {
    return lavenderkeel::fakes::RunFakeServer(loop_, http_, listen, ready_file,
                                              std::chrono::milliseconds(1),
                                              [this] { SendEvents(); });
  }

 private:
  struct Reader {
    std::string request_id;
    size_t next = 0;
  };

  void OnRequest(const HttpRequest& request) {
    if (request.path.starts_with("/fault/")) {
      SetFault(request);
    } else if (request.path == "/starts") {
      Reply(request.id, 200, std::to_string(core_.starts() + calls_));
    } else if (request.path == "/refusals") {
      Reply(request.id, 200, std::to_string(refusals_));
    } else if (!retry_after_.empty() && request.method == "POST" &&
               !request.path.ends_with(kCancel)) {
      ++refusals_;
      http_.Handle(ReplyComplete{.caller = request.id,
                                 .status = 503,
                                 .headers = {{"Retry-After", retry_after_}},
                                 .body = "{}"});
    } else if (is_service_) {
      ++calls_;
      Reply(request.id, 200,
            json::serialize(
                json::object{{"sheet", request.path}, {"call", calls_}}));
    } else if (request.path == "/v1/completions") {
      StartStream(request);
    } else if (request.path.starts_with("/v1/streams/")) {
      OnStream(request);
    } else if (request.path == "/v1/load") {
      Reply(request.id, 200, core_.Load(clock_.Now()));
    } else if (request.path == "/v1/cache/events") {
      const size_t after = request.query.find("after=");
      Reply(request.id, 200,
            core_.CacheEvents(
                after == std::string::npos
                    ? 0
                    : std::atoll(request.query.c_str() + after + 6)));
    } else if (request.path == "/v1/state") {
      Reply(request.id, 200, core_.State());
    } else if (request.path == "/v1/orders") {
      const json::value order = json::parse(request.body);
      const int status = core_.Order(order.at("fence").to_number<uint64_t>(),
                                     std::string(order.at("name").as_string()));
      Reply(request.id, status, core_.State());
    } else {
      Reply(request.id, 404, "{}");
    }
  }

  void SetFault(const HttpRequest& request) {
    streams_stalled_ = request.path == "/fault/silence";
    constexpr size_t kSecondsBegin = std::string_view("seconds=").size();
    retry_after_ = request.path == "/fault/busy"
                       ? request.query.substr(kSecondsBegin)
                       : "";
    if (request.path == "/fault/speed") {
      core_.set_speed(std::atof(request.query.c_str() + 7));
    }
    Reply(request.id, 200, "{}");
  }

  void StartStream(const HttpRequest& request) {
    boost::system::error_code error;
    const json::value value = json::parse(request.body, error);
    if (error || !value.is_object() || !value.as_object().contains("prompt")) {
      Reply(request.id, 400, "{}");
      return;
    }
    const json::object& body = value.as_object();
    const std::string id(
        body.contains("request_id")
            ? body.at("request_id").as_string()
            : json::string("direct-" + std::to_string(++direct_requests_)));
    core_.Start(id, std::string(body.at("prompt").as_string()),
                body.at("max_tokens").to_number<uint32_t>());
    Open(request.id, id, 0);
  }

  void OnStream(const HttpRequest& request) {
    std::string id = request.path.substr(12);
    if (id.ends_with(kCancel)) {
      id.resize(id.size() - kCancel.size());
      Reply(request.id, 200,
            json::serialize(json::object{{"state", core_.Cancel(id)}}));
      return;
    }
    if (core_.Find(id) == nullptr) {
      Reply(request.id, 404, "{}");
      return;
    }
    Open(request.id, id, std::atoll(request.query.c_str() + 5));
  }

  void Open(CallerId caller, const std::string& id, size_t from) {
    http_.Handle(lavenderkeel::ReplyHead{
        .caller = caller, .headers = {{"Content-Type", "text/event-stream"}}});
    readers_[caller] = {.request_id = id, .next = from};
  }

  void SendEvents() {
    if (exit_requested_) {
      std::_Exit(EXIT_FAILURE);
    }
    core_.Advance(clock_.Now());
    if (streams_stalled_) {
      return;
    }
    std::vector<CallerId> ended;
    for (auto& [caller, reader] : readers_) {
      const EngineCore::Stream* stream = core_.Find(reader.request_id);
      std::string bytes;
      for (; reader.next < stream->events.size(); ++reader.next) {
        bytes += "data: " + stream->events[reader.next] + "\n\n";
      }
      if (stream->finished) {
        bytes += stream->cancelled ? "" : "data: [DONE]\n\n";
        ended.push_back(caller);
      }
      if (!bytes.empty()) {
        http_.Handle(
            lavenderkeel::ReplyChunk{.caller = caller, .bytes = bytes});
      }
    }
    for (const CallerId caller : ended) {
      readers_.erase(caller);
      http_.Handle(lavenderkeel::ReplyEnd{.caller = caller});
    }
  }

  void Reply(CallerId caller, int status, std::string body) {
    http_.Handle(
        ReplyComplete{.caller = caller,
                      .status = status,
                      .headers = {{"Content-Type", "application/json"}},
                      .body = std::move(body)});
  }

  bool is_service_;
  SystemClock clock_;
  EventLoop loop_;
  EngineCore core_;
  HttpServer http_;
  std::map<CallerId, Reader> readers_;
  bool streams_stalled_ = false;
  /// Seconds for which refused callers are to stay away; empty: none refused.
  std::string retry_after_;
  uint64_t refusals_ = 0;
  bool exit_requested_ = false;
  uint64_t calls_ = 0;
  uint64_t direct_requests_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) {
    std::cerr << "usage: fake_engine engine|service LISTEN READY_FILE "
                 "[STEP_MS [checks|ignores]]\n";
    return lavenderkeel::kBadUseStatus;
  }
  lavenderkeel::PrepareProcess();
  EngineCore::Options options;
  if (argc > 4) {
    options.step = std::chrono::milliseconds(std::atoll(argv[4]));
  }
  options.checks_fence = argc < 6 || std::string(argv[5]) == "checks";
  return FakeEngine(std::string(argv[1]) == "service", options)
      .Run(argv[2], argv[3]);
}
