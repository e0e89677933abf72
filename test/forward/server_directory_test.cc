#include "lavenderkeel/forward/server_directory.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

BackendServer Server(const std::string& id, bool draining = false) {
  return {.id = id,
          .service = "s",
          .address = "127.0.0.1:1",
          .data_centre = "govan",
          .slots = 5,
          .draining = draining};
}

}  // namespace

BOOST_AUTO_TEST_CASE(DrainingAndRemovedServersAreUnusableAtOnce) {
  ServerDirectory directory;
  directory.ApplyList({Server("a"), Server("b")}, kStart);
  BOOST_TEST(directory.Usable("s").size() == 2U);
  directory.Apply(Server("a", /*draining=*/true));
  directory.Remove("b", kStart);
  BOOST_TEST(directory.Usable("s").empty());
  BOOST_TEST(directory.Usable("t").empty());
}

// A server crashes and restarts under its id before its list entry expires.
// Grants and measurements of the former incarnation must not apply to the new
// one, which knows nothing of them.
BOOST_AUTO_TEST_CASE(RestartedServerIsADifferentServer) {
  ServerDirectory directory;
  BackendServer server = Server("a");
  server.start_time_ms = 1000;
  const std::string previous = server.start_key();
  directory.Apply(server);
  BOOST_TEST(directory.Find(previous) != nullptr);
  server.start_time_ms = 2000;
  directory.Apply(server);
  BOOST_TEST(directory.Find(previous) == nullptr);
  BOOST_TEST(directory.Find(server.start_key())->id == "a");
  BOOST_TEST(directory.Usable("s").size() == 1U);
  // A heartbeat without a start time is from another writer or an older server;
  // it replaces the known incarnation all the same.
  directory.Apply(Server("a"));
  BOOST_TEST(directory.Usable("s").size() == 1U);
  directory.Remove("a", kStart);
  BOOST_TEST(directory.Usable("s").empty());
}

BOOST_AUTO_TEST_CASE(RestartedServerIsNotMissingFromTheList) {
  ServerDirectory directory;
  BackendServer server = Server("a");
  server.start_time_ms = 1000;
  directory.ApplyList({server}, kStart);
  server.start_time_ms = 2000;
  directory.ApplyList({server}, kStart);
  BOOST_TEST(directory.Usable("s").size() == 1U);
}

// The list entries of live servers expire while the store is unavailable, so
// the list is empty when it returns. The servers must stay usable until they
// have had time to be listed again.
BOOST_AUTO_TEST_CASE(ServersExpiredInOutageAreKeptUntilRelisted) {
  ServerDirectory directory({.relist_timeout = milliseconds(1900)});
  directory.ApplyList({Server("a"), Server("b")}, kStart);
  directory.OnOutage();
  directory.OnRecovery(kStart);
  directory.ApplyList({}, kStart);
  directory.Tick(kStart + milliseconds(1800));
  BOOST_TEST(directory.Usable("s").size() == 2U);
  BOOST_TEST(directory.IsUnconfirmed("a"));
  directory.Apply(Server("a"));
  directory.Tick(kStart + milliseconds(1900));
  BOOST_TEST((directory.Find("a") != nullptr));
  BOOST_TEST(!directory.IsUnconfirmed("a"));
  BOOST_TEST((directory.Find("b") == nullptr));
}

// One server of three left while this entry was disconnected from the store. It
// must get no requests once the list can be read again.
BOOST_AUTO_TEST_CASE(ServerThatLeftWhileEntryWasDisconnectedIsNotUsed) {
  ServerDirectory directory;
  directory.ApplyList({Server("a"), Server("b"), Server("c")}, kStart);
  directory.OnOutage();
  directory.OnRecovery(kStart);
  directory.ApplyList({Server("a"), Server("b")}, kStart);
  BOOST_TEST(directory.Usable("s").size() == 2U);
}

BOOST_AUTO_TEST_CASE(RemovalAfterOutageIsTreatedAsExpiry) {
  ServerDirectory directory({.relist_timeout = milliseconds(1900)});
  directory.ApplyList({Server("a")}, kStart);
  directory.OnOutage();
  directory.OnRecovery(kStart);
  directory.Remove("a", kStart + milliseconds(300));
  BOOST_TEST((directory.Find("a") != nullptr));
  directory.Tick(kStart + milliseconds(1900));
  BOOST_TEST((directory.Find("a") == nullptr));
}

BOOST_AUTO_TEST_CASE(ServerDrainingBeforeOutageIsNotKept) {
  ServerDirectory directory;
  directory.ApplyList({Server("a", /*draining=*/true)}, kStart);
  directory.OnOutage();
  directory.OnRecovery(kStart);
  directory.Remove("a", kStart);
  BOOST_TEST((directory.Find("a") == nullptr));
}

}  // namespace lavenderkeel
