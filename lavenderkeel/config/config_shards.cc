#include "lavenderkeel/config/config_shards.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"
#include "lavenderkeel/config/config_json.h"
#include "lavenderkeel/config/sha256.h"

namespace lavenderkeel {

namespace json = boost::json;

namespace {

constexpr size_t kNameLength = 32;

size_t ShardCount(size_t teams) {
  size_t count = 1;
  while (count * kTeamsPerShard < teams) {
    count *= 2;
  }
  return count;
}

ConfigShard MakeShard(const json::value& value) {
  std::string body = json::serialize(value);
  std::string name = ContentName(body);
  return {.name = std::move(name), .body = std::move(body)};
}

}  // namespace

std::string ContentName(const std::string& body) {
  return Sha256Hex(body).substr(0, kNameLength);
}

ShardedConfig SplitIntoShards(const ConfigDocument& document) {
  std::vector<TeamList> buckets(ShardCount(document.teams.size()));
  for (const Team& team : document.teams) {
    buckets[HashBytes(team.name) % buckets.size()].push_back(team);
  }
  ShardedConfig sharded{.base = MakeShard(internal::BaseToJson(document.base)),
                        .teams = {}};
  for (TeamList& bucket : buckets) {
    // Sorted, so that the same teams give the same content name.
    std::ranges::sort(bucket, {}, &Team::name);
    sharded.teams.push_back(
        MakeShard(json::object{{"teams", internal::TeamsToJson(bucket)}}));
  }
  return sharded;
}

leaf::result<std::shared_ptr<const ConfigBase>> ParseBaseShard(
    const std::string& body) {
  BOOST_LEAF_AUTO(value, ParseJson(body));
  Faults faults;
  JsonReader reader(value, "", faults);
  auto base =
      std::make_shared<const ConfigBase>(internal::ReadBase(reader, faults));
  BOOST_LEAF_CHECK(CheckFaults(faults, ResultCode::kConfigInvalid));
  return base;
}

leaf::result<std::shared_ptr<const TeamList>> ParseTeamShard(
    const std::string& body) {
  BOOST_LEAF_AUTO(value, ParseJson(body));
  Faults faults;
  JsonReader reader(value, "", faults);
  auto teams =
      std::make_shared<const TeamList>(internal::ReadTeams(reader, faults));
  BOOST_LEAF_CHECK(CheckFaults(faults, ResultCode::kConfigInvalid));
  return teams;
}

}  // namespace lavenderkeel
