#include "lavenderkeel/config/config_head.h"

#include <algorithm>
#include <boost/json.hpp>

#include "lavenderkeel/config/json_reader.h"

namespace lavenderkeel {

namespace json = boost::json;

bool ConfigHead::ContainsChange(const std::string& change_id) const {
  return std::ranges::find(recent, change_id) != recent.end();
}

std::vector<std::string> ConfigHead::ShardNames() const {
  std::vector<std::string> names = teams;
  names.push_back(base);
  return names;
}

std::string ConfigHead::ToJson() const {
  return json::serialize(json::object{{"version", version},
                                      {"preset", preset},
                                      {"base", base},
                                      {"teams", json::value_from(teams)},
                                      {"drained", json::value_from(drained)},
                                      {"recent", json::value_from(recent)}});
}

leaf::result<ConfigHead> ConfigHead::FromJson(const std::string& text) {
  BOOST_LEAF_AUTO(document, ParseJson(text));
  Faults faults;
  JsonReader reader(document, "", faults);
  ConfigHead head;
  head.version = reader.Number("version", {.required = true});
  head.preset = reader.String("preset", {.required = true});
  head.base = reader.String("base", {.required = true});
  head.teams = reader.Strings("teams");
  head.drained = reader.Strings("drained");
  head.recent = reader.Strings("recent");
  BOOST_LEAF_CHECK(CheckFaults(faults, ResultCode::kConfigInvalid));
  return head;
}

}  // namespace lavenderkeel
