// A backend server whose answers end early, before a real entry.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "test/fakes/cut_answers.h"
#include "test/fakes/scripted_server.h"
#include "test/process/platform_processes.h"

namespace lavenderkeel::test {

namespace {

/// An entry, a fake store and a server that cuts its answers. Each of them
/// follows a whole one on the same connection, or not.
class CutProcesses : public PlatformProcesses {
 public:
  CutProcesses()
      : server_(loop(), [this](int connection, std::string_view request) {
          Handle(connection, fakes::ScriptedServer::RequestIdOf(request));
          return std::string();
        }) {
    PutConfig(std::chrono::seconds(4));
    ListServer("odd", server_.address(), "ready");
    StartEntry(/*settings=*/"");
  }

  /// @return what the client of a request gets
  HttpResult Call(std::optional<fakes::CutAnswer> cut) {
    cut_ = std::move(cut);
    const std::string id = "q" + std::to_string(++sent_);
    std::optional<HttpResult> outcome;
    http().Start(
        {.address = processes().Address("entry", "clients"),
         .path = "/once/" + id,
         .headers = {{"Request-Id", id},
                     {"Authorization", "Bearer key"},
                     {"Deadline-Ms", "4000"}},
         .on_done = [&](const HttpResult& result) { outcome = result; }});
    Wait([&] { return outcome.has_value(); });
    return outcome.value_or(HttpResult());
  }

  int connections() const { return server_.accepted(); }

 private:
  void Handle(int connection, const std::string& id) {
    const std::string fields = "Request-Id: " + id + "\r\nResponse-Seal: s\r\n";
    if (!cut_.has_value()) {
      server_.Send(connection, "HTTP/1.1 200 OK\r\n" + fields +
                                   "Content-Length: 2\r\n\r\nok");
      return;
    }
    const auto answers = fakes::FramedAnswers(fields, cut_->answer.content);
    const auto answer = std::ranges::find(answers, cut_->answer.name,
                                          &fakes::FramedAnswer::name);
    // Counted from the end, since ids differ in length.
    const size_t missing = cut_->answer.bytes().size() - cut_->size;
    const std::string bytes = answer->bytes();
    server_.Send(
        connection,
        bytes.substr(0, bytes.size() - std::min(missing, bytes.size())));
    server_.CloseAfterWriting(connection, cut_->reset);
  }

  fakes::ScriptedServer server_;
  std::optional<fakes::CutAnswer> cut_;
  uint64_t sent_ = 0;
};

}  // namespace

// Guards against a client that takes a part of an answer for all of it, as one
// of which the server sent only a part of the head.
BOOST_AUTO_TEST_CASE(CutAnswersAreNotDeliveredAsWhole) {
  CutProcesses processes;
  const std::string content = "a body of some bytes";
  size_t count = 0;
  int whole = 0;
  fakes::ForEachCut(
      fakes::FramedAnswers("Request-Id: q1\r\nResponse-Seal: s\r\n", content),
      [&](const fakes::CutAnswer& cut) {
        constexpr size_t kStep = 3;
        if (++count % kStep != 0 && !cut.is_whole()) {
          return;
        }
        BOOST_TEST_CONTEXT(cut.Describe()) {
          BOOST_TEST(processes.Call(std::nullopt).body == "ok");
          const HttpResult result = processes.Call(cut);
          BOOST_TEST((result.kind == HttpResult::Kind::kAnswered));
          BOOST_TEST(result.status == (cut.is_whole() ? 200 : 504));
          if (result.status == 200) {
            ++whole;
            BOOST_TEST(content.starts_with(result.body));
            BOOST_TEST(
                (cut.answer.ends_with_connection || result.body == content));
          }
        }
      });
  BOOST_TEST(whole > 0);
  BOOST_TEST(processes.connections() > 1);
}

// The same for an answer of which the client has a part already.
BOOST_AUTO_TEST_CASE(LargeCutAnswersAreNotDeliveredAsWhole) {
  CutProcesses processes;
  const std::string content(size_t{400} << 10, 'x');
  for (const fakes::FramedAnswer& answer : fakes::FramedAnswers(
           "Request-Id: q1\r\nResponse-Seal: s\r\n", content)) {
    for (const bool reset : {false, true}) {
      for (const size_t missing : {size_t{0}, size_t{1}, content.size() / 4}) {
        const fakes::CutAnswer cut(answer, answer.bytes().size() - missing,
                                   reset);
        BOOST_TEST_CONTEXT(cut.Describe()) {
          const HttpResult result = processes.Call(cut);
          const bool delivered = result.kind == HttpResult::Kind::kAnswered &&
                                 result.status == 200;
          // Bytes that a reset overtakes do not arrive.
          BOOST_TEST((cut.is_whole() || !delivered));
          BOOST_TEST((reset || delivered == cut.is_whole()));
          BOOST_TEST((!delivered || answer.ends_with_connection ||
                      result.body == content));
        }
      }
    }
  }
}

}  // namespace lavenderkeel::test
