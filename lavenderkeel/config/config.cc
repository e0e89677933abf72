#include "lavenderkeel/config/config.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lavenderkeel {

namespace {

template <typename Named>
const Named* FindNamed(const std::vector<Named>& items, std::string_view name) {
  const auto found = std::ranges::find(items, name, &Named::name);
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

Config::Config(ConfigHead head,
               std::shared_ptr<const ConfigBase> base,
               std::vector<std::shared_ptr<const TeamList>> teams)
    : head_(std::move(head)), base_(std::move(base)), teams_(std::move(teams)) {
  for (const auto& shard : teams_) {
    for (const Team& team : *shard) {
      by_key_.emplace(team.key_sha256, &team);
    }
  }
  preset_ = FindPreset(head_.preset);
  assert(preset_ != nullptr && "ConfigStore checks that the preset exists");
}

const Team* Config::FindTeamByKeyHash(const std::string& key_sha256) const {
  const auto found = by_key_.find(key_sha256);
  return found == by_key_.end() ? nullptr : found->second;
}

const WorkClass* Config::FindWork(std::string_view name) const {
  return FindNamed(base_->work, name);
}

const Tier& Config::TierOf(const WorkClass& work) const {
  const Tier* tier = FindNamed(base_->tiers, work.tier);
  assert(tier != nullptr);
  return *tier;
}

const Preset* Config::FindPreset(std::string_view name) const {
  return FindNamed(base_->presets, name);
}

bool Config::IsClosed(std::string_view tier) const {
  return std::ranges::find(preset_->closed_tiers, tier) !=
         preset_->closed_tiers.end();
}

TierLimits Config::LimitsOf(const std::string& tier) const {
  const auto found = preset_->limits.find(tier);
  return found == preset_->limits.end() ? TierLimits{} : found->second;
}

bool Config::HasModel(std::string_view name) const {
  return base_->models.empty() ||
         std::ranges::find(base_->models, name) != base_->models.end();
}

bool Config::IsDrained(std::string_view instance) const {
  return std::ranges::find(head_.drained, instance) != head_.drained.end();
}

}  // namespace lavenderkeel
