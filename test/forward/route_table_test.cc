#include "lavenderkeel/forward/route_table.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

RouteTable MakeTable() {
  return RouteTable({.version = 3,
                     .routes = {{.name = "short",
                                 .host = "a.example",
                                 .path_prefix = "/x/",
                                 .services = {{.service = "s"}}},
                                {.name = "long",
                                 .host = "a.example",
                                 .path_prefix = "/x/y/",
                                 .services = {{.service = "s"}}},
                                {.name = "other",
                                 .host = "b.example",
                                 .path_prefix = "/",
                                 .services = {{.service = "s", .weight = 9},
                                              {.service = "t", .weight = 1}}}},
                     .teams = {{.name = "one", .api_keys = {"k1", "k2"}}}});
}

std::string NameOf(const Route* route) {
  return route == nullptr ? "none" : route->name;
}

}  // namespace

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins) {
  const RouteTable table = MakeTable();
  BOOST_TEST(NameOf(table.FindRoute("a.example", "/x/y/z?q")) == "long");
  BOOST_TEST(NameOf(table.FindRoute("A.Example:80", "/x/z")) == "short");
  BOOST_TEST(NameOf(table.FindRoute("a.example", "/x")) == "none");
  BOOST_TEST(NameOf(table.FindRoute("a.example", "/w?/x/")) == "none");
  BOOST_TEST(NameOf(table.FindRoute("c.example", "/x/")) == "none");
}

BOOST_AUTO_TEST_CASE(ApiKeysIdentifyTheirTeam) {
  const RouteTable table = MakeTable();
  BOOST_REQUIRE(table.FindTeamByKey("k2") != nullptr);
  BOOST_TEST(table.FindTeamByKey("k2")->name == "one");
  BOOST_TEST((table.FindTeamByKey("k3") == nullptr));
}

BOOST_AUTO_TEST_CASE(WeightsDistributeRequestsAndAnIdKeepsItsService) {
  const RouteTable table = MakeTable();
  const Route& route = *table.FindRoute("b.example", "/");
  int to_t = 0;
  constexpr int kRequests = 2000;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "request-" + std::to_string(i);
    const std::string& picked = RouteTable::PickService(route, id);
    BOOST_TEST(picked == RouteTable::PickService(route, id));
    to_t += picked == "t" ? 1 : 0;
  }
  BOOST_TEST(to_t > kRequests / 10 / 2);
  BOOST_TEST(to_t < kRequests / 10 * 2);
}

// Rates in tokens are a thousand times those in requests. A team without a rate
// must count as an average one, not as one with a rate of 1.
BOOST_AUTO_TEST_CASE(WeightOfTeamIsItsRateOverTheMeanOfItsUnit) {
  const RouteTable table(
      {.teams = {{.name = "a", .rate = {.per_second = 30}},
                 {.name = "b", .rate = {.per_second = 10}},
                 {.name = "c", .rate = {.per_second = 5000, .in_tokens = true}},
                 {.name = "d"}}});
  BOOST_TEST(table.WeightOf(*table.FindTeam("a")) == 1.5);
  BOOST_TEST(table.WeightOf(*table.FindTeam("b")) == 0.5);
  BOOST_TEST(table.WeightOf(*table.FindTeam("c")) == 1);
  BOOST_TEST(table.WeightOf(*table.FindTeam("d")) == 1);
}

}  // namespace lavenderkeel
