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
