#ifndef LAVENDERKEEL_CONFIG_CONFIG_SHARDS_H_
#define LAVENDERKEEL_CONFIG_CONFIG_SHARDS_H_

#include <memory>
#include <string>
#include <vector>

#include "lavenderkeel/base/failure.h"
#include "lavenderkeel/config/config.h"
#include "lavenderkeel/config/config_parser.h"

namespace lavenderkeel {

/// Immutable fragment of a configuration, named after its content.
struct ConfigShard {
  std::string name;
  std::string body;

  friend bool operator==(const ConfigShard&, const ConfigShard&) = default;
};

/// Configuration document split into shards: a value at the platform holds a
/// megabyte at most, and a change to one team must not resend ten thousand
/// others.
struct ShardedConfig {
  ConfigShard base;
  std::vector<ConfigShard> teams;
};

/// Maximum average number of teams in a shard.
inline constexpr size_t kTeamsPerShard = 64;

std::string ContentName(const std::string& body);

ShardedConfig SplitIntoShards(const ConfigDocument& document);

leaf::result<std::shared_ptr<const ConfigBase>> ParseBaseShard(
    const std::string& body);
leaf::result<std::shared_ptr<const TeamList>> ParseTeamShard(
    const std::string& body);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_CONFIG_SHARDS_H_
