#ifndef LAVENDERKEEL_CONFIG_CONFIG_HEAD_H_
#define LAVENDERKEEL_CONFIG_CONFIG_HEAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lavenderkeel/base/failure.h"

namespace lavenderkeel {

/// The object at the platform whose conditional update is the commit.
inline constexpr char kHeadObject[] = "lavenderkeel/head";
inline constexpr char kShardPrefix[] = "lavenderkeel/shards/";

/// The single object that says which configuration and preset are in force.
struct ConfigHead {
  /// How many changes `recent` remembers.
  static constexpr size_t kRecentChanges = 64;

  /// Grows by one with each accepted change.
  uint64_t version = 0;
  std::string preset;
  /// Content name of the shard without teams.
  std::string base;
  /// Content names of the team shards.
  std::vector<std::string> teams;
  /// Instances that an operator drained.
  std::vector<std::string> drained;
  /// Change ids, newest last. After a lost answer they say whether the change
  /// was accepted, also if others followed it.
  std::vector<std::string> recent;

  bool Contains(const std::string& change_id) const;
  /// The names of all shards.
  std::vector<std::string> Shards() const;
  std::string ToJson() const;
  static leaf::result<ConfigHead> FromJson(const std::string& text);

  friend bool operator==(const ConfigHead&, const ConfigHead&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_CONFIG_HEAD_H_
