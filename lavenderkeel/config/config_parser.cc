#include "lavenderkeel/config/config_parser.h"

#include <boost/json.hpp>
#include <set>
#include <utility>

#include "lavenderkeel/config/config_json.h"

namespace lavenderkeel {

namespace json = boost::json;

namespace {

using Names = std::set<std::string>;

std::string FieldPath(const char* list, size_t index, const char* field) {
  return std::string("/") + list + "/" + std::to_string(index) + "/" + field;
}

void CheckUnique(const std::string& value,
                 const std::string& path,
                 Names& seen,
                 Faults& faults) {
  if (!value.empty() && !seen.insert(value).second) {
    faults.push_back(path + ": '" + value + "' is listed more than once");
  }
}

void CheckKnown(const std::string& value,
                const Names& known,
                const std::string& path,
                Faults& faults) {
  if (!value.empty() && !known.contains(value)) {
    faults.push_back(path + ": '" + value + "' is not defined");
  }
}

Names CheckTiers(const std::vector<Tier>& tiers, Faults& faults) {
  Names names;
  Names ranks;
  for (size_t i = 0; i < tiers.size(); ++i) {
    CheckUnique(tiers[i].name, FieldPath("tiers", i, "name"), names, faults);
    CheckUnique(std::to_string(tiers[i].rank), FieldPath("tiers", i, "rank"),
                ranks, faults);
  }
  if (tiers.empty()) {
    faults.emplace_back("/tiers: at least one tier is required");
  }
  return names;
}

Names CheckWork(const std::vector<WorkClass>& work,
                const Names& tiers,
                Faults& faults) {
  Names names;
  for (size_t i = 0; i < work.size(); ++i) {
    CheckUnique(work[i].name, FieldPath("work", i, "name"), names, faults);
    CheckKnown(work[i].tier, tiers, FieldPath("work", i, "tier"), faults);
  }
  return names;
}

void CheckPresets(const ConfigBase& base, const Names& tiers, Faults& faults) {
  Names names;
  for (size_t i = 0; i < base.presets.size(); ++i) {
    const Preset& preset = base.presets[i];
    CheckUnique(preset.name, FieldPath("presets", i, "name"), names, faults);
    for (size_t j = 0; j < preset.closed_tiers.size(); ++j) {
      CheckKnown(preset.closed_tiers[j], tiers,
                 FieldPath("presets", i, "closed_tiers/") + std::to_string(j),
                 faults);
    }
    for (const auto& [tier, limits] : preset.limits) {
      CheckKnown(tier, tiers, FieldPath("presets", i, "limits/") + tier,
                 faults);
    }
  }
  CheckKnown(base.initial_preset, names, "/initial_preset", faults);
}

void CheckTeams(const TeamList& teams, const Names& work, Faults& faults) {
  Names names;
  Names keys;
  for (size_t i = 0; i < teams.size(); ++i) {
    CheckUnique(teams[i].name, FieldPath("teams", i, "name"), names, faults);
    CheckUnique(teams[i].key_sha256, FieldPath("teams", i, "key_sha256"), keys,
                faults);
    for (size_t j = 0; j < teams[i].work.size(); ++j) {
      CheckKnown(teams[i].work[j], work,
                 FieldPath("teams", i, "work/") + std::to_string(j), faults);
    }
  }
}

}  // namespace

leaf::result<ConfigDocument> ParseConfigDocument(const std::string& text) {
  BOOST_LEAF_AUTO(value, ParseJson(text));
  Faults faults;
  JsonReader reader(value, "", faults);
  ConfigDocument document;
  document.base = internal::ReadBase(reader, faults);
  document.teams = internal::ReadTeams(reader, faults);
  reader.RejectUnknown();
  const Names tiers = CheckTiers(document.base.tiers, faults);
  const Names work = CheckWork(document.base.work, tiers, faults);
  CheckPresets(document.base, tiers, faults);
  CheckTeams(document.teams, work, faults);
  BOOST_LEAF_CHECK(CheckFaults(faults, ResultCode::kConfigInvalid));
  return document;
}

std::string ToJson(const ConfigDocument& document) {
  json::object object = internal::BaseToJson(document.base);
  object["teams"] = internal::TeamsToJson(document.teams);
  return json::serialize(object);
}

}  // namespace lavenderkeel
