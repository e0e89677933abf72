#ifndef LAVENDERKEEL_CONFIG_CONFIG_SHARDS_H_
#define LAVENDERKEEL_CONFIG_CONFIG_SHARDS_H_

#include <memory>
#include <string>
#include <vector>

#include "lavenderkeel/base/failure.h"
#include "lavenderkeel/config/config.h"
#include "lavenderkeel/config/config_parser.h"

namespace lavenderkeel {

/// A part of a configuration; immutable, named after its content.
struct ConfigShard {
  std::string name;
  std::string body;

  friend bool operator==(const ConfigShard&, const ConfigShard&) = default;
};

/// A document cut into shards: values at the platform hold a megabyte at most,
/// and a change to one team must not send ten thousand others again.
struct ShardedConfig {
  ConfigShard base;
  std::vector<ConfigShard> teams;
};

/// Teams in one shard, on average at most.
inline constexpr size_t kTeamsPerShard = 64;

std::string ContentName(const std::string& body);

ShardedConfig CutIntoShards(const ConfigDocument& document);

leaf::result<std::shared_ptr<const ConfigBase>> ParseBaseShard(
    const std::string& body);
leaf::result<std::shared_ptr<const TeamList>> ParseTeamShard(
    const std::string& body);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_CONFIG_SHARDS_H_
