#ifndef LAVENDERKEEL_CONFIG_CONFIG_H_
#define LAVENDERKEEL_CONFIG_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/config/config_head.h"

namespace lavenderkeel {

/// Priority class. Rank 0 is served first.
struct Tier {
  std::string name;
  uint32_t rank = 0;
  /// Never refused while repeatable work of a lower tier still runs.
  bool deadline_bound = false;
  int64_t first_token_ms = 0;
  int64_t between_tokens_ms = 0;

  friend bool operator==(const Tier&, const Tier&) = default;
};

/// Kind of request, named by the caller in `Lavenderkeel-Work`.
struct WorkClass {
  std::string name;
  std::string tier;
  bool repeatable = false;

  friend bool operator==(const WorkClass&, const WorkClass&) = default;
};

/// Limits per entry; 0 means no limit.
struct TeamLimits {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t prompt_tokens_per_s = 0;

  friend bool operator==(const TeamLimits&, const TeamLimits&) = default;
};

struct Team {
  std::string name;
  /// SHA-256 of the bearer key, in hexadecimal.
  std::string key_sha256;
  double weight = 1;
  std::vector<std::string> work;
  TeamLimits limits;

  friend bool operator==(const Team&, const Team&) = default;
};

/// Limits of a preset for one tier; 0 means no limit.
struct TierLimits {
  /// In flight at each backend server.
  uint32_t running = 0;
  /// Waiting at each entry.
  uint32_t waiting = 0;

  friend bool operator==(const TierLimits&, const TierLimits&) = default;
};

struct Preset {
  std::string name;
  std::map<std::string, TierLimits> limits;
  std::vector<std::string> closed_tiers;

  friend bool operator==(const Preset&, const Preset&) = default;
};

/// Configuration document without its teams, which are kept in separate shards.
struct ConfigBase {
  std::vector<Tier> tiers;
  std::vector<WorkClass> work;
  std::vector<Preset> presets;
  std::string initial_preset;
  /// Models that requests may name; if empty, any.
  std::vector<std::string> models;

  friend bool operator==(const ConfigBase&, const ConfigBase&) = default;
};

using TeamList = std::vector<Team>;

/// Configuration in force; immutable and shared by its users.
class Config {
 public:
  Config(ConfigHead head,
         std::shared_ptr<const ConfigBase> base,
         std::vector<std::shared_ptr<const TeamList>> teams);

  const ConfigHead& head() const { return head_; }
  uint64_t version() const { return head_.version; }
  const ConfigBase& base() const { return *base_; }
  size_t team_count() const { return by_key_.size(); }

  const Team* FindTeamByKeyHash(const std::string& key_sha256) const;
  const WorkClass* FindWork(std::string_view name) const;
  /// Returns the tier of a work class; documents are validated, so it exists.
  const Tier& TierOf(const WorkClass& work) const;
  const Preset* FindPreset(std::string_view name) const;
  /// The preset in force.
  const Preset& preset() const { return *preset_; }
  bool IsClosed(std::string_view tier) const;
  TierLimits LimitsOf(const std::string& tier) const;
  bool HasModel(std::string_view name) const;
  bool IsDrained(std::string_view instance) const;

 private:
  ConfigHead head_;
  std::shared_ptr<const ConfigBase> base_;
  std::vector<std::shared_ptr<const TeamList>> teams_;
  std::unordered_map<std::string_view, const Team*> by_key_;
  const Preset* preset_ = nullptr;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_CONFIG_H_
