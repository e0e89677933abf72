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

BOOST_AUTO_TEST_CASE(DrainingAndRemovedServersGetNothingAtOnce) {
  ServerDirectory directory;
  directory.ApplyList({Server("a"), Server("b")}, kStart);
  BOOST_TEST(directory.Usable("s").size() == 2U);
  directory.Apply(Server("a", /*draining=*/true));
  directory.Remove("b", kStart);
  BOOST_TEST(directory.Usable("s").empty());
  BOOST_TEST(directory.Usable("t").empty());
}

// A server crashes and starts again under its id, before its entry lapsed.
// What was granted and learned of the former start names that one only, so
// nothing of it passes to the new one, which knows nothing of before.
BOOST_AUTO_TEST_CASE(ServerThatStartedAgainIsAnother) {
  ServerDirectory directory;
  BackendServer server = Server("a");
  server.born = 1000;
  const std::string former = server.start_key();
  directory.Apply(server);
  BOOST_TEST(directory.Find(former) != nullptr);
  server.born = 2000;
  directory.Apply(server);
  BOOST_TEST(directory.Find(former) == nullptr);
  BOOST_TEST(directory.Find(server.start_key())->id == "a");
  BOOST_TEST(directory.Usable("s").size() == 1U);
  // A beat without a start is another writer's or an older server's; it
  // replaces what was known all the same.
  directory.Apply(Server("a"));
  BOOST_TEST(directory.Usable("s").size() == 1U);
  directory.Remove("a", kStart);
  BOOST_TEST(directory.Usable("s").empty());
}

BOOST_AUTO_TEST_CASE(ServerThatStartedAgainIsNotMissingFromTheList) {
  ServerDirectory directory;
  BackendServer server = Server("a");
  server.born = 1000;
  directory.ApplyList({server}, kStart);
  server.born = 2000;
  directory.ApplyList({server}, kStart);
  BOOST_TEST(directory.Usable("s").size() == 1U);
}

// The store is away while the entries of live servers lapse; with its return
// the list is empty. Callers are served on, since the servers are kept until
// they have had time to be listed again.
BOOST_AUTO_TEST_CASE(ServersThatLapsedInAnOutageAreKeptUntilRelisted) {
  ServerDirectory directory({.relist_time = milliseconds(1900)});
  directory.ApplyList({Server("a"), Server("b")}, kStart);
  directory.OnOutage();
  directory.OnReturn(kStart);
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

// This entry was cut off from the store while one server of three left. Its
// requests must not go there once the list can be read again.
BOOST_AUTO_TEST_CASE(ServerThatLeftWhileOnlyWeWereCutOffIsNotUsed) {
  ServerDirectory directory;
  directory.ApplyList({Server("a"), Server("b"), Server("c")}, kStart);
  directory.OnOutage();
  directory.OnReturn(kStart);
  directory.ApplyList({Server("a"), Server("b")}, kStart);
  BOOST_TEST(directory.Usable("s").size() == 2U);
}

BOOST_AUTO_TEST_CASE(LapseIsToldByChangesAfterTheOutageToo) {
  ServerDirectory directory({.relist_time = milliseconds(1900)});
  directory.ApplyList({Server("a")}, kStart);
  directory.OnOutage();
  directory.OnReturn(kStart);
  directory.Remove("a", kStart + milliseconds(300));
  BOOST_TEST((directory.Find("a") != nullptr));
  directory.Tick(kStart + milliseconds(1900));
  BOOST_TEST((directory.Find("a") == nullptr));
}

BOOST_AUTO_TEST_CASE(ServerThatWasDrainingBeforeTheOutageIsNotKept) {
  ServerDirectory directory;
  directory.ApplyList({Server("a", /*draining=*/true)}, kStart);
  directory.OnOutage();
  directory.OnReturn(kStart);
  directory.Remove("a", kStart);
  BOOST_TEST((directory.Find("a") == nullptr));
}

}  // namespace lavenderkeel
