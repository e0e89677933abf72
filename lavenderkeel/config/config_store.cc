#include "lavenderkeel/config/config_store.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lavenderkeel {

bool ConfigStore::OfferHead(const ConfigHead& head) {
  // An older head may arrive late, from a slow peer or a stale read of the
  // platform, and would revert an accepted change. Each version is assigned by
  // one conditional update, so it suffices to accept only higher versions.
  const uint64_t known =
      std::max(version(), offered_.has_value() ? offered_->version : 0);
  if (head.version <= known) {
    return false;
  }
  offered_ = head;
  TryActivate();
  return true;
}

void ConfigStore::AddShard(const std::string& name, const std::string& body) {
  if (!offered_.has_value() || ContentName(body) != name) {
    return;
  }
  const std::vector<std::string> missing = MissingShards();
  if (std::ranges::find(missing, name) == missing.end()) {
    return;
  }
  Shard shard{.body = body, .base = nullptr, .teams = nullptr};
  const bool is_base = name == offered_->base;
  const auto parsed_base = Catch([&] { return ParseBaseShard(body); });
  const auto parsed_teams = Catch([&] { return ParseTeamShard(body); });
  if (is_base && parsed_base) {
    shard.base = *parsed_base.value;
  } else if (!is_base && parsed_teams) {
    shard.teams = *parsed_teams.value;
  } else {
    log_.Warn("config_shard_unreadable", {{"shard", name}});
    return;
  }
  shards_[name] = std::move(shard);
  TryActivate();
}

std::vector<std::string> ConfigStore::MissingShards() const {
  std::vector<std::string> missing;
  if (!offered_.has_value()) {
    return missing;
  }
  for (const std::string& name : offered_->ShardNames()) {
    if (!shards_.contains(name)) {
      missing.push_back(name);
    }
  }
  return missing;
}

const std::string* ConfigStore::FindShard(const std::string& name) const {
  const auto found = shards_.find(name);
  return found == shards_.end() ? nullptr : &found->second.body;
}

std::optional<ConfigDocument> ConfigStore::Document() const {
  if (!current_) {
    return std::nullopt;
  }
  ConfigDocument document{.base = current_->base(), .teams = {}};
  for (const std::string& name : current_->head().teams) {
    const TeamList& teams = *shards_.at(name).teams;
    document.teams.insert(document.teams.end(), teams.begin(), teams.end());
  }
  return document;
}

void ConfigStore::TryActivate() {
  if (!offered_.has_value() || !MissingShards().empty()) {
    return;
  }
  auto built = Catch([this] { return BuildConfig(); });
  if (!built) {
    log_.Warn("config_unusable", {{"version", offered_->version},
                                  {"reason", built.failure.message}});
    offered_.reset();
    return;
  }
  current_ = *std::move(built.value);
  offered_.reset();
  DropUnusedShards();
  log_.Info("config_in_force", {{"version", current_->version()},
                                {"preset", current_->head().preset},
                                {"teams", current_->team_count()}});
  signal_activated_.emit();
}

leaf::result<std::shared_ptr<const Config>> ConfigStore::BuildConfig() const {
  const auto base = shards_.at(offered_->base).base;
  if (base == nullptr ||
      std::ranges::find(base->presets, offered_->preset, &Preset::name) ==
          base->presets.end()) {
    return leaf::new_error(
        Failure{ResultCode::kConfigInvalid, "preset in force is missing"});
  }
  std::vector<std::shared_ptr<const TeamList>> teams;
  for (const std::string& name : offered_->teams) {
    const auto& shard = shards_.at(name).teams;
    if (shard == nullptr) {
      return leaf::new_error(
          Failure{ResultCode::kConfigInvalid, "a team shard is missing"});
    }
    teams.push_back(shard);
  }
  return std::make_shared<const Config>(*offered_, base, std::move(teams));
}

void ConfigStore::DropUnusedShards() {
  const std::vector<std::string> names = current_->head().ShardNames();
  const std::set<std::string> used(names.begin(), names.end());
  std::erase_if(shards_,
                [&](const auto& item) { return !used.contains(item.first); });
}

}  // namespace lavenderkeel
