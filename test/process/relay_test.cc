#include "test/process/relay.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "lavenderkeel/io/http_client.h"
#include "test/fakes/scripted_server.h"

namespace lavenderkeel::test {

// Guards against a cut answer whose missing bytes are replaced by others, which
// a client takes for a whole answer.
BOOST_AUTO_TEST_CASE(CutAnswerIsNotFilledUpWithEndlessBytes) {
  EventLoop loop;
  loop.Every(std::chrono::milliseconds(4), [&loop] { loop.Stop(); });
  const std::string body(100, 'a');
  fakes::ScriptedServer server(loop, [&body](int, std::string_view) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  });
  Relay relay(loop);
  relay.set_target(server.address());
  relay.set_endless(true);
  relay.set_cut_period(1);
  HttpClient client(loop);
  for (int i = 0; i < 50; ++i) {
    std::optional<HttpResult> outcome;
    client.Start(
        {.address = relay.address(),
         .path = "/",
         .timeout = std::chrono::seconds(5),
         .on_done = [&](const HttpResult& result) { outcome = result; }});
    while (!outcome.has_value()) {
      loop.Run();
    }
    BOOST_TEST((outcome->status != 200 || outcome->body == body));
  }
}

}  // namespace lavenderkeel::test
