#ifndef LAVENDERKEEL_CONFIG_CONFIG_HEAD_H_
#define LAVENDERKEEL_CONFIG_CONFIG_HEAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lavenderkeel/base/failure.h"

namespace lavenderkeel {

/// Object at the platform whose conditional update is the commit.
inline constexpr char kHeadObject[] = "lavenderkeel/head";
inline constexpr char kShardPrefix[] = "lavenderkeel/shards/";

/// The single object that states which configuration and preset are in force.
struct ConfigHead {
  /// Number of change ids kept in `recent`.
  static constexpr size_t kRecentChanges = 64;

  /// Incremented by each accepted change.
  uint64_t version = 0;
  std::string preset;
  /// Content name of the shard without teams.
  std::string base;
  /// Content names of the team shards.
  std::vector<std::string> teams;
  /// Instances that an operator drained.
  std::vector<std::string> drained;
  /// Change ids, newest last. After a lost answer they show whether the change
  /// was accepted, even if others followed.
  std::vector<std::string> recent;

  bool ContainsChange(const std::string& change_id) const;
  /// Returns the content names of all shards.
  std::vector<std::string> ShardNames() const;
  std::string ToJson() const;
  static leaf::result<ConfigHead> FromJson(const std::string& text);

  friend bool operator==(const ConfigHead&, const ConfigHead&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_CONFIG_HEAD_H_
