#include "lavenderkeel/config/config_parser.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "lavenderkeel/config/config_shards.h"

namespace lavenderkeel {

namespace {

std::string FaultsOf(const std::string& text) {
  const auto parsed = Catch([&] { return ParseConfigDocument(text); });
  return parsed ? "" : parsed.failure.message;
}

bool ContainsFault(const std::string& faults, const std::string& fault) {
  return faults.find(fault) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_CASE(ExampleIsValidAndSurvivesARoundTripThroughJson) {
  std::ifstream file(std::string(LAVENDERKEEL_SOURCE_DIR) +
                     "/examples/config.json");
  std::ostringstream text;
  text << file.rdbuf();
  const auto parsed = Catch([&] { return ParseConfigDocument(text.str()); });
  BOOST_REQUIRE_MESSAGE(parsed, parsed.failure.message);
  const auto again =
      Catch([&] { return ParseConfigDocument(ToJson(*parsed.value)); });
  BOOST_TEST((*again.value == *parsed.value));
}

BOOST_AUTO_TEST_CASE(EveryFaultIsReportedWithItsPath) {
  const std::string faults = FaultsOf(R"({
    "tiers": [{"name": "a", "rank": 0}, {"name": "a", "rank": 99}],
    "work": [{"name": "w", "tier": "none"}],
    "teams": [{"name": "t", "key_sha256": "xyz", "work": ["v"], "wieght": 2}],
    "presets": [{"name": "p", "closed_tiers": ["b"]}],
    "initial_preset": "q", "extra": 1})");
  for (const char* fault :
       {"/tiers/1/name: 'a' is listed more than once", "/tiers/1/rank: must be",
        "/work/0/tier: 'none' is not defined", "/teams/0/key_sha256: must be",
        "/teams/0/wieght: is not known", "/teams/0/work/0: 'v' is not defined",
        "/presets/0/closed_tiers/0: 'b' is not defined",
        "/initial_preset: 'q' is not defined", "/extra: is not known"}) {
    BOOST_TEST(ContainsFault(faults, fault), faults + " lacks " + fault);
  }
}

BOOST_AUTO_TEST_CASE(MalformedJsonIsReported) {
  const auto parsed =
      Catch([] { return ParseConfigDocument("{\"tiers\": ["); });
  BOOST_TEST((parsed.failure.code == ResultCode::kMalformedJson));
}

// A change to one of many teams must leave all other shards unchanged.
BOOST_AUTO_TEST_CASE(OneTeamChangesOneShard) {
  ConfigDocument document;
  for (int i = 0; i < 1000; ++i) {
    document.teams.push_back({.name = "team" + std::to_string(i)});
  }
  const ShardedConfig before = SplitIntoShards(document);
  document.teams[7].weight = 2;
  const ShardedConfig after = SplitIntoShards(document);
  size_t changed = 0;
  for (size_t i = 0; i < before.teams.size(); ++i) {
    changed += before.teams[i] != after.teams[i];
  }
  BOOST_TEST(before.teams.size() == 16U);
  BOOST_TEST(changed == 1U);
}

}  // namespace lavenderkeel
