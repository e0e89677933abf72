// Objects of other writers with values that can't be read or used, before a
// real entry.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <set>
#include <string>

#include "test/fakes/odd_objects.h"
#include "test/process/platform_processes.h"

namespace lavenderkeel::test {

namespace {

/// An entry, a fake store and two sound servers, of which one is listed.
class OddProcesses : public PlatformProcesses {
 public:
  OddProcesses() {
    PutConfig(std::chrono::seconds(4));
    for (const char* name : {"first", "second"}) {
      StartBackend(name);
    }
    ListServer("first", processes().Address("first", "http"), "ready");
  }

  /// Replaces the server that is listed by the other one.
  void ReplaceServer() {
    ListServer("first", processes().Address("first", "http"), "draining");
    ListServer("second", processes().Address("second", "http"), "ready");
    Wait([this] {
      return processes().Log("entry").find("server=second") !=
             std::string::npos;
    });
  }

  /// @return the outcomes of requests, without repetitions
  std::set<int> CallAll(int count) {
    std::set<int> statuses;
    for (int i = 0; i < count; ++i) {
      std::optional<int> status;
      http().Start({.address = processes().Address("entry", "clients"),
                    .path = "/once/x",
                    .headers = {{"Request-Id", "q" + std::to_string(++sent_)},
                                {"Authorization", "Bearer key"},
                                {"Deadline-Ms", "3000"}},
                    .on_done = [&status](const HttpResult& result) {
                      status = result.status;
                    }});
      Wait([&status] { return status.has_value(); });
      statuses.insert(status.value_or(0));
    }
    return statuses;
  }

  /// Returns the number of requests that a server has run.
  size_t runs(const std::string& server) const {
    const std::string record = ReadFile(processes().directory() + "/" + server);
    return static_cast<size_t>(std::ranges::count(record, '\n'));
  }

 private:
  int sent_ = 0;
};

void PutOddObjects(OddProcesses& processes) {
  for (const fakes::OddObject& odd : fakes::OddObjects()) {
    processes.Put(odd.path, odd.content);
  }
}

const std::set<int> kAnswered = {200};

}  // namespace

// Guards against an entry that ends, or follows its servers no longer, with odd
// values on all pages of the lists that it reads at its start.
BOOST_AUTO_TEST_CASE(EntryStartsBesideOddObjects) {
  OddProcesses processes;
  PutOddObjects(processes);
  processes.StartEntry(/*settings=*/"");
  BOOST_TEST((processes.CallAll(4) == kAnswered));
  BOOST_TEST(processes.runs("first") == 4U);
  processes.ReplaceServer();
  BOOST_TEST((processes.CallAll(4) == kAnswered));
  BOOST_TEST(processes.runs("second") == 4U);
  BOOST_TEST(processes.processes().IsRunning("entry"));
}

// The same for an entry that runs when the odd values come.
BOOST_AUTO_TEST_CASE(EntryRunsBesideOddObjects) {
  OddProcesses processes;
  processes.StartEntry(/*settings=*/"");
  PutOddObjects(processes);
  BOOST_TEST((processes.CallAll(4) == kAnswered));
  processes.ReplaceServer();
  BOOST_TEST((processes.CallAll(4) == kAnswered));
  BOOST_TEST(processes.runs("second") == 4U);
  BOOST_TEST(processes.processes().IsRunning("entry"));
}

}  // namespace lavenderkeel::test
