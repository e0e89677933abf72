#include "lavenderkeel/config/config_json.h"

#include <boost/json.hpp>

namespace lavenderkeel::internal {

namespace json = boost::json;

namespace {

constexpr uint64_t kMaxRank = 15;
constexpr uint64_t kMaxLimit = 1'000'000'000;
constexpr JsonReader::NumberRule kLimitRule = {.max = kMaxLimit};

Tier ReadTier(const json::value& value,
              const std::string& path,
              Faults& faults) {
  JsonReader reader(value, path, faults);
  Tier tier;
  tier.name = reader.String("name", {.required = true});
  tier.rank = static_cast<uint32_t>(
      reader.Number("rank", {.required = true, .max = kMaxRank}));
  tier.deadline_bound = reader.Bool("deadline_bound", false);
  tier.first_token_ms =
      static_cast<int64_t>(reader.Number("first_token_ms", kLimitRule));
  tier.between_tokens_ms =
      static_cast<int64_t>(reader.Number("between_tokens_ms", kLimitRule));
  reader.RejectUnknown();
  return tier;
}

WorkClass ReadWork(const json::value& value,
                   const std::string& path,
                   Faults& faults) {
  JsonReader reader(value, path, faults);
  WorkClass work;
  work.name = reader.String("name", {.required = true});
  work.tier = reader.String("tier", {.required = true});
  work.repeatable = reader.Bool("repeatable", false);
  reader.RejectUnknown();
  return work;
}

Preset ReadPreset(const json::value& value,
                  const std::string& path,
                  Faults& faults) {
  JsonReader reader(value, path, faults);
  Preset preset;
  preset.name = reader.String("name", {.required = true});
  preset.closed_tiers = reader.Strings("closed_tiers");
  reader.Fields("limits", [&](const std::string& tier, const json::value& item,
                              const std::string& item_path) {
    JsonReader limits(item, item_path, faults);
    preset.limits[tier] = {
        .running = static_cast<uint32_t>(limits.Number("running", kLimitRule)),
        .waiting = static_cast<uint32_t>(limits.Number("waiting", kLimitRule))};
    limits.RejectUnknown();
  });
  reader.RejectUnknown();
  return preset;
}

TeamLimits ReadTeamLimits(const json::value& value,
                          const std::string& path,
                          Faults& faults) {
  JsonReader reader(value, path, faults);
  TeamLimits limits;
  limits.running = static_cast<uint32_t>(reader.Number("running", kLimitRule));
  limits.waiting = static_cast<uint32_t>(reader.Number("waiting", kLimitRule));
  limits.prompt_tokens_per_s =
      static_cast<uint32_t>(reader.Number("prompt_tokens_per_s", kLimitRule));
  reader.RejectUnknown();
  return limits;
}

Team ReadTeam(const json::value& value,
              const std::string& path,
              Faults& faults) {
  JsonReader reader(value, path, faults);
  Team team;
  team.name = reader.String("name", {.required = true});
  team.key_sha256 = reader.String("key_sha256", {.required = true});
  const bool is_hash = team.key_sha256.size() == 64 &&
                       team.key_sha256.find_first_not_of("0123456789abcdef") ==
                           std::string::npos;
  if (!is_hash && !team.key_sha256.empty()) {
    reader.Fault("key_sha256", "must be 64 lower-case hexadecimal digits");
  }
  team.weight = reader.PositiveNumber("weight", 1);
  team.work = reader.Strings("work");
  if (const json::value* limits = reader.FindField("limits")) {
    team.limits = ReadTeamLimits(*limits, reader.PathOf("limits"), faults);
  }
  reader.RejectUnknown();
  return team;
}

}  // namespace

ConfigBase ReadBase(JsonReader& reader, Faults& faults) {
  ConfigBase base;
  reader.Array("tiers", [&](const json::value& item, const std::string& path) {
    base.tiers.push_back(ReadTier(item, path, faults));
  });
  reader.Array("work", [&](const json::value& item, const std::string& path) {
    base.work.push_back(ReadWork(item, path, faults));
  });
  reader.Array("presets",
               [&](const json::value& item, const std::string& path) {
                 base.presets.push_back(ReadPreset(item, path, faults));
               });
  base.initial_preset = reader.String("initial_preset", {.required = true});
  base.models = reader.Strings("models");
  return base;
}

TeamList ReadTeams(JsonReader& reader, Faults& faults) {
  TeamList teams;
  reader.Array("teams", [&](const json::value& item, const std::string& path) {
    teams.push_back(ReadTeam(item, path, faults));
  });
  return teams;
}

json::object BaseToJson(const ConfigBase& base) {
  json::array tiers;
  for (const Tier& tier : base.tiers) {
    tiers.push_back(
        json::object{{"name", tier.name},
                     {"rank", tier.rank},
                     {"deadline_bound", tier.deadline_bound},
                     {"first_token_ms", tier.first_token_ms},
                     {"between_tokens_ms", tier.between_tokens_ms}});
  }
  json::array work;
  for (const WorkClass& item : base.work) {
    work.push_back(json::object{{"name", item.name},
                                {"tier", item.tier},
                                {"repeatable", item.repeatable}});
  }
  json::array presets;
  for (const Preset& preset : base.presets) {
    json::object limits;
    for (const auto& [tier, bounds] : preset.limits) {
      limits[tier] = json::object{{"running", bounds.running},
                                  {"waiting", bounds.waiting}};
    }
    presets.push_back(
        json::object{{"name", preset.name},
                     {"limits", std::move(limits)},
                     {"closed_tiers", json::value_from(preset.closed_tiers)}});
  }
  return {{"tiers", std::move(tiers)},
          {"work", std::move(work)},
          {"presets", std::move(presets)},
          {"initial_preset", base.initial_preset},
          {"models", json::value_from(base.models)}};
}

json::array TeamsToJson(const TeamList& teams) {
  json::array array;
  for (const Team& team : teams) {
    array.push_back(json::object{
        {"name", team.name},
        {"key_sha256", team.key_sha256},
        {"weight", team.weight},
        {"work", json::value_from(team.work)},
        {"limits", json::object{{"running", team.limits.running},
                                {"waiting", team.limits.waiting},
                                {"prompt_tokens_per_s",
                                 team.limits.prompt_tokens_per_s}}}});
  }
  return array;
}

}  // namespace lavenderkeel::internal
